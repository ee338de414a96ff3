package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The lease calls to one target that are in flight.
 *
 * <p>One of them is a long poll: the target holds back its answer until a run ends. Others request
 * a report immediately. A long poll whose answer is overdue is replaced, while its late answer
 * still counts.
 */
final class LeaseCalls {
    /**
     * Consecutive calls, either overdue or not sent, after which the target counts as unresponsive;
     * a single lost answer is not enough.
     */
    private static final int CALLS_UNTIL_UNRESPONSIVE = 2;

    /** The timeout of a long poll doubles with each consecutive overdue one, at most this often. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /**
     * A lease call.
     *
     * @param number identifies the call
     * @param sentMs when it was sent
     * @param waitMs how long the target may hold back its answer, in ms
     */
    record Call(long number, long sentMs, long waitMs) {
        /**
         * True when the target held back the answer until a run ended; false also for an answer
         * that comes later than the target may hold it back, since it was delayed on its way.
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

    /** True when a report was requested at most a timeout ago and has not arrived yet. */
    boolean reportRequestPending(long nowMs, long timeoutMs) {
        return mReportRequest != null && nowMs - mReportRequest.sentMs() <= timeoutMs;
    }

    /** Removes and returns a call that has ended; empty for one that is not in flight. */
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

    /**
     * Called when the target has answered; returns true when an answer before this one was overdue.
     */
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

    /** Allows no further long poll until the given time. */
    void delayLongPoll(long untilMs) {
        mNextLongPollMs = untilMs;
    }

    /** True when a long poll should be sent. */
    boolean longPollDue(long nowMs) {
        return mLongPoll == null && nowMs >= mNextLongPollMs;
    }

    /**
     * True when a long poll that may be held back for longer than {@code waitMs} has been pending
     * for {@code waitMs} while something was running.
     */
    boolean longPollTooLong(long nowMs, long busySinceMs, long waitMs) {
        return mLongPoll != null
                && mLongPoll.waitMs() > waitMs
                && nowMs - Math.max(mLongPoll.sentMs(), busySinceMs) >= waitMs;
    }

    /** Stops waiting for the long poll when its answer is overdue; returns true if so. */
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

    /** Called when a call could not be sent, since the target accepts no connection. */
    void notSent() {
        mConsecutiveNotSent++;
    }

    /** Called when the answer to an order of another kind is overdue. */
    void orderOverdue() {
        mConsecutiveOverdue = Math.max(mConsecutiveOverdue, 1);
    }

    /** True when the last call could not be sent. */
    boolean lastCallNotSent() {
        return mConsecutiveNotSent > 0;
    }

    /** True when the last order was not answered in time or could not be sent. */
    boolean lastOrderFailed() {
        return mConsecutiveOverdue > 0 || mConsecutiveNotSent > 0;
    }

    /** True when the target, as far as is known, does not answer at all. */
    boolean unresponsive() {
        return mConsecutiveOverdue >= CALLS_UNTIL_UNRESPONSIVE
                || mConsecutiveNotSent >= CALLS_UNTIL_UNRESPONSIVE;
    }
}
