package org.boragegap.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which result the client reports when a connection fails, over real sockets. */
final class HttpClientTest {
    private static final String HOST = "127.0.0.1";
    private static final long TIMEOUT_S = 10;
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final HttpClient mClient = HttpClient.create(2);

    @BeforeEach
    void start() throws IOException {
        mClient.start();
    }

    @AfterEach
    void stop() {
        mClient.stop();
    }

    private CompletableFuture<HttpResult> post(ServerSocket server, long timeoutMs) {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        String address = HOST + ":" + server.getLocalPort();
        mClient.send(HttpCall.post(address, "/x", "{}", timeoutMs, result::complete));
        return result;
    }

    private static HttpResult await(CompletableFuture<HttpResult> result) throws Exception {
        return result.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static ServerSocket server() throws IOException {
        return new ServerSocket(0, 8, InetAddress.getByName(HOST));
    }

    /** Reads a whole request whose body is {@code {}}. */
    private static void readRequest(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\n{}")) {
            text.append((char) in.read());
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    @Nested
    final class Sent {
        @Test
        void completeResponseIsReturned() throws Exception {
            try (ServerSocket server = server()) {
                CompletableFuture<HttpResult> result = post(server, 5_000);
                Socket socket = server.accept();
                readRequest(socket);
                write(socket, OK);
                assertThat(((HttpResult.Response) await(result)).text()).isEqualTo("ok");
                socket.close();
            }
        }

        @Test
        void truncatedResponseIsLost() throws Exception {
            try (ServerSocket server = server()) {
                CompletableFuture<HttpResult> result = post(server, 5_000);
                Socket socket = server.accept();
                readRequest(socket);
                write(socket, OK.substring(0, OK.length() - 1));
                socket.close();
                assertThat(await(result)).isInstanceOf(HttpResult.Lost.class);
            }
        }

        /**
         * A reused connection stops responding: the request is written and no response arrives. The
         * request must be reported as lost after its timeout and not be sent again, and the next
         * request must use a new connection.
         */
        @Test
        void requestOnUnresponsiveConnectionIsLostAndSentOnce() throws Exception {
            try (ServerSocket server = server()) {
                CompletableFuture<HttpResult> first = post(server, 5_000);
                Socket socket = server.accept();
                readRequest(socket);
                write(socket, OK);
                await(first);
                CompletableFuture<HttpResult> second = post(server, 200);
                readRequest(socket);
                assertThat(await(second)).isInstanceOf(HttpResult.Lost.class);
                assertThat(socket.getInputStream().read()).isEqualTo(-1);

                CompletableFuture<HttpResult> third = post(server, 5_000);
                Socket fresh = server.accept();
                readRequest(fresh);
                write(fresh, OK);
                assertThat(await(third)).isInstanceOf(HttpResult.Response.class);
                fresh.close();
                socket.close();
            }
        }
    }

    @Nested
    final class NotSent {
        @Test
        void refusedConnectionMeansNotSent() throws Exception {
            ServerSocket server = server();
            server.close();
            assertThat(await(post(server, 5_000))).isInstanceOf(HttpResult.NotSent.class);
        }

        @Test
        void connectionLimitIsRespected() throws Exception {
            try (ServerSocket server = server()) {
                List<CompletableFuture<HttpResult>> open = new ArrayList<>();
                open.add(post(server, 5_000));
                open.add(post(server, 5_000));
                assertThat(await(post(server, 5_000))).isInstanceOf(HttpResult.NotSent.class);
                for (int i = 0; i < open.size(); i++) {
                    Socket socket = server.accept();
                    readRequest(socket);
                    write(socket, OK);
                }
                for (CompletableFuture<HttpResult> result : open) {
                    assertThat(await(result)).isInstanceOf(HttpResult.Response.class);
                }
            }
        }

        /** The process was paused between the decision and the send, and resumes too late. */
        @Test
        void requestPastItsSendDeadlineIsNotSent() throws Exception {
            try (ServerSocket server = server()) {
                CompletableFuture<HttpResult> result = new CompletableFuture<>();
                String address = HOST + ":" + server.getLocalPort();
                long past = HttpClient.nowMs() - 1;
                mClient.send(
                        new HttpCall(
                                address,
                                "POST",
                                "/x",
                                java.util.Map.of(),
                                new byte[0],
                                past,
                                5_000,
                                result::complete));
                assertThat(await(result)).isEqualTo(new HttpResult.NotSent("too late to send it"));
            }
        }
    }
}
