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
        long unlistedMs) {

    /** Default limits. */
    public static ClaimLimits defaults() {
        return new ClaimLimits(300_000, 1_000, 4_000, 200, 1_000, 3_600_000, 60_000);
    }

    /** How long a claim is kept: the id window plus a margin for clock skew at both of its ends. */
    public long claimRetentionMs() {
        return idWindowMs + 5 * clockSkewMs;
    }

    /** Age of a view's last statement at which its members stop using the view. */
    public long viewExpiryMs() {
        return logRetentionMs - logRetentionMs / 4;
    }

    /** Age of a view's last statement at which a member states the view again. */
    public long restateAfterMs() {
        return logRetentionMs / 4;
    }
}
