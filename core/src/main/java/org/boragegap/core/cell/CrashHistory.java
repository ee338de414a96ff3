package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Knows, by task, the targets that have crashed while it was at work there, or may have been.
 * Outlives the terms of a controller.
 *
 * <p>Guards against a task that crashes whatever starts it. Each start costs the cell a target for
 * some seconds, and the caller hands the job in again when its time is over; unnoticed, one such
 * job takes down a target a second.
 *
 * <p>A lapse proves no crash: the target may be beyond a cut and run on. What had run there is kept
 * until another incarnation answers at that address, or the same one is heard of again.
 */
final class CrashHistory {
    /** Confirmed crashes after which a task is started no more: one may have had another cause. */
    private static final int CONFIRMED_CRASH_LIMIT = 2;

    /**
     * Crashes of any evidence after which it is started no more either, with the targets that have
     * lapsed under it and were not heard of since. A task may crash its target before the order to
     * start it is answered, and the successor may be seen late, or in another cell.
     */
    private static final int TOTAL_CRASH_LIMIT = 4;

    /**
     * How long a crash counts, in ms: a caller hands a job in again some seconds after its time is
     * over, and a crashed target is back some seconds later.
     */
    private static final long RETENTION_MS = 60_000;

    /** Most tasks of which crashes are remembered. */
    private static final int MAX_TASKS = 2_000;

    private record Crashes(Map<String, CrashEvidence> byTarget, long atMs) {
        static final Crashes NONE = new Crashes(Map.of(), 0);

        Crashes with(String target, CrashEvidence evidence, long nowMs) {
            Map<String, CrashEvidence> more = new LinkedHashMap<>(byTarget);
            more.merge(target, evidence, CrashEvidence::stronger);
            return new Crashes(more, nowMs);
        }

        boolean implicatesTask() {
            return byTarget.values().stream().anyMatch(CrashEvidence::implicatesTask);
        }

        long confirmed() {
            return byTarget.values().stream().filter(CrashEvidence.CONFIRMED::equals).count();
        }
    }

    private record ExpiredTarget(String address, List<LostRun> runs, long atMs) {}

    private final Map<TaskName, Crashes> mCrashes = new LinkedHashMap<>();
    private final Map<String, ExpiredTarget> mExpiredTargets = new HashMap<>();

    /** The leases of what ran on the target are over; it may have crashed. */
    void recordLeaseExpiry(TargetInfo target, List<LostRun> runs, long nowMs) {
        if (!runs.isEmpty()) {
            mExpiredTargets.put(target.id(), new ExpiredTarget(target.address(), runs, nowMs));
        }
    }

    /** The target has answered: it has not crashed. */
    void targetAnswered(String target) {
        mExpiredTargets.remove(target);
    }

    /** Takes what lapsed on a target that is gone; it counts once. */
    List<LostRun> takeExpired(String target, long nowMs) {
        evict(nowMs);
        return takeExpired(target);
    }

    private List<LostRun> takeExpired(String target) {
        ExpiredTarget lapsed = mExpiredTargets.remove(target);
        return lapsed == null ? List.of() : lapsed.runs();
    }

    /** Takes what lapsed on earlier targets at the address of a new one; it counts once. */
    List<LostRun> takeExpiredPredecessors(TargetInfo successor, long nowMs) {
        evict(nowMs);
        List<LostRun> runs = new ArrayList<>();
        for (String target : List.copyOf(mExpiredTargets.keySet())) {
            boolean there = mExpiredTargets.get(target).address().equals(successor.address());
            if (there && !target.equals(successor.id())) {
                runs.addAll(takeExpired(target));
            }
        }
        return runs;
    }

    /**
     * A target has crashed under the task, as this VM or another one has found. Told again, it
     * counts once.
     */
    void recordCrash(TaskName task, String target, CrashEvidence evidence, long nowMs) {
        Crashes known = crashes(task);
        // Taken out first: an entry that is written over would keep its place among the oldest.
        mCrashes.remove(task);
        mCrashes.put(task, known.with(target, evidence, nowMs));
        evict(nowMs);
    }

    /** Drops what is too old or too much, from the oldest on. */
    private void evict(long nowMs) {
        Iterator<Crashes> it = mCrashes.values().iterator();
        while (it.hasNext()) {
            boolean old = nowMs - it.next().atMs() > RETENTION_MS;
            if (!old && mCrashes.size() <= MAX_TASKS) {
                break;
            }
            it.remove();
        }
        mExpiredTargets.values().removeIf(lapsed -> nowMs - lapsed.atMs() > RETENTION_MS);
    }

    private Crashes crashes(TaskName task) {
        return mCrashes.getOrDefault(task, Crashes.NONE);
    }

    /** How many targets have crashed under the task, or may have. */
    int crashCount(TaskName task) {
        return crashes(task).byTarget().size();
    }

    /** True when a target has crashed under the task, and the task may be the cause. */
    boolean isSuspect(TaskName task) {
        return !mCrashes.isEmpty() && crashes(task).implicatesTask();
    }

    /** True when any of the tasks is suspected. */
    boolean anySuspect(Collection<TaskName> tasks) {
        return !mCrashes.isEmpty() && tasks.stream().anyMatch(this::isSuspect);
    }

    /** Targets that are silent since their leases are over, which the task ran on. */
    private Set<String> expiredTargetsRunning(TaskName task) {
        Set<String> targets = new LinkedHashSet<>();
        mExpiredTargets.forEach(
                (target, lapsed) -> {
                    if (lapsed.runs().stream().anyMatch(run -> run.task().equals(task))) {
                        targets.add(target);
                    }
                });
        return targets;
    }

    /**
     * The verdict on the task's job when so many targets have crashed under it that it is started
     * no more; empty while it may be started. It is never told as failed: what a target knew of the
     * end of a run is lost with the target.
     */
    Optional<Verdict> verdictOn(TaskName task, long nowMs) {
        if (mCrashes.isEmpty() && mExpiredTargets.isEmpty()) {
            return Optional.empty();
        }
        evict(nowMs);
        Crashes crashes = crashes(task);
        Set<String> targets = new LinkedHashSet<>(crashes.byTarget().keySet());
        targets.addAll(expiredTargetsRunning(task));
        boolean givenUp =
                crashes.confirmed() >= CONFIRMED_CRASH_LIMIT || targets.size() >= TOTAL_CRASH_LIMIT;
        if (!givenUp) {
            return Optional.empty();
        }
        String reason = "targets were lost under task " + task.index() + ": ";
        return Optional.of(new Verdict.InDoubt(reason + String.join(",", targets)));
    }
}
