package org.boragegap.core.cell;

/**
 * For how long this VM was held up: by its scheduler, its garbage collector, or work of its own.
 *
 * <p>Guards against a slow VM that takes others for lost. While it is held up their heartbeats wait
 * unread; when it goes on its clock says that they were silent. So the time for which it was held
 * up doesn't count as their silence. Leases are not judged by this: they run by the clock alone.
 */
final class StallTracker {
    /** A time between two ticks of up to this many times the planned one is as planned. */
    private static final long MAX_PLANNED_RATIO = 2;

    /** For how long the worst hold-up is remembered, in ms: at least this, at most twice. */
    private static final long WINDOW_MS = 3_000;

    private long mLastTickMs = -1;
    private long mWindowSinceMs;
    private long mLongestMs;
    private long mPreviousLongestMs;

    /**
     * Time has passed.
     *
     * @param plannedMs time between two ticks of a VM that is idle, in ms
     * @return for how long this VM was held up since the last tick, in ms
     */
    long recordTick(long nowMs, long plannedMs) {
        long gapMs = mLastTickMs < 0 ? 0 : nowMs - mLastTickMs;
        mLastTickMs = nowMs;
        long heldUpMs = gapMs > MAX_PLANNED_RATIO * plannedMs ? gapMs - plannedMs : 0;
        if (nowMs - mWindowSinceMs > WINDOW_MS) {
            mWindowSinceMs = nowMs;
            mPreviousLongestMs = mLongestMs;
            mLongestMs = 0;
        }
        mLongestMs = Math.max(mLongestMs, heldUpMs);
        return heldUpMs;
    }

    /** The longest time for which it was held up lately, in ms. */
    long longestStallMs() {
        return Math.max(mLongestMs, mPreviousLongestMs);
    }
}
