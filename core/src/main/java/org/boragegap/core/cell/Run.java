package org.boragegap.core.cell;

/** One start of one task on one target, from the order until its end is known. */
final class Run {
    enum State {
        /** The order to start is under way. */
        STARTING,
        /** The order got no answer: the target may carry it out at any time. */
        UNCONFIRMED,
        /** The target said that it runs. */
        RUNNING
    }

    /** The pause before a stop is sent again doubles this often at most. */
    private static final int MAX_STOP_DOUBLINGS = 3;

    private final CellTask mTask;
    private final int mNumber;
    private final Target mTarget;
    private final long mOrderedMs;
    private State mState;
    private long mConfirmedMs;
    private long mUnconfirmedSinceMs;
    private int mPercent;
    private long mLastReportedMs;
    private int mStopsSent;
    private long mStopSentMs;
    private boolean mStopAcknowledged;
    private long mStopAcknowledgedMs;

    Run(CellTask task, int number, Target target, long nowMs, State state) {
        mTask = task;
        mNumber = number;
        mTarget = target;
        mOrderedMs = nowMs;
        mConfirmedMs = nowMs;
        mState = state;
    }

    CellTask task() {
        return mTask;
    }

    int number() {
        return mNumber;
    }

    Target target() {
        return mTarget;
    }

    State state() {
        return mState;
    }

    long orderedMs() {
        return mOrderedMs;
    }

    long confirmedMs() {
        return mConfirmedMs;
    }

    int percent() {
        return mPercent;
    }

    void updateProgress(int percent, long nowMs) {
        confirm(nowMs);
        mPercent = percent;
        mLastReportedMs = nowMs;
    }

    /** When a report last listed it at work; 0 for never. */
    long lastReportedMs() {
        return mLastReportedMs;
    }

    void confirm(long nowMs) {
        if (mState != State.RUNNING) {
            mState = State.RUNNING;
            mConfirmedMs = nowMs;
        }
    }

    void markUnconfirmed(long nowMs) {
        if (mState == State.STARTING) {
            mState = State.UNCONFIRMED;
            mUnconfirmedSinceMs = nowMs;
        }
    }

    /** True when only a report asked for from now on can tell what became of it. */
    boolean awaitsReport() {
        return mState == State.UNCONFIRMED && (!stopRequested() || mStopAcknowledged);
    }

    /** True when a report asked for at {@code sentMs} was asked for after the order failed. */
    boolean unconfirmedBefore(long sentMs) {
        return mState == State.UNCONFIRMED && mUnconfirmedSinceMs <= sentMs;
    }

    void requestStop(long nowMs) {
        mStopsSent++;
        mStopSentMs = nowMs;
    }

    boolean stopRequested() {
        return mStopsSent > 0;
    }

    /** True when a stop was asked for and not acknowledged in time; longer with each one sent. */
    boolean stopOverdue(long nowMs, long timeoutMs) {
        int doublings = Math.min(mStopsSent - 1, MAX_STOP_DOUBLINGS);
        return stopRequested()
                && !mStopAcknowledged
                && nowMs - mStopSentMs > timeoutMs << doublings;
    }

    /** True when the answer to the order to start is overdue. */
    boolean startOverdue(long nowMs, long timeoutMs) {
        return mState == State.STARTING && nowMs - mOrderedMs > timeoutMs;
    }

    void stopAcknowledged(long nowMs) {
        mStopAcknowledged = true;
        mStopAcknowledgedMs = nowMs;
    }

    /**
     * True when a report asked for at {@code sentMs} that doesn't list this run proves that it does
     * not run and never will: the target had confirmed it, or had promised to reject it, before.
     */
    boolean absenceIsConclusive(long sentMs) {
        boolean confirmed = mState == State.RUNNING && mConfirmedMs < sentMs;
        boolean rejected = mStopAcknowledged && mStopAcknowledgedMs < sentMs;
        return confirmed || rejected;
    }
}
