package org.boragegap.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.lang.ref.WeakReference;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What callers see on their connections. */
final class HttpEndpointTest {
    private static final String HOST = "127.0.0.1";
    private static final int BODY_BYTES = 1_024;

    /** The system chooses one as the endpoint begins to listen, so that none can take it before. */
    private static final int ANY_PORT = 0;

    private static final int TIMEOUT_MS = 10_000;
    private static final int REQUESTS = 50;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * A process stops as planned while a caller keeps a connection open. The caller gets its whole
     * answer, and then the connection ends, so that its next request goes to another process.
     */
    @Test
    void connectionIsClosedAfterReplyOnRequest() throws Exception {
        HttpEndpoint endpoint =
                HttpEndpoint.create(
                        "test",
                        HOST,
                        ANY_PORT,
                        BODY_BYTES,
                        in -> {
                            in.closeAfterReply();
                            in.reply(200, "{}");
                        });
        endpoint.start();
        try (Socket socket = new Socket(HOST, endpoint.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(REQUEST);
            InputStream in = socket.getInputStream();
            String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer).startsWith("HTTP/1.1 200");
            assertThat(answer).endsWith("{}");
        }
        endpoint.stop();
    }

    /**
     * Callers keep their connections open for many requests. An entry VM's memory grew with each of
     * them, and its replies took longer and longer: what was to be told if the caller left before
     * its reply was kept until the connection ended.
     */
    @Test
    void closeListenerIsRemovedByTheReply() throws Exception {
        List<WeakReference<Object>> kept = Collections.synchronizedList(new ArrayList<>());
        HttpEndpoint endpoint =
                HttpEndpoint.create(
                        "test",
                        HOST,
                        ANY_PORT,
                        BODY_BYTES,
                        in -> {
                            Object told = new Object();
                            kept.add(new WeakReference<>(told));
                            in.onClosedBeforeReply(told::hashCode);
                            in.reply(200, "{}");
                        });
        endpoint.start();
        try (Socket socket = new Socket(HOST, endpoint.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            for (int i = 0; i < REQUESTS; i++) {
                socket.getOutputStream().write(REQUEST);
                readResponse(socket.getInputStream());
            }
            System.gc();
            long alive = kept.stream().filter(reference -> reference.get() != null).count();
            // The last request may still be held by the thread that replied to it.
            assertThat(kept).hasSize(REQUESTS);
            assertThat(alive).isAtMost(1);
        }
        endpoint.stop();
    }

    private static void readResponse(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("{}")) {
            int next = in.read();
            assertThat(next).isAtLeast(0);
            text.append((char) next);
        }
    }
}
