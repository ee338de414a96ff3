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
    private static final int OVERDUE_TO_BE_SILENT = 2;

    /** The pause between two standing calls doubles with each overdue one, this often at most. */
    private static final int MOST_DOUBLINGS = 3;

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

    private final Map<Long, Call> mUnderWay = new HashMap<>();
    private Call mStanding;
    private Call mLook;
    private int mOverdueInRow;
    private int mNotSentInRow;
    private long mNextMs;
    private long mAnsweredMs;

    void standingSent(Call call) {
        mUnderWay.put(call.number(), call);
        mStanding = call;
    }

    void lookSent(Call call) {
        mUnderWay.put(call.number(), call);
        mLook = call;
    }

    /** True when a report is under way that was asked for less than a timeout ago. */
    boolean looks(long nowMs, long timeoutMs) {
        return mLook != null && nowMs - mLook.sentMs() <= timeoutMs;
    }

    /** Takes a call off the list; empty for one that is not under way. */
    Optional<Call> end(long number) {
        Call call = mUnderWay.remove(number);
        if (call != null && call == mStanding) {
            mStanding = null;
        }
        if (call != null && call == mLook) {
            mLook = null;
        }
        return Optional.ofNullable(call);
    }

    /** The target has answered; true when an answer before this one was overdue. */
    boolean answered(long nowMs) {
        boolean lost = mOverdueInRow > 0;
        mOverdueInRow = 0;
        mNotSentInRow = 0;
        mAnsweredMs = nowMs;
        mNextMs = nowMs;
        return lost;
    }

    /** When the target last answered any order. */
    long answeredMs() {
        return mAnsweredMs;
    }

    /** Sends no standing call for a while. */
    void pause(long untilMs) {
        mNextMs = untilMs;
    }

    /** True when a standing call should be sent. */
    boolean due(long nowMs) {
        return mStanding == null && nowMs >= mNextMs;
    }

    /**
     * True when a standing call that may be held back for longer than {@code waitMs} has been
     * waited for that long since there is something at work.
     */
    boolean outgrown(long nowMs, long busySinceMs, long waitMs) {
        return mStanding != null
                && mStanding.waitMs() > waitMs
                && nowMs - Math.max(mStanding.sentMs(), busySinceMs) >= waitMs;
    }

    /** Gives up waiting for the standing call when its answer is overdue; true if so. */
    boolean overdue(long nowMs, long timeoutMs) {
        if (mStanding == null) {
            return false;
        }
        long allowedMs =
                mStanding.waitMs() + (timeoutMs << Math.min(mOverdueInRow, MOST_DOUBLINGS));
        if (nowMs - mStanding.sentMs() <= allowedMs) {
            return false;
        }
        mStanding = null;
        mOverdueInRow++;
        mNextMs = nowMs;
        return true;
    }

    /** A call couldn't be sent, since the target takes no connection. */
    void notSent() {
        mNotSentInRow++;
    }

    /** An order of another kind is overdue. */
    void orderOverdue() {
        mOverdueInRow = Math.max(mOverdueInRow, 1);
    }

    /** True when the last order got no answer in time, or couldn't be sent. */
    boolean lastWasOverdue() {
        return mOverdueInRow > 0 || mNotSentInRow > 0;
    }

    /** True when the target gives no answer at all, as far as is known. */
    boolean silent() {
        return mOverdueInRow >= OVERDUE_TO_BE_SILENT || mNotSentInRow >= OVERDUE_TO_BE_SILENT;
    }
}
