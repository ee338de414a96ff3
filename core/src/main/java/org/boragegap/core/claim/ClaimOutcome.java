package org.boragegap.core.claim;

/** What became of the wish to claim a submission. */
public sealed interface ClaimOutcome {

    /** This member alone may start the submission's tasks. */
    record Granted() implements ClaimOutcome {}

    /**
     * Another member holds the claim; ask it.
     *
     * @param holder the member
     * @param reachable whether the holder is part of the current view
     */
    record HeldBy(Member holder, boolean reachable) implements ClaimOutcome {}

    /** The id was used with another body. */
    record Conflict() implements ClaimOutcome {}

    /**
     * Not claimed here, but an earlier submission of the id can't be ruled out.
     *
     * @param reason one line for the caller
     */
    record Unknown(String reason) implements ClaimOutcome {}
}
