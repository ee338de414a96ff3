package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The lease calls to one target that are under way.
 *
 * <p>One of them is the standing call: the target holds it back until something ends. Others ask
 * for a report at once. A standing call whose answer is overdue is replaced, while its late answer
 * still counts.
 */
final class LeaseCalls {
    /**
     * Calls in a row, overdue or not sent, after which the target counts as silent: one lost answer
     * is not.
     */
    private static final int CALLS_UNTIL_UNRESPONSIVE = 2;

    /** The pause between two standing calls doubles with each overdue one, this often at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /**
     * A call.
     *
     * @param number names it
     * @param sentMs when it was sent
     * @param waitMs how long the target may hold its answer back, in ms
     */
    record Call(long number, long sentMs, long waitMs) {
        /**
         * True when the target held the answer back until something ended; false also for an answer
         * that comes later than that, which was held up on its way.
         */
        boolean wasHeld(long answeredMs, long timeoutMs) {
            long tookMs = answeredMs - sentMs;
            return tookMs > timeoutMs && tookMs <= waitMs + timeoutMs;
        }
    }

    private final Map<Long, Call> mInFlight = new HashMap<>();
    private Call mLongPoll;
    private Call mReportRequest;
    private int mConsecutiveOverdue;
    private int mConsecutiveNotSent;
    private long mNextLongPollMs;
    private long mAnsweredMs;

    void longPollSent(Call call) {
        mInFlight.put(call.number(), call);
        mLongPoll = call;
    }

    void reportRequestSent(Call call) {
        mInFlight.put(call.number(), call);
        mReportRequest = call;
    }

    /** True when a report is under way that was asked for less than a timeout ago. */
    boolean reportRequestPending(long nowMs, long timeoutMs) {
        return mReportRequest != null && nowMs - mReportRequest.sentMs() <= timeoutMs;
    }

    /** Takes a call off the list; empty for one that is not under way. */
    Optional<Call> complete(long number) {
        Call call = mInFlight.remove(number);
        if (call != null && call == mLongPoll) {
            mLongPoll = null;
        }
        if (call != null && call == mReportRequest) {
            mReportRequest = null;
        }
        return Optional.ofNullable(call);
    }

    /** The target has answered; true when an answer before this one was overdue. */
    boolean answered(long nowMs) {
        boolean lost = mConsecutiveOverdue > 0;
        mConsecutiveOverdue = 0;
        mConsecutiveNotSent = 0;
        mAnsweredMs = nowMs;
        mNextLongPollMs = nowMs;
        return lost;
    }

    /** When the target last answered any order. */
    long answeredMs() {
        return mAnsweredMs;
    }

    /** Sends no standing call for a while. */
    void delayLongPoll(long untilMs) {
        mNextLongPollMs = untilMs;
    }

    /** True when a standing call should be sent. */
    boolean longPollDue(long nowMs) {
        return mLongPoll == null && nowMs >= mNextLongPollMs;
    }

    /**
     * True when a standing call that may be held back for longer than {@code waitMs} has been
     * waited for that long since there is something at work.
     */
    boolean longPollTooLong(long nowMs, long busySinceMs, long waitMs) {
        return mLongPoll != null
                && mLongPoll.waitMs() > waitMs
                && nowMs - Math.max(mLongPoll.sentMs(), busySinceMs) >= waitMs;
    }

    /** Gives up waiting for the standing call when its answer is overdue; true if so. */
    boolean dropOverdueLongPoll(long nowMs, long timeoutMs) {
        if (mLongPoll == null) {
            return false;
        }
        long allowedMs =
                mLongPoll.waitMs()
                        + (timeoutMs << Math.min(mConsecutiveOverdue, MAX_BACKOFF_DOUBLINGS));
        if (nowMs - mLongPoll.sentMs() <= allowedMs) {
            return false;
        }
        mLongPoll = null;
        mConsecutiveOverdue++;
        mNextLongPollMs = nowMs;
        return true;
    }

    /** A call couldn't be sent, since the target takes no connection. */
    void notSent() {
        mConsecutiveNotSent++;
    }

    /** An order of another kind is overdue. */
    void orderOverdue() {
        mConsecutiveOverdue = Math.max(mConsecutiveOverdue, 1);
    }

    /** True when the last order got no answer in time, or couldn't be sent. */
    boolean lastOrderFailed() {
        return mConsecutiveOverdue > 0 || mConsecutiveNotSent > 0;
    }

    /** True when the target gives no answer at all, as far as is known. */
    boolean unresponsive() {
        return mConsecutiveOverdue >= CALLS_UNTIL_UNRESPONSIVE
                || mConsecutiveNotSent >= CALLS_UNTIL_UNRESPONSIVE;
    }
}
