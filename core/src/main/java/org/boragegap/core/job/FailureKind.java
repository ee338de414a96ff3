package org.boragegap.core.job;

/** What a failed answer says about whether the tasks ran. */
public enum FailureKind {
    /** No task was started, and none will be. */
    NOT_RUN(true),
    /** Some or all of the tasks may have run. */
    MAY_HAVE_RUN(false),
    /** A task ran and failed. */
    FAILED(false),
    /** The submission can never run as requested. */
    IMPOSSIBLE(true),
    /** The id was already used with another body; this body was not run. */
    CONFLICT(true),
    /** The caller cancelled the submission, some of which may have run before that. */
    CANCELLED(false);

    private final boolean mNothingRan;

    FailureKind(boolean nothingRan) {
        mNothingRan = nothingRan;
    }

    /** True when it is certain that no task of this submission ran. */
    public boolean nothingRan() {
        return mNothingRan;
    }
}
