package org.boragegap.core.cell;

/**
 * Measures stalls of this VM: times in which it did not react because of its scheduler, its garbage
 * collector or work of its own.
 *
 * <p>Guards against a slow VM that takes others for lost. Their heartbeats wait unread during a
 * stall, and afterwards the clock says that they were silent. A stall is therefore not counted as
 * their silence. Leases don't use this; they depend on the clock alone.
 */
final class StallTracker {
    /**
     * A time between two ticks that is longer than the planned one by more than this factor is a
     * stall.
     */
    private static final long MAX_PLANNED_RATIO = 2;

    /**
     * How long the longest stall is remembered, in ms: at least this long, at most twice as long.
     */
    private static final long WINDOW_MS = 3_000;

    private long mLastTickMs = -1;
    private long mWindowSinceMs;
    private long mLongestMs;
    private long mPreviousLongestMs;

    /**
     * Records a tick.
     *
     * @param plannedMs planned time between two ticks of an idle VM, in ms
     * @return how long this VM was stalled since the last tick, in ms
     */
    long recordTick(long nowMs, long plannedMs) {
        long gapMs = mLastTickMs < 0 ? 0 : nowMs - mLastTickMs;
        mLastTickMs = nowMs;
        long stallMs = gapMs > MAX_PLANNED_RATIO * plannedMs ? gapMs - plannedMs : 0;
        if (nowMs - mWindowSinceMs > WINDOW_MS) {
            mWindowSinceMs = nowMs;
            mPreviousLongestMs = mLongestMs;
            mLongestMs = 0;
        }
        mLongestMs = Math.max(mLongestMs, stallMs);
        return stallMs;
    }

    /** The longest recent stall, in ms. */
    long longestStallMs() {
        return Math.max(mLongestMs, mPreviousLongestMs);
    }
}
