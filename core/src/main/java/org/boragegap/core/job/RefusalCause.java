package org.boragegap.core.job;

/** Why an attempt was refused without running any part of the task. */
public enum RefusalCause {
    /** The target has no free capacity now. */
    BUSY(false),
    /** The target is leaving the deployment. */
    LEAVING(false),
    /** No connection to the target could be opened. */
    UNREACHABLE(true),
    /** The time by which the task had to start had already passed. */
    TOO_LATE(false);

    private final boolean mTargetAtFault;

    RefusalCause(boolean targetAtFault) {
        mTargetAtFault = targetAtFault;
    }

    /** True when the refusal counts as a failure of the target. */
    public boolean targetAtFault() {
        return mTargetAtFault;
    }
}
