package org.boragegap.core.cell;

import java.util.List;
import org.boragegap.core.speed.DrainForecast;

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

    /**
     * The same where the wait is forecast from the ends of the running tasks, which leaves less
     * uncertain than the amount of work alone.
     */
    private static final double MAX_FORECAST_SHARE = 0.8;

    /** Share of its expected time that a run is assumed to need still, however long it has run. */
    private static final double MIN_REMAINING_SHARE = 0.1;

    private final Term mTerm;
    private final RunTimeEstimator mRunTimes;
    private final DrainForecast mForecast = DrainForecast.create();

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

    /** Computes how much of the job follows each step; a job of one step needs nothing. */
    void setTails(CellJob job) {
        List<StepRequest> steps = job.request().steps();
        if (!mTerm.speeds().enabled() || steps.size() < 2) {
            return;
        }
        long[] tails = new long[steps.size()];
        for (int i = tails.length - 1; i > 0; i--) {
            double chainMs = tails[i] + mRunTimes.expectedMs(job.request().queue(), steps.get(i));
            for (int earlier : steps.get(i).dependsOn()) {
                tails[earlier] = Math.max(tails[earlier], Math.round(chainMs));
            }
        }
        job.setTailsMs(tails);
    }

    /**
     * Expected wait of a new job, in ms: the work of all jobs ahead of it, divided by the number of
     * tasks that can run at once. Where the targets' speeds differ, also until when the places are
     * occupied, and how fast they are.
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
        if (mTerm.speeds().differ()) {
            return Math.round(forecast(meanCpu).waitMs(workMs));
        }
        return Math.round(workMs / Math.max(1.0, slots(meanCpu)));
    }

    /**
     * Number of tasks of this size that can run at once, counting only whole tasks on each target.
     */
    private double slots(double cpuMillis) {
        double slots = 0;
        for (Target target : mTerm.targets().values()) {
            if (isUsable(target)) {
                slots += slots(target, cpuMillis);
            }
        }
        return slots;
    }

    private static double slots(Target target, double cpuMillis) {
        return Math.floor(target.info().cpuMillis() / Math.max(1, cpuMillis));
    }

    private boolean isUsable(Target target) {
        boolean usable = target.reported() && !target.lost() && !target.info().draining();
        usable &= mTerm.evacuations().allows(target.info()) && target.mayCall(mTerm.nowMs());
        return usable && !target.quarantined();
    }

    /** When the places for tasks of this size become free. */
    private DrainForecast forecast(double cpuMillis) {
        mForecast.clear();
        for (Target target : mTerm.targets().values()) {
            if (isUsable(target)) {
                addPlaces(target, cpuMillis);
            }
        }
        return mForecast;
    }

    private void addPlaces(Target target, double cpuMillis) {
        double speed = mTerm.speeds().relative(target.measuredSpeed().speed());
        double free = slots(target, cpuMillis);
        for (Run run : target.runs().values()) {
            if (free < 1) {
                return;
            }
            mForecast.add(speed, remainingMs(run, speed));
            free--;
        }
        mForecast.add(free * speed, 0);
    }

    private double remainingMs(Run run, double speed) {
        CellTask task = run.task();
        double expectedMs = mRunTimes.expectedMs(task.job().request().queue(), task.step()) / speed;
        double elapsedMs = mTerm.nowMs() - run.confirmedMs();
        return Math.max(MIN_REMAINING_SHARE * expectedMs, expectedMs - elapsedMs);
    }

    /** True when a job with this expected wait is unlikely to meet its objective. */
    boolean tooLate(CellJob job, long expectedWaitMs) {
        long slackMs = job.latestStartMs() - mTerm.nowMs();
        double share = mTerm.speeds().differ() ? MAX_FORECAST_SHARE : MAX_SLACK_SHARE;
        return expectedWaitMs > share * slackMs;
    }
}
