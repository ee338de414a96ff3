package org.boragegap.http;

import java.nio.charset.StandardCharsets;

/** How one HTTP exchange ended. */
public sealed interface HttpResult {

    /**
     * A whole response came.
     *
     * @param status HTTP status code
     * @param body the body
     * @param entityTag its entity tag; empty for none
     */
    record Response(int status, byte[] body, String entityTag) implements HttpResult {
        /** The body as UTF-8. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /**
     * Not one byte was sent.
     *
     * @param reason one line
     */
    record NotSent(String reason) implements HttpResult {}

    /**
     * Some or all of the request was sent and no whole response came.
     *
     * @param reason one line
     */
    record Lost(String reason) implements HttpResult {}
}
