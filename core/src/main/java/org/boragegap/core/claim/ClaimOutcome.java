package org.boragegap.core.claim;

/** Outcome of a requested claim. */
public sealed interface ClaimOutcome {

    /** This member alone may start the submission's tasks. */
    record Granted() implements ClaimOutcome {}

    /**
     * Another member holds the claim and is the one to ask for the answer.
     *
     * @param holder the member
     * @param reachable whether the holder is a member of the current view
     */
    record HeldBy(Member holder, boolean reachable) implements ClaimOutcome {}

    /** The id was already used with another body. */
    record Conflict() implements ClaimOutcome {}

    /**
     * The claim was not granted, but an earlier submission of the id may have been started.
     *
     * @param reason one line of text for the caller
     * @param waitMs estimated time until ids can be claimed again; 0 if they can be now
     */
    record Unknown(String reason, long waitMs) implements ClaimOutcome {
        /** Creates the outcome where there is nothing to wait for. */
        public Unknown(String reason) {
            this(reason, 0);
        }
    }
}
