package org.boragegap.core.cell;

/**
 * Refuses a job at the door when it would wait so long that its answer would come too late.
 *
 * <p>Under overload every order without refusal collapses: half-done jobs hold the targets and
 * nothing is in time. A refusal at once costs a caller less than a late answer.
 *
 * <p>Jobs start in the order of their latest start, so a job waits only for what is before it in
 * that order. Counting all that waits would refuse short jobs because long ones wait behind them.
 */
final class AdmissionControl {
    /** Share of its slack that a job may be expected to wait; estimates are off by more. */
    private static final double MAX_SLACK_SHARE = 0.2;

    /** Least time after which a refused caller is asked to come back, in ms. */
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private final Term mTerm;
    private final RunTimeEstimator mRunTimes;

    AdmissionControl(Term term, RunTimeEstimator times) {
        mTerm = term;
        mRunTimes = times;
    }

    /** Expected run time of the longest chain of steps, in ms. */
    long criticalPathMs(JobRequest request) {
        long[] chain = new long[request.steps().size()];
        long longest = 0;
        for (int i = 0; i < chain.length; i++) {
            StepRequest step = request.steps().get(i);
            long before = 0;
            for (int earlier : step.dependsOn()) {
                before = Math.max(before, chain[earlier]);
            }
            chain[i] = before + Math.round(mRunTimes.expectedMs(request.queue(), step));
            longest = Math.max(longest, chain[i]);
        }
        return longest;
    }

    /** Expected wait of a new job: all work before it, over all that can run at once. */
    long expectedWaitMs(CellJob newcomer) {
        double workMs = 0;
        double cpuMs = 0;
        for (CellJob job : mTerm.waiting().headSet(newcomer)) {
            for (int i = 0; i < job.request().steps().size(); i++) {
                StepRequest step = job.request().steps().get(i);
                double expectedMs = mRunTimes.expectedMs(job.request().queue(), step);
                double stepMs = expectedMs * job.readyCount(i);
                workMs += stepMs;
                cpuMs += stepMs * step.cpuMillis();
            }
        }
        if (workMs == 0) {
            return 0;
        }
        double meanCpu = cpuMs / workMs;
        return Math.round(workMs / Math.max(1.0, slots(meanCpu)));
    }

    /** How many tasks of this size run at once, each target filled with whole tasks. */
    private double slots(double cpuMillis) {
        double slots = 0;
        for (Target target : mTerm.targets().values()) {
            boolean usable = target.reported() && !target.lost() && !target.info().draining();
            usable &= mTerm.evacuations().allows(target.info());
            if (usable && !target.quarantined()) {
                slots += Math.floor(target.info().cpuMillis() / Math.max(1, cpuMillis));
            }
        }
        return slots;
    }

    /** True when a job with this wait ahead of it can't be expected to be in time. */
    boolean tooLate(CellJob job, long waitMs) {
        long slackMs = job.latestStartMs() - mTerm.nowMs();
        return waitMs > MAX_SLACK_SHARE * slackMs;
    }

    long retryAfterMs(long waitMs) {
        return Math.max(MIN_RETRY_AFTER_MS, waitMs);
    }
}
