package org.boragegap.core.claim;

import org.boragegap.core.ClockReading;

/**
 * Detects that the whole VM was suspended: its monotonic clock stood still while the wall clock
 * went on, so that what was measured before is older than the monotonic clock says.
 */
final class SuspensionDetector {
    private static final long NOT_KNOWN = Long.MAX_VALUE / 2;

    private final long mClockSkewMs;
    private long mDifferenceMs = NOT_KNOWN;
    private long mResumedMs = Long.MIN_VALUE / 2;

    SuspensionDetector(long clockSkewMs) {
        mClockSkewMs = clockSkewMs;
    }

    /** Handles the passage of time; returns how long a suspension lasted that is newly detected. */
    long onTick(ClockReading clock) {
        long suspendedMs = suspendedSinceTick(clock) ? difference(clock) - mDifferenceMs : 0;
        if (suspendedMs > 0) {
            mResumedMs = clock.monotonicMs();
        }
        // Several short suspensions add up, so a difference that has grown a little is not adopted.
        mDifferenceMs =
                suspendedMs > 0 ? difference(clock) : Math.min(mDifferenceMs, difference(clock));
        return suspendedMs;
    }

    /** True when the VM was suspended and no tick has detected it yet. */
    boolean suspendedSinceTick(ClockReading clock) {
        return difference(clock) - mDifferenceMs > mClockSkewMs;
    }

    /** True when a monotonic time lies before the end of the last suspension. */
    boolean precedesResumption(long monotonicMs) {
        return monotonicMs < mResumedMs;
    }

    private static long difference(ClockReading clock) {
        return clock.wallMs() - clock.monotonicMs();
    }
}
