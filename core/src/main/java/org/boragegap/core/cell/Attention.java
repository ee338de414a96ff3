package org.boragegap.core.cell;

/**
 * For how long this VM was held up: by its scheduler, its garbage collector, or work of its own.
 *
 * <p>Guards against a slow VM that takes others for lost. While it is held up their heartbeats wait
 * unread; when it goes on its clock says that they were silent. So the time for which it was held
 * up doesn't count as their silence. Leases are not judged by this: they run by the clock alone.
 */
final class Attention {
    /** A time between two ticks of up to this many times the planned one is as planned. */
    private static final long TIMES_PLANNED = 2;

    /** For how long the worst hold-up is remembered, in ms: at least this, at most twice. */
    private static final long WINDOW_MS = 3_000;

    private long mTickedMs = -1;
    private long mWindowSinceMs;
    private long mWorstMs;
    private long mWorstBeforeMs;

    /**
     * Time has passed.
     *
     * @param plannedMs time between two ticks of a VM that is idle, in ms
     * @return for how long this VM was held up since the last tick, in ms
     */
    long ticked(long nowMs, long plannedMs) {
        long gapMs = mTickedMs < 0 ? 0 : nowMs - mTickedMs;
        mTickedMs = nowMs;
        long heldUpMs = gapMs > TIMES_PLANNED * plannedMs ? gapMs - plannedMs : 0;
        if (nowMs - mWindowSinceMs > WINDOW_MS) {
            mWindowSinceMs = nowMs;
            mWorstBeforeMs = mWorstMs;
            mWorstMs = 0;
        }
        mWorstMs = Math.max(mWorstMs, heldUpMs);
        return heldUpMs;
    }

    /** The longest time for which it was held up lately, in ms. */
    long worstMs() {
        return Math.max(mWorstMs, mWorstBeforeMs);
    }
}
