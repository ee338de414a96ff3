package org.boragegap.core.claim;

/**
 * Times that bound the claim protocol, in milliseconds.
 *
 * @param windowMs how long an id stays valid after its creation
 * @param skewMs how far apart two VMs' wall clocks may be
 * @param claimTimeoutMs how long a claim waits for acknowledgements
 * @param resendMs pause between two tries of a message that was not answered
 * @param suspectMs silence after which a member is suspected
 * @param retentionMs how long the log keeps a record
 */
public record ClaimLimits(
        long windowMs,
        long skewMs,
        long claimTimeoutMs,
        long resendMs,
        long suspectMs,
        long retentionMs) {

    /** Limits that fit today's deployments. */
    public static ClaimLimits defaults() {
        return new ClaimLimits(300_000, 1_000, 4_000, 200, 1_000, 3_600_000);
    }

    /** How long a claim is kept: the window, and what clocks may be apart on both sides of it. */
    public long keepMs() {
        return windowMs + 5 * skewMs;
    }

    /** Age of the last statement of a view at which its members stop using it. */
    public long lapseMs() {
        return retentionMs - retentionMs / 4;
    }

    /** Age of the last statement of a view at which it is stated again. */
    public long restateMs() {
        return retentionMs / 4;
    }
}
