package org.boragegap.core.cell;

/**
 * Judges targets by what becomes of the runs that they are given. A target that fails everything
 * has free room at all times and would draw all work; one that stands still holds it.
 */
final class TargetHealth {
    /** Failed runs in a row after which a target is given a rest. */
    private static final int QUARANTINE_THRESHOLD = 3;

    /** First rest of a target that fails everything, in ms; doubled each time, up to the most. */
    private static final long MIN_QUARANTINE_MS = 500;

    private static final long MAX_QUARANTINE_MS = 8_000;

    /** A run is stuck after this many times its expected time and a pause, if hardly under way. */
    private static final double STUCK_FACTOR = 2.5;

    private static final long STUCK_SLACK_MS = 200;

    /** No target is taken for slower than this many times the middling one. */
    private static final double MIN_SPEED = 0.2;

    private final Term mTerm;
    private final RunTimeEstimator mTimes;

    TargetHealth(Term term, RunTimeEstimator times) {
        mTerm = term;
        mTimes = times;
    }

    /** A run has failed on the target, or wasn't taken. */
    void recordFailure(Target target) {
        int troubles = target.incrementFailures();
        if (troubles < QUARANTINE_THRESHOLD) {
            return;
        }
        int doublings = Math.min(troubles - QUARANTINE_THRESHOLD, 10);
        long restMs = Math.min(MAX_QUARANTINE_MS, MIN_QUARANTINE_MS << doublings);
        target.quarantine(mTerm.nowMs() + restMs);
        mTerm.log(
                Decision.target(
                        "avoid",
                        target.id(),
                        "failures_in_a_row=" + troubles,
                        "one probe after " + restMs + " ms"));
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
     * A target that stands still shows as a run far over its time that has hardly begun.
     *
     * <p>Guards against sound runs whose end was not heard of, since answers of targets are lost:
     * runs that were done were stopped, and their targets given a rest. So only a report that was
     * made after the run should have ended counts.
     */
    boolean isStuck(Run run) {
        boolean seen = run.lastReportedMs() - run.confirmedMs() > stuckAfterMs(run);
        return isOverdue(run) && seen && run.percent() < 50;
    }

    private long stuckAfterMs(Run run) {
        return Math.round(STUCK_FACTOR * expectedMs(run)) + STUCK_SLACK_MS;
    }

    /** A run that stands still counts as a failed one, and as slow. */
    void recordStuckRun(Run run) {
        run.target().addSpeedSample(1, STUCK_FACTOR);
        recordFailure(run.target());
    }
}
