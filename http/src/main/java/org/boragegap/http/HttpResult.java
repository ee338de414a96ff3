package org.boragegap.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** The result of an HTTP exchange. */
public sealed interface HttpResult {

    /**
     * A complete response was received.
     *
     * @param status HTTP status code
     * @param body the response body
     * @param entityTag the response's entity tag; empty if there is none
     */
    record Response(int status, byte[] body, String entityTag) implements HttpResult {
        /** Returns the body decoded as UTF-8. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * The request was not sent, not even in part.
     *
     * @param reason the cause, on one line
     */
    record NotSent(String reason) implements HttpResult {}

    /**
     * The request was not sent: the process at the address has not stated the expected number.
     *
     * @param answer its response to the question for its number; empty if it gave none
     */
    record OtherPeer(Optional<Response> answer) implements HttpResult {}

    /**
     * Some or all of the request was sent, and no complete response was received.
     *
     * @param reason the cause, on one line
     */
    record Lost(String reason) implements HttpResult {}
}
