package org.boragegap.entry.cell;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.http.HttpClient;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A topic is followed whatever its records are. */
final class TopicWatcherTest {
    private static final String HOST = "127.0.0.1";
    private static final int ANY_PORT = 0;
    private static final int MAX_BODY_BYTES = 1_024;
    private static final int OFFSETS_BYTES = 16;
    private static final long TIMEOUT_S = 10;

    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(1);
    private final HttpClient mHttp = HttpClient.create(8);
    private final HttpEndpoint mStore =
            HttpEndpoint.create("store", HOST, ANY_PORT, MAX_BODY_BYTES, TopicWatcherTest::answer);

    /** Answers as a store whose topic has a record at each offset. */
    private static void answer(IncomingRequest in) {
        if (in.path().equals("/log-newest")) {
            in.reply(200, "{\"items\":[],\"HasMore\":false,\"End\":0}");
            return;
        }
        byte[] key = in.query("From").orElse("").getBytes(StandardCharsets.UTF_8);
        int length = 1 + key.length + 1;
        ByteBuffer bytes = ByteBuffer.allocate(OFFSETS_BYTES + Integer.BYTES + length);
        bytes.position(OFFSETS_BYTES);
        bytes.putInt(length).put((byte) key.length).put(key).put((byte) 1);
        in.reply(200, bytes.array());
    }

    @BeforeEach
    void start() throws Exception {
        mStore.start();
        mHttp.start();
    }

    @AfterEach
    void stop() {
        mTimer.shutdownNow();
        mHttp.stop();
        mStore.stop();
    }

    /** Guards against a watch that ends without a word when its records can't be handled. */
    @Test
    void goesOnWhenTheListenerFails() throws Exception {
        CountDownLatch notified = new CountDownLatch(4);
        TopicWatcher watcher =
                new TopicWatcher(
                        StoreClient.create(mHttp, HOST + ":" + mStore.port()),
                        mTimer,
                        "keyed.test",
                        0,
                        1,
                        records -> fail(records, notified));
        watcher.start();
        assertThat(notified.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        watcher.stop();
    }

    private static void fail(Map<String, byte[]> records, CountDownLatch notified) {
        notified.countDown();
        throw new IllegalStateException("can't handle " + records.size() + " records");
    }
}
