package org.boragegap.core.claim;

/**
 * Timeouts and intervals of the claim protocol, in milliseconds.
 *
 * @param idWindowMs how long an id stays valid after its creation
 * @param clockSkewMs largest difference between two VMs' wall clocks
 * @param claimTimeoutMs how long a claim waits for acknowledgements
 * @param resendMs interval at which an unanswered message is sent again
 * @param suspectMs silence after which a member is suspected
 * @param logRetentionMs how long the log keeps a record
 * @param leaseMs how long a member that doesn't hear from the log goes on claiming
 * @param unlistedMs how long a VM is missing from the platform's list before it may be presumed
 *     dead
 */
public record ClaimLimits(
        long idWindowMs,
        long clockSkewMs,
        long claimTimeoutMs,
        long resendMs,
        long suspectMs,
        long logRetentionMs,
        long leaseMs,
        long unlistedMs) {
    private static final long CLOCK_RATE_DIVISOR = 100;

    /** Default limits. */
    public static ClaimLimits defaults() {
        return new ClaimLimits(300_000, 1_000, 4_000, 200, 1_000, 3_600_000, 900_000, 60_000);
    }

    /** How long a claim is kept: the id window plus a margin for clock skew at both of its ends. */
    public long claimRetentionMs() {
        return idWindowMs + 5 * clockSkewMs;
    }

    /**
     * True when an earlier claim on an id of this creation time may no longer be kept here, so that
     * this VM can't say that there is none. It allows twice the clock skew, for the clocks of the
     * creator and of the claimant, and is never true for an id that the claimant found in its
     * window.
     */
    public boolean mayBeForgotten(long createdMs, long wallMs) {
        return createdMs < wallMs - idWindowMs - 2 * clockSkewMs;
    }

    /** Age of a view's last statement at which its members stop using the view. */
    public long viewExpiryMs() {
        return logRetentionMs - logRetentionMs / 4;
    }

    /** The lease, which never outlasts a view that isn't stated again. */
    public long claimLeaseMs() {
        return Math.min(leaseMs, viewExpiryMs());
    }

    /**
     * How long after a fence was seen on the log the members of the view before it have stopped
     * claiming: their lease, plus a margin for clocks of different speed.
     */
    public long fenceMs() {
        return claimLeaseMs() + claimLeaseMs() / CLOCK_RATE_DIVISOR + clockSkewMs;
    }

    /** Age of a view's last statement at which a member states the view again. */
    public long restateAfterMs() {
        return logRetentionMs / 4;
    }
}
