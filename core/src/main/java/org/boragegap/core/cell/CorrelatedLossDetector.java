package org.boragegap.core.cell;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Determines whether a target was lost alone or together with others.
 *
 * <p>Guards against suspecting tasks after the loss of a rack or the restart of many targets: each
 * suspect task would be given a target of its own.
 */
final class CorrelatedLossDetector {
    /** This many other targets lost at the same time have a common cause outside the task. */
    private static final int MIN_CORRELATED_TARGETS = 3;

    /** Targets found lost within this time of each other, in ms, count as lost at the same time. */
    private static final long CORRELATION_WINDOW_MS = 1_000;

    private record Loss(Set<String> jobs, long atMs) {}

    private final Term mTerm;
    private final Map<String, Loss> mLosses = new LinkedHashMap<>();

    CorrelatedLossDetector(Term term) {
        mTerm = term;
    }

    /** Records the loss of a target; if its leases had expired before, it was recorded then. */
    void targetLost(Target target) {
        if (target.lost()) {
            return;
        }
        long beforeMs = mTerm.nowMs() - CORRELATION_WINDOW_MS;
        mLosses.values().removeIf(loss -> loss.atMs() < beforeMs);
        Set<String> jobs = new HashSet<>();
        target.runs().keySet().forEach(task -> jobs.add(task.job()));
        mLosses.put(target.info().incarnationName(), new Loss(jobs, mTerm.nowMs()));
    }

    /**
     * True when enough other targets were lost at the same time, or are unresponsive, to indicate a
     * cause outside the run's task. Targets with tasks of the same job don't count: the job may
     * crash them all.
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
                                    && !target.info().incarnationName().equals(run.target())
                                    && !runsJob(target, job)
                            ? 1
                            : 0;
        }
        return others >= MIN_CORRELATED_TARGETS;
    }

    /**
     * True for an unresponsive target that has reported in this term and is not marked as lost yet.
     */
    private static boolean becameUnresponsive(Target target) {
        return target.reported() && !target.lost() && target.calls().unresponsive();
    }

    private static boolean runsJob(Target target, String job) {
        return target.runs().keySet().stream().anyMatch(task -> task.job().equals(job));
    }
}
