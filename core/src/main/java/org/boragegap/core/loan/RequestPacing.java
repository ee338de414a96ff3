package org.boragegap.core.loan;

/** Limits how often a request is sent, and how soon it is repeated while it is not granted. */
public final class RequestPacing {
    private final long mMinIntervalMs;
    private final long mRepeatMs;
    private long mSentMs = Long.MIN_VALUE / 2;
    private int mOutstanding;

    private RequestPacing(long minIntervalMs, long repeatMs) {
        mMinIntervalMs = minIntervalMs;
        mRepeatMs = repeatMs;
    }

    /**
     * Creates an instance that has sent nothing.
     *
     * @param minIntervalMs least time between two requests, in ms
     * @param repeatMs least time until a request is repeated that was not granted in full, in ms
     */
    public static RequestPacing create(long minIntervalMs, long repeatMs) {
        return new RequestPacing(minIntervalMs, repeatMs);
    }

    /** True when a request may be sent now. */
    public boolean isDue(long nowMs) {
        long elapsedMs = nowMs - mSentMs;
        boolean pending = mOutstanding > 0 && elapsedMs < mRepeatMs;
        return !pending && elapsedMs >= mMinIntervalMs;
    }

    /** Records a request for {@code count} units. */
    public void sent(long nowMs, int count) {
        mSentMs = nowMs;
        mOutstanding = count;
    }

    /** Records that some of the requested units were granted. */
    public void granted(int count) {
        mOutstanding -= count;
    }

    /** When the last request was sent. */
    public long sentMs() {
        return mSentMs;
    }
}
