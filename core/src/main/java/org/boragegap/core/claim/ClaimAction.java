package org.boragegap.core.claim;

/** What the claim protocol asks its surroundings to do. */
public sealed interface ClaimAction {

    /**
     * Sends a message to the process at an address.
     *
     * @param address peer address
     * @param message the message
     */
    record Send(String address, ClaimMessage message) implements ClaimAction {}

    /**
     * Appends a record to the platform's log.
     *
     * @param record the record
     */
    record Append(ViewRecord record) implements ClaimAction {}

    /**
     * Tells what became of a wanted claim.
     *
     * @param key the submission
     * @param outcome the outcome
     */
    record Resolve(ClaimKey key, ClaimOutcome outcome) implements ClaimAction {}
}
