package org.boragegap.core.placement;

import org.boragegap.core.job.Resources;

/**
 * What this entry VM believes of one target.
 *
 * <p>A target that fails everything at once looks idle and would draw all work, so it is judged by
 * outcome: after a few failures in a row it gets nothing until a growing pause is over, then one
 * probe.
 */
public final class TargetState {
    private static final int QUARANTINE_THRESHOLD = 3;
    private static final long MIN_QUARANTINE_MS = 500;
    private static final long MAX_QUARANTINE_MS = 30_000;
    private static final int MAX_DOUBLINGS = 6;

    private final Target mTarget;
    private Resources mUsed = Resources.NONE;
    private int mRunning;
    private int mConsecutiveFailures;
    private int mQuarantineCount;
    private long mQuarantinedUntilMs = Long.MIN_VALUE;
    private boolean mProbing;
    private boolean mListedLeaving;
    private boolean mReportedLeaving;

    TargetState(Target target) {
        mTarget = target;
    }

    /** The target. */
    public Target target() {
        return mTarget;
    }

    /** How many tasks this entry VM has running there. */
    public int running() {
        return mRunning;
    }

    /** True when the platform or the target itself said that it is going away. */
    public boolean leaving() {
        return mListedLeaving || mReportedLeaving;
    }

    /** True while the target gets nothing, or only a probe, because of what it did. */
    public boolean quarantined() {
        return mConsecutiveFailures >= QUARANTINE_THRESHOLD;
    }

    /** The target said so itself, which goes before a list that lags. */
    void onReportedLeaving() {
        mReportedLeaving = true;
    }

    /**
     * Takes what the list says; one that lacks the target says that it is leaving. A target that is
     * back after that, or its successor, has said nothing yet.
     */
    void onListed(boolean leaving) {
        mReportedLeaving &= leaving || !mListedLeaving;
        mListedLeaving = leaving;
    }

    /** Share of the target in use, as accounted for here. */
    double load() {
        if (mTarget.role() == Role.MINION) {
            return (double) mRunning / Math.max(1, mTarget.slots());
        }
        return (double) mUsed.cpuMillis() / Math.max(1, mTarget.capacity().cpuMillis());
    }

    boolean accepts(Resources need, long nowMs) {
        if (leaving() || mRunning >= mTarget.slots()) {
            return false;
        }
        if (quarantined() && (mProbing || nowMs < mQuarantinedUntilMs)) {
            return false;
        }
        return mTarget.role() == Role.MINION || need.fitsInto(mTarget.capacity().minus(mUsed));
    }

    void onStarted(Resources need) {
        mRunning++;
        mUsed = mUsed.plus(need);
        mProbing = quarantined();
    }

    /** Room is free again, and nothing is learned about the target. */
    void onReleased(Resources need) {
        mRunning--;
        mUsed = mUsed.minus(need);
    }

    void onEnded(Resources need, boolean blame, long nowMs) {
        mRunning--;
        mUsed = mUsed.minus(need);
        mProbing = false;
        if (blame) {
            mConsecutiveFailures++;
            quarantine(nowMs);
        } else {
            mConsecutiveFailures = 0;
            mQuarantineCount = 0;
        }
    }

    private void quarantine(long nowMs) {
        if (!quarantined()) {
            return;
        }
        long pauseMs = MIN_QUARANTINE_MS << Math.min(mQuarantineCount, MAX_DOUBLINGS);
        mQuarantinedUntilMs = nowMs + Math.min(pauseMs, MAX_QUARANTINE_MS);
        mQuarantineCount++;
    }
}
