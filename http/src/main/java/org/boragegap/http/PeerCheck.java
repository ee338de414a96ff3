package org.boragegap.http;

import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * Which process a request is meant for, where the same address may belong to another one later. The
 * request is only written to a connection on which that process has stated its number. A connection
 * ends with its process, so a request that is delayed can't reach the next one.
 *
 * @param expected number of the process; positive
 * @param path path of a POST request that asks a process for its number and changes nothing
 * @param headers additional headers of that request, by name
 * @param body body of that request
 * @param stated reads the number from a response; 0 if none is stated
 */
public record PeerCheck(
        long expected,
        String path,
        Map<String, String> headers,
        byte[] body,
        ToLongFunction<HttpResult.Response> stated) {}
