package org.boragegap.core.cell;

/** Why a run ended on its target. */
public enum EndCause {
    /** The task is done. */
    DONE(true, false),
    /** It failed, through its own fault or the target's. */
    FAILED(false, true),
    /** Stopped on our order. */
    STOPPED(false, false),
    /** Its lease ran out. */
    LAPSED(false, false),
    /** Another member of its gang ended. */
    BROKEN(false, false),
    /** The other members of its gang did not come in time. */
    ALONE(false, false);

    private final boolean mDone;
    private final boolean mAttempt;

    EndCause(boolean done, boolean attempt) {
        mDone = done;
        mAttempt = attempt;
    }

    /** True when the task need not run again. */
    public boolean done() {
        return mDone;
    }

    /** True when it counts towards the queue's limit of attempts. */
    public boolean countsAsAttempt() {
        return mAttempt;
    }
}
