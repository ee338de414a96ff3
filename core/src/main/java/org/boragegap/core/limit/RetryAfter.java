package org.boragegap.core.limit;

/**
 * Computes when callers of rejected submissions should retry, spread out so that they don't all
 * retry at once.
 */
public final class RetryAfter {
    private static final long MIN_MS = 200;
    private static final long MAX_MS = 30_000;

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
}
