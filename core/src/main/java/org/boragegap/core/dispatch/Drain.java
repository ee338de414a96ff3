package org.boragegap.core.dispatch;

/** State of a graceful shutdown. */
final class Drain {
    private boolean mActive;
    private static final long LEAVE_TIMEOUT_MS = 2_000;
    private static final long NOT_YET = -1;

    private boolean mReported;
    private long mLeavingSinceMs = NOT_YET;
    private long mDeadlineMs;
    private long mAnsweredBefore;
    private long mFailed;

    private Drain() {}

    static Drain notStarted() {
        return new Drain();
    }

    /** Starts the drain; has no effect if it was started before. */
    void start(long deadlineMs, long answeredBefore) {
        if (mActive) {
            return;
        }
        mActive = true;
        mDeadlineMs = deadlineMs;
        mAnsweredBefore = answeredBefore;
    }

    boolean active() {
        return mActive;
    }

    boolean reported() {
        return mReported;
    }

    boolean overdue(long nowMs) {
        return mActive && nowMs >= mDeadlineMs;
    }

    /**
     * True on the first call only: then the siblings are to be asked for a view without this VM.
     */
    boolean startLeaving(long nowMs) {
        if (mLeavingSinceMs != NOT_YET) {
            return false;
        }
        mLeavingSinceMs = nowMs;
        return true;
    }

    /**
     * True when the siblings have not changed the view in time. The process may exit: they will
     * suspect this VM by themselves.
     */
    boolean leaveTimedOut(long nowMs) {
        return mLeavingSinceMs != NOT_YET && nowMs - mLeavingSinceMs > LEAVE_TIMEOUT_MS;
    }

    void addFailed(int failed) {
        mFailed += failed;
    }

    Action.ReportDrained report(long answered) {
        mReported = true;
        return new Action.ReportDrained(answered - mAnsweredBefore, mFailed);
    }
}
