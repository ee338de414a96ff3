package org.boragegap.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Each request on a connection is answered once, and in order, however its bytes arrive. */
final class PipeliningTest {
    private static final String HOST = "127.0.0.1";
    private static final int ANY_PORT = 0;
    private static final int MAX_BODY_BYTES = 512 * 1024;
    private static final int TIMEOUT_MS = 5_000;

    /** Pause between two segments after which the server has usually read the first, in ms. */
    private static final long SEGMENT_PAUSE_MS = 15;

    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);
    private final List<Runnable> mWithheld = new ArrayList<>();
    private boolean mAllWritten;
    private boolean mClosing;
    private HttpEndpoint mEndpoint;

    /** When and where a request is answered. */
    private enum Answered {
        BY_THE_HANDLER,
        BY_ANOTHER_THREAD,
        WHEN_ALL_IS_WRITTEN
    }

    private record Sent(int id, String method, int status, Answered answered, int bodyBytes) {
        byte[] bytes() {
            String head =
                    "%s /%d/%d/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
                            .formatted(method, id, status, answered, bodyBytes);
            return (head + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII);
        }

        String answer() {
            return status + " " + id + " " + bodyBytes;
        }
    }

    @BeforeEach
    void start() throws IOException {
        mEndpoint = HttpEndpoint.create("test", HOST, ANY_PORT, MAX_BODY_BYTES, this::handle);
        mEndpoint.start();
    }

    @AfterEach
    void stop() {
        mEndpoint.stop();
        mTimer.shutdownNow();
    }

    private void handle(IncomingRequest in) {
        String[] path = in.path().split("/");
        int status = Integer.parseInt(path[2]);
        String answer = path[1] + " " + in.body().length;
        Runnable reply = () -> in.reply(status, answer);
        if (mClosing) {
            in.closeAfterReply();
        }
        Answered answered = Answered.valueOf(path[3]);
        if (answered == Answered.BY_THE_HANDLER) {
            reply.run();
        } else if (answered == Answered.BY_ANOTHER_THREAD) {
            mTimer.execute(reply);
        } else {
            in.onClosedBeforeReply(() -> {});
            withhold(reply);
        }
    }

    private synchronized void withhold(Runnable reply) {
        if (mAllWritten) {
            mTimer.execute(reply);
        } else {
            mWithheld.add(reply);
        }
    }

    private synchronized void allWritten() {
        mAllWritten = true;
        mWithheld.forEach(mTimer::execute);
    }

    private synchronized void beginConnection() {
        mAllWritten = false;
        mWithheld.clear();
    }

    private Socket connect() throws IOException {
        beginConnection();
        Socket socket = new Socket(HOST, mEndpoint.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private void write(Socket socket, List<byte[]> segments) throws Exception {
        for (byte[] segment : segments) {
            mTimer.schedule(() -> send(socket, segment), SEGMENT_PAUSE_MS, TimeUnit.MILLISECONDS)
                    .get();
        }
        mTimer.schedule(this::allWritten, SEGMENT_PAUSE_MS, TimeUnit.MILLISECONDS);
    }

    private static Void send(Socket socket, byte[] segment) throws IOException {
        socket.getOutputStream().write(segment);
        return null;
    }

    /** Returns status and body of the next answer. */
    private static String read(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.readUnsignedByte());
        }
        String lower = head.toString().toLowerCase();
        int at = lower.indexOf("content-length:") + "content-length:".length();
        int length = Integer.parseInt(lower.substring(at, lower.indexOf('\r', at)).trim());
        byte[] body = new byte[length];
        in.readFully(body);
        return head.substring(9, 12) + " " + new String(body, StandardCharsets.UTF_8);
    }

    private void assertAnswered(List<Sent> requests, List<byte[]> segments) throws Exception {
        try (Socket socket = connect()) {
            write(socket, segments);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (Sent request : requests) {
                assertThat(read(in)).isEqualTo(request.answer());
            }
        }
    }

    /** Cuts bytes at the given places, which are sorted. */
    private static List<byte[]> cut(byte[] bytes, int... places) {
        List<byte[]> segments = new ArrayList<>();
        int from = 0;
        for (int place : places) {
            segments.add(Arrays.copyOfRange(bytes, from, place));
            from = place;
        }
        segments.add(Arrays.copyOfRange(bytes, from, bytes.length));
        return segments;
    }

    private static byte[] concatenated(List<Sent> requests) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        requests.forEach(request -> all.writeBytes(request.bytes()));
        return all.toByteArray();
    }

    private static Sent post(int id, int status, Answered answered) {
        return new Sent(id, "POST", status, answered, 100);
    }

    @Nested
    final class BodyInALaterSegment {
        /** A connection is dead after any answer to a request whose body came after its head. */
        @Test
        void nextRequestIsAnswered() throws Exception {
            for (Answered answered : Answered.values()) {
                for (int status : List.of(200, 404)) {
                    Sent first = post(1, status, answered);
                    Sent second = post(2, 200, Answered.BY_THE_HANDLER);
                    byte[] bytes = first.bytes();
                    List<byte[]> segments = cut(bytes, bytes.length - 100);
                    segments.add(second.bytes());
                    assertAnswered(List.of(first, second), segments);
                }
            }
        }
    }

    @Nested
    final class WhileARequestWaits {
        /** A request that arrives while the one before waits is read and never answered. */
        @Test
        void nextRequestIsAnsweredAfterIt() throws Exception {
            Sent first = post(1, 200, Answered.WHEN_ALL_IS_WRITTEN);
            Sent second = post(2, 200, Answered.BY_THE_HANDLER);
            assertAnswered(List.of(first, second), List.of(first.bytes(), second.bytes()));
        }

        /** A third request after two in one segment ends the connection without an answer. */
        @Test
        void thirdRequestIsAnsweredAfterTwoInOneSegment() throws Exception {
            List<Sent> requests =
                    List.of(
                            post(1, 200, Answered.WHEN_ALL_IS_WRITTEN),
                            post(2, 200, Answered.WHEN_ALL_IS_WRITTEN),
                            post(3, 200, Answered.BY_THE_HANDLER));
            int third = requests.get(0).bytes().length + requests.get(1).bytes().length;
            assertAnswered(requests, cut(concatenated(requests), third));
        }

        /** The end of a connection goes unnoticed once a further request has arrived on it. */
        @Test
        void closedConnectionIsNoticedBehindAnEarlyRequest() throws Exception {
            CountDownLatch closed = new CountDownLatch(1);
            HttpEndpoint endpoint =
                    HttpEndpoint.create(
                            "test",
                            HOST,
                            ANY_PORT,
                            MAX_BODY_BYTES,
                            in -> in.onClosedBeforeReply(closed::countDown));
            endpoint.start();
            try (Socket socket = new Socket(HOST, endpoint.port())) {
                byte[] request = post(1, 200, Answered.BY_THE_HANDLER).bytes();
                socket.getOutputStream().write(request);
                socket.getOutputStream().write(request);
            }
            assertThat(closed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            endpoint.stop();
        }

        /** A client that never stops sending fills the memory while its first request waits. */
        @Test
        void earlyBytesAreBounded() throws Exception {
            int requests = 200;
            int bodyBytes = MAX_BODY_BYTES;
            AtomicInteger written = new AtomicInteger();
            try (Socket socket = connect()) {
                Future<?> writing =
                        mTimer.submit(() -> writeRequests(socket, requests, bodyBytes, written));
                int writtenBeforeReply =
                        mTimer.schedule(
                                        () -> {
                                            int before = written.get();
                                            allWritten();
                                            return before;
                                        },
                                        500,
                                        TimeUnit.MILLISECONDS)
                                .get();
                DataInputStream in = new DataInputStream(socket.getInputStream());
                for (int id = 0; id < requests; id++) {
                    assertThat(read(in)).isEqualTo("200 " + id + " " + bodyBytes);
                }
                writing.get();
                // What the sockets of both sides hold is less than half of it.
                assertThat(writtenBeforeReply).isLessThan(requests / 2);
            }
        }

        private Void writeRequests(
                Socket socket, int requests, int bodyBytes, AtomicInteger written)
                throws IOException {
            for (int id = 0; id < requests; id++) {
                Answered answered =
                        id == 0 ? Answered.WHEN_ALL_IS_WRITTEN : Answered.BY_THE_HANDLER;
                send(socket, new Sent(id, "POST", 200, answered, bodyBytes).bytes());
                written.incrementAndGet();
            }
            return null;
        }
    }

    @Nested
    final class ThatAreRefused {
        /** The answer to a body that is too large overtakes that to an earlier request. */
        @Test
        void tooLargeBodyIsAnsweredInOrder() throws Exception {
            Sent first = post(1, 200, Answered.WHEN_ALL_IS_WRITTEN);
            Sent second = new Sent(2, "POST", 200, Answered.BY_THE_HANDLER, MAX_BODY_BYTES + 1);
            try (Socket socket = connect()) {
                write(socket, List.of(first.bytes(), cut(second.bytes(), 200).get(0)));
                DataInputStream in = new DataInputStream(socket.getInputStream());
                assertThat(read(in)).isEqualTo(first.answer());
                assertThat(read(in)).startsWith("413 ");
                assertThat(in.read()).isEqualTo(-1);
            }
        }

        /** A request that was read behind one whose connection is closed gets no answer. */
        @Test
        void requestsThatWereReadAreAnsweredBeforeTheConnectionIsClosed() throws Exception {
            Sent first = post(1, 503, Answered.WHEN_ALL_IS_WRITTEN);
            Sent second = post(2, 503, Answered.WHEN_ALL_IS_WRITTEN);
            mClosing = true;
            try (Socket socket = connect()) {
                write(socket, List.of(first.bytes(), second.bytes()));
                DataInputStream in = new DataInputStream(socket.getInputStream());
                assertThat(read(in)).isEqualTo(first.answer());
                assertThat(read(in)).isEqualTo(second.answer());
                assertThat(in.read()).isEqualTo(-1);
            }
        }
    }

    @Nested
    final class AnySegments {
        private static final int CONNECTIONS = 60;

        /** Some split of some requests leaves one without an answer. */
        @Test
        void eachRequestIsAnsweredOnceAndInOrder() throws Exception {
            for (int seed = 0; seed < CONNECTIONS; seed++) {
                Random random = new Random(seed);
                List<Sent> requests = requests(random);
                byte[] bytes = concatenated(requests);
                int[] places =
                        random.ints(random.nextInt(6), 1, bytes.length)
                                .sorted()
                                .distinct()
                                .toArray();
                try {
                    assertAnswered(requests, cut(bytes, places));
                } catch (IOException | ExecutionException | AssertionError e) {
                    String cuts = Arrays.toString(places);
                    throw new AssertionError(
                            "seed " + seed + " " + requests + " cut at " + cuts, e);
                }
            }
        }

        private List<Sent> requests(Random random) {
            List<Sent> requests = new ArrayList<>();
            int count = 1 + random.nextInt(5);
            for (int id = 0; id < count; id++) {
                boolean post = random.nextInt(3) > 0;
                int status = List.of(200, 404, 410, 429, 503).get(random.nextInt(5));
                Answered answered = Answered.values()[random.nextInt(Answered.values().length)];
                int bodyBytes = post ? random.nextInt(random.nextBoolean() ? 200 : 40_000) : 0;
                requests.add(new Sent(id, post ? "POST" : "GET", status, answered, bodyBytes));
            }
            return requests;
        }
    }
}
