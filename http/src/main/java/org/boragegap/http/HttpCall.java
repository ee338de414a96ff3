package org.boragegap.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One HTTP request to be sent.
 *
 * @param address {@code host:port}
 * @param method HTTP method
 * @param path path and query
 * @param headers further headers, by name
 * @param body request body, may be empty
 * @param sendByMs monotonic milliseconds after which it must not be sent any more
 * @param timeoutMs how long the response is waited for
 * @param onResult takes the result, once
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

    /** A GET without a time by which it has to be sent. */
    public static HttpCall get(
            String address, String path, long timeoutMs, Consumer<HttpResult> done) {
        return new HttpCall(
                address, "GET", path, Map.of(), new byte[0], Long.MAX_VALUE, timeoutMs, done);
    }

    /** A POST without a time by which it has to be sent. */
    public static HttpCall post(
            String address, String path, String body, long timeoutMs, Consumer<HttpResult> done) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new HttpCall(
                address, "POST", path, Map.of(), bytes, Long.MAX_VALUE, timeoutMs, done);
    }
}
