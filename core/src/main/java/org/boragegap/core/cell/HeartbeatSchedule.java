package org.boragegap.core.cell;

/**
 * When a controller's next heartbeat is due, by the size of the deployment and its own hold-ups.
 */
final class HeartbeatSchedule {
    /**
     * Least time between two heartbeats while a controller waits for answers of the others before
     * it may start tasks, in ms. Each answer may be the one that settles the term, and callers wait
     * for it.
     */
    private static final long MIN_UNSETTLED_PERIOD_MS = 40;

    /** While it waits, heartbeats come this many times as often. */
    private static final int UNSETTLED_RATE_FACTOR = 4;

    /**
     * Being held up for this long, in ms, halves what a VM's processor counts for: more than a
     * pause of the garbage collector, less than a silence that counts.
     */
    private static final long STALL_HALVING_MS = 200;

    private static final int DEFAULT_CPU_MILLIS = 1_000;

    private final StallTracker mStalls = new StallTracker();
    private int mCells = 1;
    private int mCpuMillis = DEFAULT_CPU_MILLIS;
    private long mSentMs;

    /** See {@link CellMember#deployment}. */
    void deployment(int cells, int cpuMillis) {
        mCells = cells;
        mCpuMillis = cpuMillis;
    }

    /**
     * Time has passed; returns for how long this VM was held up since the last tick, in ms.
     *
     * @param plannedMs time between two ticks of a VM that is idle, in ms
     */
    long recordTick(long nowMs, long plannedMs) {
        return mStalls.recordTick(nowMs, plannedMs);
    }

    void recordSent(long nowMs) {
        mSentMs = nowMs;
    }

    /**
     * True when the next one is due.
     *
     * @param settled whether all is known that the controller waits for
     * @param peers how many other VMs there are
     */
    boolean isDue(boolean settled, int peers, long nowMs) {
        long periodMs = periodMs(peers);
        long waitMs =
                settled
                        ? periodMs
                        : Math.max(MIN_UNSETTLED_PERIOD_MS, periodMs / UNSETTLED_RATE_FACTOR);
        return nowMs - mSentMs >= waitMs;
    }

    /** Time from one to the next, as a settled controller promises it, in ms. */
    long periodMs(int peers) {
        return HeartbeatTiming.periodMs(mCells, peers, mCpuMillis, mStalls.longestStallMs());
    }

    /** What a VM's processor counts for, less the more it is held up by its own work. */
    int strength(int strength) {
        return (int) (strength * STALL_HALVING_MS / (STALL_HALVING_MS + mStalls.longestStallMs()));
    }
}
