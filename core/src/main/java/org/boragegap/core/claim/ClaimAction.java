package org.boragegap.core.claim;

/** An action that the claim protocol requests from its caller. */
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
     * Reports the outcome of a requested claim.
     *
     * @param key the submission
     * @param outcome the outcome
     */
    record Resolve(ClaimKey key, ClaimOutcome outcome) implements ClaimAction {}

    /**
     * Writes one log line about a decision on the view.
     *
     * @param what kind of decision, a short constant
     * @param inputs the inputs of the decision and their ages
     * @param outcome the result of the decision
     */
    record Log(String what, String inputs, String outcome) implements ClaimAction {}
}
