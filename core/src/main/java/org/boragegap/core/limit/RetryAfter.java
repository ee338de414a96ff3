package org.boragegap.core.limit;

/** Tells refused callers when to come back, spread out so that they don't all come at once. */
public final class RetryAfter {
    private static final long LEAST_MS = 200;
    private static final long MOST_MS = 30_000;

    private RetryAfter() {}

    /**
     * When to come back.
     *
     * @param waitMs estimated time until there is room
     * @param spread any number that differs among callers, such as a hash of the id
     */
    public static long afterMs(double waitMs, long spread) {
        long base = (long) Math.min(MOST_MS, Math.max(LEAST_MS, waitMs));
        return base + Math.floorMod(spread, base);
    }
}
