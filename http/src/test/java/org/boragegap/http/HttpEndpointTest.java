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

    /** A handler that fails leaves its caller without an answer. */
    @Test
    void failingHandlerIsAnswered() throws Exception {
        String response = exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n", in -> checkArgument(false));
        assertThat(response).startsWith("HTTP/1.1 500");
    }

    /** What isn't HTTP leaves a connection open without an answer. */
    @Test
    void malformedRequestIsRefused() throws Exception {
        String response = exchange("nothing\r\nlike a request\r\n\r\n", in -> in.reply(200, "{}"));
        assertThat(response).startsWith("HTTP/1.1 505");
    }

    /** A body in chunks is passed on in part, or counted as too large. */
    @Test
    void chunkedBodyIsAssembled() throws Exception {
        String request =
                "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assertThat(exchange(request, in -> in.reply(200, in.text()))).endsWith("abcde");
    }

    /** A client that waits for leave to send its body never gets it. */
    @Test
    void bodyIsAskedFor() throws Exception {
        HttpEndpoint endpoint =
                HttpEndpoint.create(
                        "test", HOST, ANY_PORT, BODY_BYTES, in -> in.reply(200, in.text()));
        endpoint.start();
        try (Socket socket = new Socket(HOST, endpoint.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            String head =
                    "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                            + "Content-Length: 2\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            byte[] leave = socket.getInputStream().readNBytes("HTTP/1.1 100".length());
            assertThat(new String(leave, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 100");
            socket.getOutputStream().write("{}".getBytes(StandardCharsets.US_ASCII));
            readResponse(socket.getInputStream());
        }
        endpoint.stop();
    }

    /** Sends bytes to an endpoint, and returns what comes back until the connection ends. */
    private static String exchange(String request, HttpEndpoint.Handler handler) throws Exception {
        HttpEndpoint endpoint = HttpEndpoint.create("test", HOST, ANY_PORT, BODY_BYTES, handler);
        endpoint.start();
        try (Socket socket = new Socket(HOST, endpoint.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            endpoint.stop();
        }
    }

    private static void checkArgument(boolean valid) {
        if (!valid) {
            throw new IllegalArgumentException("not valid");
        }
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
