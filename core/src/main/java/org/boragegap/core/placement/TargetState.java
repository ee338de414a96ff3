package org.boragegap.core.placement;

import org.boragegap.core.job.Need;

/**
 * What this entry VM believes of one target.
 *
 * <p>A target that fails everything at once looks idle and would draw all work, so it is judged by
 * outcome: after a few failures in a row it gets nothing until a growing pause is over, then one
 * probe.
 */
public final class TargetState {
    private static final int FAILURES_TO_QUARANTINE = 3;
    private static final long FIRST_PAUSE_MS = 500;
    private static final long LONGEST_PAUSE_MS = 30_000;
    private static final int GROWTH_LIMIT = 6;

    private final Target mTarget;
    private Need mUsed = Need.NONE;
    private int mRunning;
    private int mFailuresInRow;
    private int mQuarantines;
    private long mQuarantinedUntilMs = Long.MIN_VALUE;
    private boolean mProbing;
    private boolean mListedLeaving;
    private boolean mSaidLeaving;

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
        return mListedLeaving || mSaidLeaving;
    }

    /** True while the target gets nothing, or only a probe, because of what it did. */
    public boolean quarantined() {
        return mFailuresInRow >= FAILURES_TO_QUARANTINE;
    }

    /** The target said so itself, which goes before a list that lags. */
    void saidLeaving() {
        mSaidLeaving = true;
    }

    /**
     * Takes what the list says; one that lacks the target says that it is leaving. A target that is
     * back after that, or its successor, has said nothing yet.
     */
    void listed(boolean leaving) {
        mSaidLeaving &= leaving || !mListedLeaving;
        mListedLeaving = leaving;
    }

    /** Share of the target in use, as accounted for here. */
    double load() {
        if (mTarget.role() == Role.MINION) {
            return (double) mRunning / Math.max(1, mTarget.slots());
        }
        return (double) mUsed.cpuMillis() / Math.max(1, mTarget.capacity().cpuMillis());
    }

    boolean accepts(Need need, long nowMs) {
        if (leaving() || mRunning >= mTarget.slots()) {
            return false;
        }
        if (quarantined() && (mProbing || nowMs < mQuarantinedUntilMs)) {
            return false;
        }
        return mTarget.role() == Role.MINION || need.fits(mTarget.capacity().minus(mUsed));
    }

    void started(Need need) {
        mRunning++;
        mUsed = mUsed.plus(need);
        mProbing = quarantined();
    }

    /** Room is free again, and nothing is learned about the target. */
    void freed(Need need) {
        mRunning--;
        mUsed = mUsed.minus(need);
    }

    void ended(Need need, boolean blame, long nowMs) {
        mRunning--;
        mUsed = mUsed.minus(need);
        mProbing = false;
        if (blame) {
            mFailuresInRow++;
            quarantine(nowMs);
        } else {
            mFailuresInRow = 0;
            mQuarantines = 0;
        }
    }

    private void quarantine(long nowMs) {
        if (!quarantined()) {
            return;
        }
        long pauseMs = FIRST_PAUSE_MS << Math.min(mQuarantines, GROWTH_LIMIT);
        mQuarantinedUntilMs = nowMs + Math.min(pauseMs, LONGEST_PAUSE_MS);
        mQuarantines++;
    }
}
