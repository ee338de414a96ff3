package org.boragegap.core.cell;

/**
 * Refuses a job on arrival when its expected wait is so long that its answer would come too late.
 *
 * <p>Without refusal, any start order collapses under overload: partly finished jobs occupy the
 * targets and no job meets its objective. An immediate refusal costs a caller less than a late
 * answer.
 *
 * <p>Jobs start in the order of their latest start, so a job waits only for the jobs ahead of it in
 * that order. Counting all waiting jobs would refuse short jobs because long ones wait behind them.
 */
final class AdmissionControl {
    /**
     * Maximum share of its slack that a job may be expected to wait; run time estimates have errors
     * larger than this share.
     */
    private static final double MAX_SLACK_SHARE = 0.2;

    /** Minimum retry delay given to a refused caller, in ms. */
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private final Term mTerm;
    private final RunTimeEstimator mRunTimes;

    AdmissionControl(Term term, RunTimeEstimator runTimes) {
        mTerm = term;
        mRunTimes = runTimes;
    }

    /** Expected run time of the longest chain of dependent steps, in ms. */
    long criticalPathMs(JobRequest request) {
        long[] chain = new long[request.steps().size()];
        long longest = 0;
        for (int i = 0; i < chain.length; i++) {
            StepRequest step = request.steps().get(i);
            long prerequisitesMs = 0;
            for (int earlier : step.dependsOn()) {
                prerequisitesMs = Math.max(prerequisitesMs, chain[earlier]);
            }
            chain[i] = prerequisitesMs + Math.round(mRunTimes.expectedMs(request.queue(), step));
            longest = Math.max(longest, chain[i]);
        }
        return longest;
    }

    /**
     * Expected wait of a new job, in ms: the work of all jobs ahead of it, divided by the number of
     * tasks that can run at once.
     */
    long expectedWaitMs(CellJob newJob) {
        double workMs = 0;
        double cpuMs = 0;
        for (CellJob job : mTerm.waiting().headSet(newJob)) {
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

    /**
     * Number of tasks of this size that can run at once, counting only whole tasks on each target.
     */
    private double slots(double cpuMillis) {
        double slots = 0;
        for (Target target : mTerm.targets().values()) {
            boolean usable = target.reported() && !target.lost() && !target.info().draining();
            usable &= mTerm.evacuations().allows(target.info()) && target.mayCall(mTerm.nowMs());
            if (usable && !target.quarantined()) {
                slots += Math.floor(target.info().cpuMillis() / Math.max(1, cpuMillis));
            }
        }
        return slots;
    }

    /** True when a job with this expected wait is unlikely to meet its objective. */
    boolean tooLate(CellJob job, long expectedWaitMs) {
        long slackMs = job.latestStartMs() - mTerm.nowMs();
        return expectedWaitMs > MAX_SLACK_SHARE * slackMs;
    }

    long retryAfterMs(long expectedWaitMs) {
        return Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs);
    }
}
