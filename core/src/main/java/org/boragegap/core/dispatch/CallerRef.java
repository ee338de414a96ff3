package org.boragegap.core.dispatch;

/** The party that waits for an answer. */
public sealed interface CallerRef {

    /**
     * A caller's open HTTP request.
     *
     * @param token number of the request, unique within this process
     */
    record HttpCaller(long token) implements CallerRef {}

    /**
     * Another entry VM that forwarded a submission.
     *
     * @param link connection over which the submission came and the answer is sent
     * @param forwardId number of the forward, unique within the other process
     */
    record PeerCaller(long link, long forwardId) implements CallerRef {}

    /** No caller is waiting; the answer is fetched later. */
    record NoCaller() implements CallerRef {}
}
