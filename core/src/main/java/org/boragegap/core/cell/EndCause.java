package org.boragegap.core.cell;

/** Why a run ended on its target. */
public enum EndCause {
    /** The task is done. */
    DONE(true, false),
    /** The task failed, because of the task itself or of the target. */
    FAILED(false, true),
    /** The controller stopped the run. */
    STOPPED(false, false),
    /** Its lease expired. */
    LAPSED(false, false),
    /** Another member of its gang ended. */
    BROKEN(false, false),
    /** The other members of its gang did not start in time. */
    ALONE(false, false);

    private final boolean mDone;
    private final boolean mCountsAsAttempt;

    EndCause(boolean done, boolean countsAsAttempt) {
        mDone = done;
        mCountsAsAttempt = countsAsAttempt;
    }

    /** True when the task does not have to run again. */
    public boolean done() {
        return mDone;
    }

    /** True when the run counts towards the queue's limit of attempts. */
    public boolean countsAsAttempt() {
        return mCountsAsAttempt;
    }
}
