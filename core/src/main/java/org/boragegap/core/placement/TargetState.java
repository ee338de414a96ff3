package org.boragegap.core.placement;

import org.boragegap.core.job.Resources;

/**
 * This entry VM's view of one target.
 *
 * <p>A target that fails every task immediately looks idle and would attract all tasks. Therefore a
 * target is quarantined after a few consecutive failures: it gets no task until a pause is over,
 * and then a single one as a probe. The pause doubles with each further failure, up to a limit.
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

    /**
     * Number of slots that this entry VM accounts as in use, by its own tasks or lent to siblings.
     * A task on a borrowed slot is accounted for by the target's owner only.
     */
    public int running() {
        return mRunning;
    }

    /** True when the platform's list or the target itself has said that it is leaving. */
    public boolean leaving() {
        return mListedLeaving || mReportedLeaving;
    }

    /** True while the target gets no tasks, or only a probe, because of its failures. */
    public boolean quarantined() {
        return mConsecutiveFailures >= QUARANTINE_THRESHOLD;
    }

    /** The target itself has said that it is leaving; this overrides a list that is out of date. */
    void onReportedLeaving() {
        mReportedLeaving = true;
    }

    /**
     * Updates the state from the platform's list; a list without the target counts as leaving. If
     * the target is listed normally after that, it is back or has a successor at its address, and
     * the earlier report of the target itself no longer applies.
     */
    void onListed(boolean leaving) {
        mReportedLeaving &= leaving || !mListedLeaving;
        mListedLeaving = leaving;
    }

    /** The part of a minion's slots or a worker's CPU that this entry VM accounts as in use. */
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

    /** Releases capacity without an outcome by which to judge the target. */
    void onReleased(Resources need) {
        mRunning--;
        mUsed = mUsed.minus(need);
    }

    void onEnded(Resources need, boolean targetAtFault, long nowMs) {
        mRunning--;
        mUsed = mUsed.minus(need);
        mProbing = false;
        if (targetAtFault) {
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
