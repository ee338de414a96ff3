package org.boragegap.core.cell;

/**
 * Rates targets by the outcome of their runs. A target that fails every run has free capacity at
 * all times and would attract all work; one that has stalled holds on to the work that it has.
 */
final class TargetHealth {
    /** Consecutive failures after which a target is quarantined. */
    private static final int QUARANTINE_THRESHOLD = 3;

    /**
     * First quarantine of a target that fails every run, in ms; doubled each time, up to the
     * maximum.
     */
    private static final long MIN_QUARANTINE_MS = 500;

    private static final long MAX_QUARANTINE_MS = 8_000;

    /**
     * A run is stuck after this many times its expected time plus a slack, if it has made little
     * progress.
     */
    private static final double STUCK_FACTOR = 2.5;

    private static final long STUCK_SLACK_MS = 200;

    /** Lowest speed that is assumed for a target, relative to the typical one. */
    private static final double MIN_SPEED = 0.2;

    private final Term mTerm;
    private final RunTimeEstimator mTimes;

    TargetHealth(Term term, RunTimeEstimator times) {
        mTerm = term;
        mTimes = times;
    }

    /** Called when a run has failed on the target, or the target did not accept it. */
    void recordFailure(Target target) {
        int failures = target.incrementFailures();
        if (failures < QUARANTINE_THRESHOLD) {
            return;
        }
        int doublings = Math.min(failures - QUARANTINE_THRESHOLD, 10);
        long quarantineMs = Math.min(MAX_QUARANTINE_MS, MIN_QUARANTINE_MS << doublings);
        target.quarantine(mTerm.nowMs() + quarantineMs);
        mTerm.log(
                Decision.target(
                        "avoid",
                        target.id(),
                        "failures_in_a_row=" + failures,
                        "one probe after " + quarantineMs + " ms"));
    }

    /** How long the run should take on its target, in ms. */
    long expectedMs(Run run) {
        double expectedMs =
                mTimes.expectedMs(run.task().job().request().queue(), run.task().step());
        return Math.round(expectedMs / Math.max(MIN_SPEED, run.target().speed()));
    }

    /** True when the run should have ended long ago. */
    boolean isOverdue(Run run) {
        boolean running = run.state() == Run.State.RUNNING;
        return running && mTerm.nowMs() - run.confirmedMs() > stuckAfterMs(run);
    }

    /**
     * True when the run has far exceeded its expected time and made little progress, which
     * indicates that its target has stalled.
     *
     * <p>Guards against healthy runs whose end went unreported because answers of the target were
     * lost: finished runs were stopped, and their targets were quarantined. So only a report made
     * after the run should have ended counts.
     */
    boolean isStuck(Run run) {
        boolean seen = run.lastReportedMs() - run.confirmedMs() > stuckAfterMs(run);
        return isOverdue(run) && seen && run.percent() < 50;
    }

    private long stuckAfterMs(Run run) {
        return Math.round(STUCK_FACTOR * expectedMs(run)) + STUCK_SLACK_MS;
    }

    /** Counts a stuck run as a failed run and as a slow one. */
    void recordStuckRun(Run run) {
        run.target().addSpeedSample(1, STUCK_FACTOR);
        recordFailure(run.target());
    }
}
