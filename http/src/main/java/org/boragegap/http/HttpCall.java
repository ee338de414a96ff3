package org.boragegap.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
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
 */
public record HttpCall(
        String address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long sendByMs,
        long timeoutMs,
        Consumer<HttpResult> onResult) {

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
