package org.boragegap.core.job;

/** What a failed answer says about the work. */
public enum FailureKind {
    /** No task was started, and none will be. */
    NOT_RUN(true),
    /** Some or all of the work may have run. */
    MAY_HAVE_RUN(false),
    /** The work ran, and failed. */
    FAILED(false),
    /** It can never run as it was asked for. */
    IMPOSSIBLE(true),
    /** The id was used with another body; this body was not run. */
    CONFLICT(true),
    /** The caller cancelled it. */
    CANCELLED(false);

    private final boolean mNothingRan;

    FailureKind(boolean nothingRan) {
        mNothingRan = nothingRan;
    }

    /** True when it is certain that nothing of this submission ran. */
    public boolean nothingRan() {
        return mNothingRan;
    }
}
