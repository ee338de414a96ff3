package org.boragegap.core.cell;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tells whether a target was lost alone, or with others in the same moment.
 *
 * <p>Guards against tasks that are blamed for the loss of a rack or the restart of many targets:
 * each was given a target for itself, and callers were refused while targets were all but free; and
 * a job that met two such losses was failed.
 */
final class LossWatch {
    /** So many other targets lost in the same moment have a common cause outside the task. */
    private static final int COMMON_CAUSE_TARGETS = 3;

    /** What is found lost within this time of each other, in ms, was lost in the same moment. */
    private static final long SAME_MOMENT_MS = 1_000;

    private record Loss(Set<String> jobs, long atMs) {}

    private final Term mTerm;
    private final Map<String, Loss> mLosses = new LinkedHashMap<>();

    LossWatch(Term term) {
        mTerm = term;
    }

    /** The target was found lost; one that has lapsed before was found so then. */
    void lost(Target target) {
        if (target.lost()) {
            return;
        }
        long beforeMs = mTerm.nowMs() - SAME_MOMENT_MS;
        mLosses.values().removeIf(loss -> loss.atMs() < beforeMs);
        mLosses.put(target.id(), new Loss(jobs(target), mTerm.nowMs()));
    }

    private static Set<String> jobs(Target target) {
        Set<String> jobs = new HashSet<>();
        target.runs().keySet().forEach(task -> jobs.add(task.job()));
        return jobs;
    }

    /**
     * True when not enough other targets were lost in the same moment, or are silent, to tell of
     * another cause. Targets with tasks of the run's own job don't count: it may crash them all.
     */
    boolean alone(LostRun run) {
        String job = run.task().job();
        Set<String> others = new HashSet<>();
        mLosses.forEach(
                (target, loss) -> {
                    if (!loss.jobs().contains(job)) {
                        others.add(target);
                    }
                });
        for (Target target : mTerm.targets().values()) {
            if (target.calls().silent() && !target.lost() && !jobs(target).contains(job)) {
                others.add(target.id());
            }
        }
        others.remove(run.target());
        return others.size() < COMMON_CAUSE_TARGETS;
    }
}
