package org.boragegap.core.claim;

import org.boragegap.core.ClockReading;

/** When the current view was last stated on the log, as far as this member knows. */
final class StatementTime {
    private static final long NOT_KNOWN = Long.MIN_VALUE / 2;

    private final SuspensionDetector mSuspensions;
    private long mStatedMs = NOT_KNOWN;

    StatementTime(SuspensionDetector suspensions) {
        mSuspensions = suspensions;
    }

    long ageMs(ClockReading clock) {
        return clock.monotonicMs() - mStatedMs;
    }

    /** Handles an adopted view, whose statement isn't known yet. */
    void clear() {
        mStatedMs = NOT_KNOWN;
    }

    /** Adds the length of a suspension, which the monotonic clock did not count. */
    void addSuspension(long suspendedMs) {
        mStatedMs -= suspendedMs;
    }

    /**
     * Sets the time from a later read of the log, if it isn't known: a suspension may have made the
     * age of the statement uncertain when it was read.
     */
    void setIfUnknown(long sentMs, long ageMs) {
        if (mStatedMs <= NOT_KNOWN && !mSuspensions.precedesResumption(sentMs)) {
            mStatedMs = sentMs - ageMs;
        }
    }

    /**
     * Handles a statement read from the log. Its age is that at the read, which may have waited
     * here while this process was paused; if the VM was suspended as well, the age isn't known.
     */
    void onRead(LoggedView logged, long sentMs) {
        mStatedMs = mSuspensions.precedesResumption(sentMs) ? NOT_KNOWN : sentMs - logged.ageMs();
    }

    /**
     * Handles what a peer knows, for a VM that can reach its peers but not the log. The message may
     * have been queued while this process was paused. It was sent after the local time that it
     * echoes, so subtracting the age from that time never makes the statement look younger than it
     * is.
     */
    void onPeer(ClaimMessage.ViewIs message) {
        boolean timeKnown =
                message.echoMs() != ClaimMessage.ViewIs.NO_ECHO
                        && !mSuspensions.precedesResumption(message.echoMs());
        if (timeKnown) {
            mStatedMs = Math.max(mStatedMs, message.echoMs() - message.statedAgeMs());
        }
    }
}
