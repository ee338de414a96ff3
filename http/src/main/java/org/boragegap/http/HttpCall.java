package org.boragegap.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * One HTTP request to be sent.
 *
 * @param address {@code host:port}
 * @param method HTTP method
 * @param path path and query
 * @param ifNoneMatch entity tag that is known already; empty for none
 * @param body request body, may be empty
 * @param sendByMs monotonic milliseconds after which it must not be sent any more
 * @param timeoutMs how long the response is waited for
 * @param done takes the result, once
 */
public record HttpCall(
        String address,
        String method,
        String path,
        String ifNoneMatch,
        byte[] body,
        long sendByMs,
        long timeoutMs,
        Consumer<HttpResult> done) {

    /** A GET without a time by which it has to be sent. */
    public static HttpCall get(
            String address, String path, long timeoutMs, Consumer<HttpResult> done) {
        return getUnless(address, path, "", timeoutMs, done);
    }

    /** A GET that needs no answer with a body if the entity tag is still the known one. */
    public static HttpCall getUnless(
            String address,
            String path,
            String ifNoneMatch,
            long timeoutMs,
            Consumer<HttpResult> done) {
        return new HttpCall(
                address, "GET", path, ifNoneMatch, new byte[0], Long.MAX_VALUE, timeoutMs, done);
    }

    /** A POST without a time by which it has to be sent. */
    public static HttpCall post(
            String address, String path, String body, long timeoutMs, Consumer<HttpResult> done) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new HttpCall(address, "POST", path, "", bytes, Long.MAX_VALUE, timeoutMs, done);
    }
}
