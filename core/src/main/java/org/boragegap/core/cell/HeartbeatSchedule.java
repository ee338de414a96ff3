package org.boragegap.core.cell;

/**
 * Decides when a controller's next heartbeat is due, by the size of the deployment and its own
 * stalls.
 */
final class HeartbeatSchedule {
    /**
     * Minimum time between two heartbeats while a controller waits for replies of the others before
     * it may start tasks, in ms. Callers wait meanwhile, and each reply may be the last one needed.
     */
    private static final long MIN_UNSETTLED_PERIOD_MS = 40;

    /** While it waits, heartbeats are this many times as frequent. */
    private static final int UNSETTLED_RATE_FACTOR = 4;

    /**
     * A stall of this length, in ms, halves the strength of a VM: longer than a pause of the
     * garbage collector, shorter than a silence that counts.
     */
    private static final long STALL_HALVING_MS = 200;

    private static final int DEFAULT_CPU_MILLIS = 1_000;

    private final StallTracker mStalls = new StallTracker();
    private int mCells = 1;
    private int mCpuMillis = DEFAULT_CPU_MILLIS;
    private int mPeerCpuMillis = DEFAULT_CPU_MILLIS;
    private long mSentMs;

    /** See {@link CellMember#deployment}. */
    void deployment(int cells, int cpuMillis) {
        mCells = cells;
        mCpuMillis = cpuMillis;
    }

    /** Sets the processor of the median VM of the group, in thousandths of a core. */
    void peerCpuMillis(int peerCpuMillis) {
        mPeerCpuMillis = peerCpuMillis;
    }

    /**
     * Records a tick; returns how long this VM was stalled since the last one, in ms.
     *
     * @param plannedMs planned time between two ticks of an idle VM, in ms
     */
    long recordTick(long nowMs, long plannedMs) {
        return mStalls.recordTick(nowMs, plannedMs);
    }

    void recordSent(long nowMs) {
        mSentMs = nowMs;
    }

    /**
     * True when the next heartbeat is due.
     *
     * @param predecessorsKnown whether the controller has all the replies that it needs
     * @param peers number of other VMs
     */
    boolean isDue(boolean predecessorsKnown, int peers, long nowMs) {
        long periodMs = periodMs(peers);
        long waitMs =
                predecessorsKnown
                        ? periodMs
                        : Math.max(MIN_UNSETTLED_PERIOD_MS, periodMs / UNSETTLED_RATE_FACTOR);
        return nowMs - mSentMs >= waitMs;
    }

    /**
     * Time between two heartbeats of a controller that has all the replies that it needs, in ms;
     * this is the period that it announces.
     */
    long periodMs(int peers) {
        return Math.max(
                HeartbeatTiming.periodMs(mCells, peers, mCpuMillis, mStalls.longestStallMs()),
                HeartbeatTiming.weakReceiverPeriodMs(mCells, mPeerCpuMillis));
    }

    /** Processor that a VM has for the cell, reduced by its recent stalls. */
    int strength(int strength) {
        return (int) (strength * STALL_HALVING_MS / (STALL_HALVING_MS + mStalls.longestStallMs()));
    }
}
