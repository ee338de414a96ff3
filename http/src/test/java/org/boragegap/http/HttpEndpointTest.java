package org.boragegap.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** What callers see on their connections. */
final class HttpEndpointTest {
    private static final String HOST = "127.0.0.1";
    private static final int BODY_BYTES = 1_024;
    private static final int PATIENCE_MS = 10_000;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * A process stops as planned while a caller keeps a connection open. The caller gets its whole
     * answer, and then the connection ends, so that its next request goes to another process.
     */
    @Test
    void aConnectionIsClosedAfterAWholeReplyWhenAskedFor() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        HttpEndpoint endpoint =
                HttpEndpoint.create(
                        "test",
                        HOST,
                        port,
                        BODY_BYTES,
                        in -> {
                            in.closeAfterReply();
                            in.reply(200, "{}");
                        });
        endpoint.start();
        try (Socket socket = new Socket(HOST, port)) {
            socket.setSoTimeout(PATIENCE_MS);
            socket.getOutputStream().write(REQUEST);
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer).startsWith("HTTP/1.1 200");
            assertThat(answer).endsWith("{}");
        }
        endpoint.stop();
    }
}
