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

/** Tests how the endpoint treats connections that clients keep open. */
final class HttpEndpointTest {
    private static final String HOST = "127.0.0.1";
    private static final int BODY_BYTES = 1_024;

    /**
     * Lets the system choose a free port when the endpoint starts to listen, so that no other
     * process can take the port first.
     */
    private static final int ANY_PORT = 0;

    private static final int TIMEOUT_MS = 10_000;
    private static final int REQUESTS = 50;
    private static final byte[] REQUEST =
            "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * A process shuts down while a client keeps a connection open. The client must receive the
     * complete response before the connection is closed, so that its next request goes to another
     * process.
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
            String response = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(response).endsWith("{}");
        }
        endpoint.stop();
    }

    /**
     * Guards against a memory leak: clients keep connections open for many requests, and the close
     * listener of each request used to stay registered until the connection was closed. An entry
     * VM's memory grew with each request, and its replies became slower and slower.
     */
    @Test
    void closeListenerIsRemovedByTheReply() throws Exception {
        List<WeakReference<Object>> listeners = Collections.synchronizedList(new ArrayList<>());
        HttpEndpoint endpoint =
                HttpEndpoint.create(
                        "test",
                        HOST,
                        ANY_PORT,
                        BODY_BYTES,
                        in -> {
                            Object listener = new Object();
                            listeners.add(new WeakReference<>(listener));
                            in.onClosedBeforeReply(listener::hashCode);
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
            long alive = listeners.stream().filter(reference -> reference.get() != null).count();
            // The thread that replied to the last request may still reference it.
            assertThat(listeners).hasSize(REQUESTS);
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
