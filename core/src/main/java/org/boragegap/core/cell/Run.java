package org.boragegap.core.cell;

/** One attempt to run a task on a target, from the start order until its end is known. */
final class Run {
    enum State {
        /** The start order was sent and is not answered yet. */
        STARTING,
        /** The start order got no answer in time: the target may still carry it out at any time. */
        UNCONFIRMED,
        /** The target has confirmed that it runs. */
        RUNNING
    }

    /** How many times the timeout before a stop order is sent again is doubled at most. */
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

    /** When a report last listed the run as running; 0 if none did. */
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

    /**
     * True when only a report requested from now on can tell whether the target carried out the
     * start.
     */
    boolean awaitsReport() {
        return mState == State.UNCONFIRMED && (!stopRequested() || mStopAcknowledged);
    }

    /**
     * True when a report requested at {@code sentMs} was requested after the start order timed out.
     */
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

    /**
     * True when a stop order was not acknowledged within the timeout, which doubles with each stop
     * sent.
     */
    boolean stopOverdue(long nowMs, long timeoutMs) {
        int doublings = Math.min(mStopsSent - 1, MAX_STOP_DOUBLINGS);
        return stopRequested()
                && !mStopAcknowledged
                && nowMs - mStopSentMs > timeoutMs << doublings;
    }

    /** True when the answer to the start order is overdue. */
    boolean startOverdue(long nowMs, long timeoutMs) {
        return mState == State.STARTING && nowMs - mOrderedMs > timeoutMs;
    }

    void stopAcknowledged(long nowMs) {
        mStopAcknowledged = true;
        mStopAcknowledgedMs = nowMs;
    }

    /**
     * True when the absence of this run from a report requested at {@code sentMs} proves that it
     * does not run and never will: before that time, the target had confirmed the run, or had
     * acknowledged the stop and so rejects its start.
     */
    boolean absenceIsConclusive(long sentMs) {
        boolean confirmed = mState == State.RUNNING && mConfirmedMs < sentMs;
        boolean rejected = mStopAcknowledged && mStopAcknowledgedMs < sentMs;
        return confirmed || rejected;
    }
}
