package org.boragegap.core.cell;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tells whether a target was lost by itself, or together with others.
 *
 * <p>Guards against tasks that are suspected after the loss of a rack or the restart of many
 * targets: each of them would be given a target for itself.
 */
final class CorrelatedLossDetector {
    /** So many other targets lost in the same moment have a common cause outside the task. */
    private static final int MIN_CORRELATED_TARGETS = 3;

    /** What is found lost within this time of each other, in ms, was lost in the same moment. */
    private static final long CORRELATION_WINDOW_MS = 1_000;

    private record Loss(Set<String> jobs, long atMs) {}

    private final Term mTerm;
    private final Map<String, Loss> mLosses = new LinkedHashMap<>();

    CorrelatedLossDetector(Term term) {
        mTerm = term;
    }

    /** Notes the loss of a target; one whose leases were found to be over was noted then. */
    void targetLost(Target target) {
        if (target.lost()) {
            return;
        }
        long beforeMs = mTerm.nowMs() - CORRELATION_WINDOW_MS;
        mLosses.values().removeIf(loss -> loss.atMs() < beforeMs);
        Set<String> jobs = new HashSet<>();
        target.runs().keySet().forEach(task -> jobs.add(task.job()));
        mLosses.put(target.id(), new Loss(jobs, mTerm.nowMs()));
    }

    /**
     * True when enough other targets were lost in the same moment, or are silent, to tell of a
     * cause outside the run's task. Those with tasks of its own job don't count: the job may crash
     * them all.
     */
    boolean isCorrelated(LostRun run) {
        String job = run.task().job();
        int others = 0;
        for (Map.Entry<String, Loss> loss : mLosses.entrySet()) {
            boolean other = !loss.getKey().equals(run.target());
            others += other && !loss.getValue().jobs().contains(job) ? 1 : 0;
        }
        for (Target target : mTerm.targets().values()) {
            if (others >= MIN_CORRELATED_TARGETS) {
                break;
            }
            others +=
                    becameUnresponsive(target)
                                    && !target.id().equals(run.target())
                                    && !runsJob(target, job)
                            ? 1
                            : 0;
        }
        return others >= MIN_CORRELATED_TARGETS;
    }

    /** True for a target that was heard of in this term, and whose leases are not over yet. */
    private static boolean becameUnresponsive(Target target) {
        return target.reported() && !target.lost() && target.calls().unresponsive();
    }

    private static boolean runsJob(Target target, String job) {
        return target.runs().keySet().stream().anyMatch(task -> task.job().equals(job));
    }
}
