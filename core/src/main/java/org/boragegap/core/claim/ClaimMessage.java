package org.boragegap.core.claim;

import java.util.List;

/** What entry VMs of one failure domain say to each other about claims and views. */
public sealed interface ClaimMessage {

    /**
     * Asks a member to acknowledge a claim.
     *
     * @param viewUid view under which the claim is made
     * @param claim the claim
     */
    record Request(long viewUid, Claim claim) implements ClaimMessage {}

    /**
     * Acknowledges a claim under the same view.
     *
     * @param viewUid view of the request
     * @param key the submission
     * @param attempt attempt of the request
     */
    record Granted(long viewUid, ClaimKey key, long attempt) implements ClaimMessage {}

    /**
     * Says that another member holds the submission.
     *
     * @param key the submission
     * @param attempt attempt of the request
     * @param held the claim that stands
     */
    record Held(ClaimKey key, long attempt, Claim held) implements ClaimMessage {}

    /**
     * Gives up a claim under which nothing was or will be started.
     *
     * @param key the submission
     * @param attempt the attempt that is given up
     */
    record Release(ClaimKey key, long attempt) implements ClaimMessage {}

    /**
     * States the sender's view, as a heartbeat and as the answer to a request under another view.
     *
     * @param view the sender's view
     * @param complete whether the sender holds all claims that the view covers
     * @param statedAgeMs how long ago the view was last stated on the log, as the sender knows
     * @param sentMs the sender's monotonic time
     * @param echoMs the receiver's own time in the last message that the sender had from it; {@link
     *     #NO_ECHO} if there was none
     */
    record ViewIs(DomainView view, boolean complete, long statedAgeMs, long sentMs, long echoMs)
            implements ClaimMessage {
        /** For a sender that has heard nothing from the receiver yet. */
        public static final long NO_ECHO = Long.MIN_VALUE;
    }

    /** Asks for a place in the next view. */
    record Join() implements ClaimMessage {}

    /** Asks for a view without the sender, which will claim nothing any more. */
    record Leave() implements ClaimMessage {}

    /**
     * Asks a veteran of a view for the claims.
     *
     * @param viewUid the view that the asker has installed
     * @param round number of this try, so that parts of two snapshots aren't mixed
     */
    record Fetch(long viewUid, long round) implements ClaimMessage {}

    /**
     * A part of the claims that the sender holds.
     *
     * @param viewUid the view in which they were fetched
     * @param round the asker's number of the try
     * @param part number of this part, from 0
     * @param parts how many parts there are
     * @param claims the claims of this part
     */
    record Claims(long viewUid, long round, int part, int parts, List<Claim> claims)
            implements ClaimMessage {}
}
