package org.boragegap.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * An HTTP request to be sent by {@link HttpClient}.
 *
 * @param address {@code host:port}
 * @param method HTTP method
 * @param path path and query
 * @param headers additional headers, by name
 * @param body request body, may be empty
 * @param sendByMs monotonic time in milliseconds after which the request must not be sent
 * @param timeoutMs how long to wait for the response once the request is sent, in milliseconds
 * @param onResult receives the result, exactly once
 * @param peer the process that the request is meant for; empty for any
 */
public record HttpCall(
        String address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long sendByMs,
        long timeoutMs,
        Consumer<HttpResult> onResult,
        Optional<PeerCheck> peer) {

    /** Creates a request for any process at the address. */
    public HttpCall(
            String address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long sendByMs,
            long timeoutMs,
            Consumer<HttpResult> onResult) {
        this(address, method, path, headers, body, sendByMs, timeoutMs, onResult, Optional.empty());
    }

    /** The request that asks the process for its number, before this one is sent. */
    HttpCall identification(PeerCheck check, Consumer<HttpResult> done) {
        return new HttpCall(
                address,
                "POST",
                check.path(),
                check.headers(),
                check.body(),
                sendByMs,
                timeoutMs,
                done);
    }

    /** Creates a GET request without a send deadline. */
    public static HttpCall get(
            String address, String path, long timeoutMs, Consumer<HttpResult> done) {
        return new HttpCall(
                address, "GET", path, Map.of(), new byte[0], Long.MAX_VALUE, timeoutMs, done);
    }

    /** Creates a POST request without a send deadline. */
    public static HttpCall post(
            String address, String path, String body, long timeoutMs, Consumer<HttpResult> done) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new HttpCall(
                address, "POST", path, Map.of(), bytes, Long.MAX_VALUE, timeoutMs, done);
    }
}
