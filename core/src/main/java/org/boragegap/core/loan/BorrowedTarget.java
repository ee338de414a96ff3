package org.boragegap.core.loan;

import org.boragegap.core.ClockReading;

/** A target that this controller has borrowed: under which fencing token, and until when. */
public final class BorrowedTarget {
    /** What the borrower may do with the target until the end of the loan. */
    private enum State {
        ACTIVE(true, true),
        RECALLED(false, true),
        OVER(false, false);

        private final boolean mMayStart;
        private final boolean mMayCall;

        State(boolean mayStart, boolean mayCall) {
            mMayStart = mayStart;
            mMayCall = mayCall;
        }
    }

    /**
     * Time that a loan must still last when a task is started, in ms: a whole lease, so that its
     * end cuts no lease short unless renewals are lost as well.
     */
    private static final long MIN_START_MS = 1_000;

    /**
     * Difference between the advance of two clocks that counts as a pause of this VM, in ms. Its
     * monotonic clock may have stood still, and then the loan ends later on it than for the lender;
     * the lender's margin covers a difference of 100 ms.
     */
    private static final long PAUSE_THRESHOLD_MS = 50;

    private final int mLenderCell;
    private final long mLenderFence;
    private final TargetLoan mLoan;
    private ClockReading mSince;
    private long mEndMs;
    private State mState = State.ACTIVE;

    BorrowedTarget(
            int lenderCell, long lenderFence, TargetLoan loan, ClockReading since, long endMs) {
        mLenderCell = lenderCell;
        mLenderFence = lenderFence;
        mLoan = loan;
        mSince = since;
        mEndMs = endMs;
    }

    /** Number of the cell that lends the target. */
    public int lenderCell() {
        return mLenderCell;
    }

    /** Fencing token for orders to the target. */
    public long lenderFence() {
        return mLenderFence;
    }

    /** Number of the loan. */
    public long loan() {
        return mLoan.id();
    }

    /** Id of the target. */
    public String target() {
        return mLoan.target();
    }

    /** End of the loan on the borrower's monotonic clock, in ms; no lease may last longer. */
    public long endMs() {
        return mEndMs;
    }

    /** True while the loan has neither ended nor been recalled. */
    boolean active(long nowMs) {
        return mState.mMayStart && mayCall(nowMs);
    }

    /** True when a task may be started there. */
    public boolean mayStart(long nowMs) {
        return mState.mMayStart && nowMs <= mEndMs - MIN_START_MS;
    }

    /** True when the target may be called; afterwards its leases expire. */
    public boolean mayCall(long nowMs) {
        return mState.mMayCall && nowMs < mEndMs;
    }

    /** The target rejects the lender's fencing token: the lender has been replaced. */
    public void end() {
        mState = State.OVER;
    }

    /** No task is started on the target any more; it is returned when it is idle. */
    public void recall() {
        if (mState == State.ACTIVE) {
            mState = State.RECALLED;
        }
    }

    void renew(ClockReading since, long endMs) {
        if (endMs > mEndMs) {
            mSince = since;
            mEndMs = endMs;
        }
    }

    /** Ends the loan when this VM may have been paused since it was counted. */
    void endIfPaused(ClockReading now) {
        long passedMs = now.monotonicMs() - mSince.monotonicMs();
        long passedOnWallMs = now.wallMs() - mSince.wallMs();
        if (Math.abs(passedOnWallMs - passedMs) > PAUSE_THRESHOLD_MS) {
            end();
        }
    }
}
