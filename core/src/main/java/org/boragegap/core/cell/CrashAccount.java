package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts, by task, the targets that have crashed while it ran there. Outlives the terms of a
 * controller.
 *
 * <p>Guards against a task that crashes whatever starts it. Each start costs the cell a target for
 * some seconds, and the caller hands the job in again when its time is over; unnoticed, one such
 * job takes down a target a second.
 *
 * <p>A lapse proves no crash: the target may be beyond a cut and run on. What had run there is kept
 * until another incarnation answers at that address, or the same one is heard of again.
 */
final class CrashAccount {
    /** Crashes after which a task is given up: one may have had another cause. */
    private static final int CRASHES_TO_GIVE_UP = 2;

    /**
     * How long a crash counts, in ms: a caller hands a job in again some seconds after its time is
     * over, and a crashed target is back some seconds later.
     */
    private static final long KEEP_MS = 60_000;

    /** Most tasks of which crashes are remembered. */
    private static final int MOST_TASKS = 2_000;

    private record Count(int crashes, List<String> targets, long atMs) {}

    private record Lapsed(String address, List<LostRun> runs, long atMs) {}

    private final Map<TaskName, Count> mCounts = new LinkedHashMap<>();
    private final Map<String, Lapsed> mLapsed = new HashMap<>();

    /** The leases of what ran on the target are over; it may have crashed. */
    void lapsed(TargetInfo target, List<LostRun> runs, long nowMs) {
        if (!runs.isEmpty()) {
            mLapsed.put(target.id(), new Lapsed(target.address(), runs, nowMs));
        }
    }

    /** The target has answered: it has not crashed. */
    void heardOf(String target) {
        mLapsed.remove(target);
    }

    /**
     * Takes what lapsed at an address whose earlier incarnations are gone; it counts once.
     *
     * @param incarnation the one that stands there now; empty if it isn't known
     */
    List<LostRun> takeLapsedAt(String address, String incarnation) {
        List<LostRun> runs = new ArrayList<>();
        mLapsed.entrySet()
                .removeIf(
                        entry -> {
                            Lapsed lapsed = entry.getValue();
                            boolean gone =
                                    lapsed.address().equals(address)
                                            && !entry.getKey().equals(incarnation);
                            if (gone) {
                                runs.addAll(lapsed.runs());
                            }
                            return gone;
                        });
        return runs;
    }

    /** A target has crashed under the task; returns how many have by now. */
    int crashed(TaskName task, String target, long nowMs) {
        int crashes = crashes(task) + 1;
        List<String> targets = new ArrayList<>(targets(task));
        targets.add(target);
        note(task, crashes, targets, nowMs);
        return crashes;
    }

    /** Another VM knows of so many crashes under the task. */
    void told(TaskName task, int crashes, long nowMs) {
        note(task, crashes, targets(task), nowMs);
    }

    private void note(TaskName task, int crashes, List<String> targets, long nowMs) {
        Count known = mCounts.remove(task);
        int most = known == null ? crashes : Math.max(known.crashes(), crashes);
        mCounts.put(task, new Count(most, targets, nowMs));
        forget(nowMs);
    }

    /** Drops what is too old or too much, from the oldest on. */
    private void forget(long nowMs) {
        Iterator<Count> it = mCounts.values().iterator();
        while (it.hasNext()) {
            boolean old = nowMs - it.next().atMs() > KEEP_MS;
            if (!old && mCounts.size() <= MOST_TASKS) {
                break;
            }
            it.remove();
        }
        mLapsed.values().removeIf(lapsed -> nowMs - lapsed.atMs() > KEEP_MS);
    }

    private int crashes(TaskName task) {
        Count count = mCounts.get(task);
        return count == null ? 0 : count.crashes();
    }

    /** The targets that this VM has seen crash under the task. */
    List<String> targets(TaskName task) {
        Count count = mCounts.get(task);
        return count == null ? List.of() : count.targets();
    }

    /** True when a target has crashed under the task, by its fault or not. */
    boolean suspects(TaskName task) {
        return !mCounts.isEmpty() && crashes(task) > 0;
    }

    /** True when a target has crashed under any of the tasks. */
    boolean suspectsAny(Collection<TaskName> tasks) {
        return !mCounts.isEmpty() && tasks.stream().anyMatch(this::suspects);
    }

    /** True when so many targets have crashed under the task that it is started no more. */
    boolean givesUp(TaskName task) {
        return !mCounts.isEmpty() && crashes(task) >= CRASHES_TO_GIVE_UP;
    }
}
