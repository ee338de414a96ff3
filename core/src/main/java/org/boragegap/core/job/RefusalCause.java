package org.boragegap.core.job;

/** Why nothing of an attempt was run. */
public enum RefusalCause {
    /** The target has no room now. */
    BUSY(false),
    /** The target is going away. */
    LEAVING(false),
    /** No connection to the target could be opened. */
    UNREACHABLE(true),
    /** The time by which the task had to start had passed. */
    TOO_LATE(false);

    private final boolean mTargetAtFault;

    RefusalCause(boolean targetAtFault) {
        mTargetAtFault = targetAtFault;
    }

    /** True when the refusal speaks against the target. */
    public boolean targetAtFault() {
        return mTargetAtFault;
    }
}
