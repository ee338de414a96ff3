package org.boragegap.core.claim;

import java.util.List;

/** A message between entry VMs of one failure domain about claims and views. */
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
     * Rejects a request because another claim on the submission exists.
     *
     * @param key the submission
     * @param attempt attempt of the request
     * @param held the existing claim
     */
    record Held(ClaimKey key, long attempt, Claim held) implements ClaimMessage {}

    /**
     * Releases a claim under which nothing was or will be started.
     *
     * @param key the submission
     * @param attempt the attempt that is released
     */
    record Release(ClaimKey key, long attempt) implements ClaimMessage {}

    /**
     * Contains the sender's view; sent as a heartbeat and as the answer to a request made under
     * another view.
     *
     * @param view the sender's view
     * @param complete whether the sender holds all claims that the view covers
     * @param statedAgeMs how long ago, as far as the sender knows, the view was last stated on the
     *     log
     * @param sentMs the sender's monotonic time
     * @param echoMs the receiver's {@code sentMs} from the last message that the sender got from
     *     it; {@link #NO_ECHO} if there was none
     */
    record ViewIs(DomainView view, boolean complete, long statedAgeMs, long sentMs, long echoMs)
            implements ClaimMessage {
        /** Value of {@code echoMs} if the sender has received no such message yet. */
        public static final long NO_ECHO = Long.MIN_VALUE;
    }

    /**
     * Asks a member when it last read the log; sent by one that can't read it.
     *
     * @param viewUid the sender's view
     * @param sentMs the sender's monotonic time
     */
    record LogReadQuery(long viewUid, long sentMs) implements ClaimMessage {}

    /**
     * Answers a query for the last read of the log that reached its end.
     *
     * @param viewUid the sender's view, which is that of the query
     * @param querySentMs time in the query
     * @param readAgeMs how long before this answer the read was sent
     */
    record LogReadAge(long viewUid, long querySentMs, long readAgeMs) implements ClaimMessage {}

    /** Asks to be a member of the next view. */
    record Join() implements ClaimMessage {}

    /** Asks for a view without the sender, which makes no more claims. */
    record Leave() implements ClaimMessage {}

    /**
     * Asks an established member of a view for the claims that it holds.
     *
     * @param viewUid the requester's current view
     * @param round number of this request, so that parts of two snapshots aren't mixed
     */
    record Fetch(long viewUid, long round) implements ClaimMessage {}

    /**
     * A part of the claims that the sender holds.
     *
     * @param viewUid view of the fetch request
     * @param round round of the fetch request
     * @param part number of this part, from 0
     * @param parts how many parts there are
     * @param claims the claims of this part
     */
    record Claims(long viewUid, long round, int part, int parts, List<Claim> claims)
            implements ClaimMessage {}
}
