package org.boragegap.core.limit;

/**
 * Computes when callers of rejected submissions should retry, spread out so that they don't all
 * retry at once.
 */
public final class RetryAfter {
    private static final long MIN_MS = 200;
    private static final long MAX_MS = 30_000;
    private static final long MS_PER_S = 1_000;

    /** Odd constant near 2^32 divided by the golden ratio: spreads hashes of consecutive ids. */
    private static final int HASH_FACTOR = 0x9E3779B9;

    private RetryAfter() {}

    /**
     * The delay after which to retry.
     *
     * @param waitMs estimated time until there is free capacity
     * @param spread any number that differs among callers, such as a hash of the id
     */
    public static long delayMs(double waitMs, long spread) {
        long base = (long) Math.min(MAX_MS, Math.max(MIN_MS, waitMs));
        return base + Math.floorMod(spread, base);
    }

    /**
     * The delay after which to retry, in whole seconds, for callers that are told seconds. A delay
     * that is rounded up by its receiver would be two seconds for nearly all of them.
     *
     * @param waitMs estimated time until there is free capacity
     * @param id id of the submission; consecutive ids get different delays
     */
    public static long wholeSecondsMs(double waitMs, String id) {
        long spread = (id.hashCode() * HASH_FACTOR) >>> 1;
        long delayMs = delayMs(Math.max(MS_PER_S, waitMs), spread);
        return MS_PER_S * Math.round((double) delayMs / MS_PER_S);
    }
}
