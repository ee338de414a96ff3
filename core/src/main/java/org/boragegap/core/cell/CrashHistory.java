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
 * Records, by task, the targets that crashed while the task was running there, or may have been
 * running. Kept across the terms of a controller.
 *
 * <p>Guards against a task that crashes every target that starts it. Each start takes a target out
 * of service for some seconds, and the caller submits the job again after its timeout; undetected,
 * one such job takes down a target a second.
 *
 * <p>An expired lease proves no crash: the target may be cut off by a network partition and keep
 * running. What ran there is kept until another incarnation appears at that address, or the same
 * one answers again.
 */
final class CrashHistory {
    /**
     * Confirmed crashes after which a task is not started again; a single one may have had another
     * cause.
     */
    private static final int CONFIRMED_CRASH_LIMIT = 2;

    /**
     * Crashes of any evidence after which a task is not started again either. Targets whose leases
     * expired while they ran the task, and that have not answered since, count as well. A task may
     * crash its target before the start order is answered, and the target's successor may be seen
     * late, or in another cell.
     */
    private static final int TOTAL_CRASH_LIMIT = 4;

    /**
     * How long a crash counts, in ms: a caller submits a job again some seconds after its timeout,
     * and a crashed target is back some seconds later.
     */
    private static final long RETENTION_MS = 60_000;

    /** Maximum number of tasks whose crashes are kept. */
    private static final int MAX_TASKS = 2_000;

    private record Crashes(Map<String, CrashEvidence> byTarget, long atMs) {
        static final Crashes NONE = new Crashes(Map.of(), 0);

        Crashes with(String target, CrashEvidence evidence, long nowMs) {
            Map<String, CrashEvidence> merged = new LinkedHashMap<>(byTarget);
            merged.merge(target, evidence, CrashEvidence::stronger);
            return new Crashes(merged, nowMs);
        }

        boolean implicatesTask() {
            return byTarget.values().stream().anyMatch(CrashEvidence::implicatesTask);
        }

        long confirmed() {
            return byTarget.values().stream().filter(CrashEvidence.CONFIRMED::equals).count();
        }
    }

    private record ExpiredTarget(TargetInfo info, List<LostRun> runs, long atMs) {}

    private final Map<TaskName, Crashes> mCrashes = new LinkedHashMap<>();

    /** By the name of the incarnation. */
    private final Map<String, ExpiredTarget> mExpiredTargets = new HashMap<>();

    /** Records that the leases of the runs on a target have expired; it may have crashed. */
    void recordLeaseExpiry(TargetInfo target, List<LostRun> runs, long nowMs) {
        if (!runs.isEmpty()) {
            mExpiredTargets.put(target.incarnationName(), new ExpiredTarget(target, runs, nowMs));
        }
    }

    /** Called when a target has answered, so it has not crashed. */
    void targetAnswered(TargetInfo target) {
        mExpiredTargets.remove(target.incarnationName());
    }

    /**
     * Removes and returns the runs whose leases expired on a target that is gone, so that they
     * count once.
     */
    List<LostRun> takeExpired(TargetInfo target, long nowMs) {
        evict(nowMs);
        return takeExpired(target.incarnationName());
    }

    private List<LostRun> takeExpired(String target) {
        ExpiredTarget expired = mExpiredTargets.remove(target);
        return expired == null ? List.of() : expired.runs();
    }

    /**
     * Removes and returns the runs whose leases expired on earlier targets at the address of a new
     * one, so that they count once.
     */
    List<LostRun> takeExpiredPredecessors(TargetInfo successor, long nowMs) {
        evict(nowMs);
        List<LostRun> runs = new ArrayList<>();
        for (String target : List.copyOf(mExpiredTargets.keySet())) {
            TargetInfo info = mExpiredTargets.get(target).info();
            boolean sameAddress = info.address().equals(successor.address());
            if (sameAddress && !info.mayBeSameIncarnation(successor)) {
                runs.addAll(takeExpired(target));
            }
        }
        return runs;
    }

    /**
     * Records that a target crashed, or may have crashed, while running the task, as found by this
     * VM or another one. A crash that is reported again counts once.
     *
     * @param target name of the target's incarnation: each incarnation that the task crashes counts
     */
    void recordCrash(TaskName task, String target, CrashEvidence evidence, long nowMs) {
        Crashes known = crashes(task);
        // Removed first, because replacing the value would keep the entry's old insertion order.
        mCrashes.remove(task);
        mCrashes.put(task, known.with(target, evidence, nowMs));
        evict(nowMs);
    }

    /** Removes entries that are too old, and the oldest ones beyond the maximum number. */
    private void evict(long nowMs) {
        Iterator<Crashes> it = mCrashes.values().iterator();
        while (it.hasNext()) {
            boolean tooOld = nowMs - it.next().atMs() > RETENTION_MS;
            if (!tooOld && mCrashes.size() <= MAX_TASKS) {
                break;
            }
            it.remove();
        }
        mExpiredTargets.values().removeIf(expired -> nowMs - expired.atMs() > RETENTION_MS);
    }

    private Crashes crashes(TaskName task) {
        return mCrashes.getOrDefault(task, Crashes.NONE);
    }

    /** Number of targets that crashed, or may have crashed, while running the task. */
    int crashCount(TaskName task) {
        return crashes(task).byTarget().size();
    }

    /** True when a target has crashed while running the task, and the task may be the cause. */
    boolean isSuspect(TaskName task) {
        return !mCrashes.isEmpty() && crashes(task).implicatesTask();
    }

    /** True when any of the tasks is suspect. */
    boolean anySuspect(Collection<TaskName> tasks) {
        return !mCrashes.isEmpty() && tasks.stream().anyMatch(this::isSuspect);
    }

    /** Targets that ran the task, whose leases have expired and that have not answered since. */
    private Set<String> expiredTargetsRunning(TaskName task) {
        Set<String> targets = new LinkedHashSet<>();
        mExpiredTargets.forEach(
                (target, expired) -> {
                    if (expired.runs().stream().anyMatch(run -> run.task().equals(task))) {
                        targets.add(target);
                    }
                });
        return targets;
    }

    /**
     * The verdict on the task's job once the task has reached a crash limit and is not started
     * again; empty while it may be started. The verdict is never {@link Verdict.Failed}: what a
     * target knew of the end of a run is lost with the target.
     */
    Optional<Verdict> verdictOn(TaskName task, long nowMs) {
        if (mCrashes.isEmpty() && mExpiredTargets.isEmpty()) {
            return Optional.empty();
        }
        evict(nowMs);
        Crashes crashes = crashes(task);
        Set<String> targets = new LinkedHashSet<>(crashes.byTarget().keySet());
        targets.addAll(expiredTargetsRunning(task));
        boolean limitReached =
                crashes.confirmed() >= CONFIRMED_CRASH_LIMIT || targets.size() >= TOTAL_CRASH_LIMIT;
        if (!limitReached) {
            return Optional.empty();
        }
        String reason = "targets were lost under task " + task.index() + ": ";
        return Optional.of(new Verdict.InDoubt(reason + String.join(",", targets)));
    }
}
