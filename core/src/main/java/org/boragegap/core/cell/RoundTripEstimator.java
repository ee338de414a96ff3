package org.boragegap.core.cell;

/**
 * Estimates the round trip to a target, and the timeout after which an answer counts as lost.
 *
 * <p>The estimate is that of TCP (RFC 6298): a smoothed round trip time and its mean deviation.
 * Answers that arrive after the timeout count too, so a target, or this VM, that has become slow
 * raises its own timeout and is not taken for a network that loses answers.
 */
final class RoundTripEstimator {
    /**
     * Minimum timeout, in ms. A round trip takes 1 to 3 ms; a pause of the garbage collector or
     * work of the control thread adds up to some ten.
     */
    static final long MIN_TIMEOUT_MS = 25;

    /** Timeout before the first answer, in ms: the connection may have to be opened. */
    private static final long INITIAL_TIMEOUT_MS = 100;

    /** Maximum timeout, in ms; the call itself is aborted then and its connection closed. */
    private static final long MAX_TIMEOUT_MS = 250;

    /**
     * Weight of a new sample in the smoothed round trip time; this and the next two are those of
     * RFC 6298.
     */
    private static final double MEAN_WEIGHT = 0.125;

    private static final double DEVIATION_WEIGHT = 0.25;
    private static final double DEVIATION_FACTOR = 4;

    private double mMeanMs = -1;
    private double mDeviationMs;

    /**
     * Adds the time from an order to its answer; only for orders whose answers targets don't hold
     * back.
     */
    void add(long tookMs) {
        if (mMeanMs < 0) {
            mMeanMs = tookMs;
            mDeviationMs = tookMs / 2.0;
            return;
        }
        mDeviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - mMeanMs) - mDeviationMs);
        mMeanMs += MEAN_WEIGHT * (tookMs - mMeanMs);
    }

    /** Time without an answer, in ms, after which it is probably lost. */
    long timeoutMs() {
        if (mMeanMs < 0) {
            return INITIAL_TIMEOUT_MS;
        }
        long timeoutMs = Math.round(mMeanMs + DEVIATION_FACTOR * mDeviationMs);
        return Math.max(MIN_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, timeoutMs));
    }
}
