package org.boragegap.core.claim;

/**
 * Times that bound the claim protocol, in milliseconds.
 *
 * @param idWindowMs how long an id stays valid after its creation
 * @param clockSkewMs how far apart two VMs' wall clocks may be
 * @param claimTimeoutMs how long a claim waits for acknowledgements
 * @param resendMs pause between two tries of a message that was not answered
 * @param suspectMs silence after which a member is suspected
 * @param logRetentionMs how long the log keeps a record
 */
public record ClaimLimits(
        long idWindowMs,
        long clockSkewMs,
        long claimTimeoutMs,
        long resendMs,
        long suspectMs,
        long logRetentionMs) {

    /** Limits that fit today's deployments. */
    public static ClaimLimits defaults() {
        return new ClaimLimits(300_000, 1_000, 4_000, 200, 1_000, 3_600_000);
    }

    /** How long a claim is kept: the window, and what clocks may be apart on both sides of it. */
    public long claimRetentionMs() {
        return idWindowMs + 5 * clockSkewMs;
    }

    /** Age of the last statement of a view at which its members stop using it. */
    public long viewExpiryMs() {
        return logRetentionMs - logRetentionMs / 4;
    }

    /** Age of the last statement of a view at which it is stated again. */
    public long restateAfterMs() {
        return logRetentionMs / 4;
    }
}
