package org.boragegap.core.dispatch;

/** Who waits for an answer. */
public sealed interface CallerRef {

    /**
     * A caller's open HTTP request.
     *
     * @param token names the request within this process
     */
    record HttpCaller(long token) implements CallerRef {}

    /**
     * Another entry VM that forwarded a submission.
     *
     * @param link the connection over which it came, and over which the answer goes back
     * @param forwardId names the forward within that process
     */
    record PeerCaller(long link, long forwardId) implements CallerRef {}

    /** Nobody waits now; the answer is fetched later. */
    record NoCaller() implements CallerRef {}
}
