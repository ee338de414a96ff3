package org.boragegap.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.PlatformJson;

/** In-memory stand-in for the platform's store: keyed topics and one consumer group. */
public final class StoreStandin implements Standin {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final long READ_POLL_INTERVAL_MS = 10;

    private record Entry(String key, byte[] value) {}

    private static final class Topic {
        private final List<Entry> mRecords = new ArrayList<>();
        private long mFirstOffset;

        private long endOffset() {
            return mFirstOffset + mRecords.size();
        }
    }

    private final HttpEndpoint mEndpoint;
    private final ScheduledExecutorService mTimer;
    private final Map<String, Topic> mTopics = new LinkedHashMap<>();
    private final ConsumerGroup mGroup = ConsumerGroup.create();
    private boolean mDown;

    private StoreStandin(String host, int port, ScheduledExecutorService timer) {
        mEndpoint = HttpEndpoint.create("store", host, port, MAX_BODY_BYTES, this::handle);
        mTimer = timer;
    }

    /** Creates a store that schedules its delayed answers on the timer. */
    public static StoreStandin create(String host, int port, ScheduledExecutorService timer) {
        return new StoreStandin(host, port, timer);
    }

    @Override
    public void start() throws IOException {
        mEndpoint.start();
    }

    @Override
    public void stop() {
        mEndpoint.stop();
    }

    /** Appends a record, which becomes the newest of its key. */
    public synchronized void put(String topic, String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        topic(topic).mRecords.add(new Entry(key, bytes));
    }

    /** Deletes a key by appending a record without a value. */
    public synchronized void delete(String topic, String key) {
        topic(topic).mRecords.add(new Entry(key, new byte[0]));
    }

    /** Compacts a topic: keeps only the newest record of each key, at new offsets. */
    public synchronized void compact(String name) {
        Topic topic = topic(name);
        Map<String, Entry> newest = newest(topic);
        long end = topic.endOffset();
        topic.mRecords.clear();
        topic.mRecords.addAll(newest.values());
        topic.mFirstOffset = end;
    }

    /** Takes the store down or brings it back up. */
    public synchronized void down(boolean down) {
        mDown = down;
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    private static Map<String, Entry> newest(Topic topic) {
        Map<String, Entry> newest = new LinkedHashMap<>();
        for (Entry entry : topic.mRecords) {
            newest.remove(entry.key());
            if (entry.value().length > 0) {
                newest.put(entry.key(), entry);
            }
        }
        return newest;
    }

    private void handle(IncomingRequest request) {
        if (isDown()) {
            request.reply(UNAVAILABLE, "{}");
            return;
        }
        try {
            switch (request.path()) {
                case "/log-join" -> request.reply(OK, join(PlatformJson.tree(request.body())));
                case "/log-commit" -> commit(request, PlatformJson.tree(request.body()));
                case "/log-leave" -> request.reply(OK, leave(PlatformJson.tree(request.body())));
                case "/log-owners" -> request.reply(OK, owners());
                case "/log-newest" -> request.reply(OK, newest(request.query("Topic").orElse("")));
                case "/log-read" -> read(request, System.nanoTime());
                case "/log-append" -> append(request);
                default -> request.reply(NOT_FOUND, "{}");
            }
        } catch (PlatformException e) {
            request.reply(NOT_FOUND, "{}");
        }
    }

    private synchronized boolean isDown() {
        return mDown;
    }

    // Consumer group

    /** Reassigns all partitions of the group at once, without a request, in an order drawn here. */
    public synchronized void reassignAtOnce(SplittableRandom random) {
        mGroup.reassignAtOnce(random);
    }

    /**
     * From now on each change of the group leaves some members without a partition, and so without
     * a row in the list of owners, until they have joined with the new generation.
     */
    public synchronized void unassignMembersOnChange(SplittableRandom random) {
        mGroup.unassignMembersOnChange(random);
    }

    /** Member that holds a partition, if any does. */
    public synchronized Optional<String> holder(String topic, int part) {
        return mGroup.holder(topic, part);
    }

    private synchronized String join(JsonNode body) {
        Set<String> topics = new LinkedHashSet<>();
        body.path("Topics").forEach(topic -> topics.add(topic.asText()));
        ConsumerGroup.Assignment assignment =
                mGroup.join(
                        body.path("Member").asText(),
                        topics,
                        body.path("TtlMs").asLong(),
                        body.path("Generation").asLong(),
                        nowMs());
        ObjectNode answer = PlatformJson.object();
        answer.put("Generation", assignment.generation());
        ArrayNode parts = answer.putArray("parts");
        for (ConsumerGroup.Partition partition : assignment.partitions()) {
            parts.addArray().add(partition.topic()).add(partition.number()).add(0);
        }
        return answer.toString();
    }

    private synchronized void commit(IncomingRequest request, JsonNode body) {
        ConsumerGroup.Partition partition =
                new ConsumerGroup.Partition(body.path("Topic").asText(), body.path("part").asInt());
        boolean accepted =
                mGroup.commit(
                        body.path("Member").asText(),
                        partition,
                        body.path("Generation").asLong(),
                        nowMs());
        request.reply(accepted ? OK : CONFLICT, "{}");
    }

    private synchronized String leave(JsonNode body) {
        mGroup.leave(body.path("Member").asText());
        return "{}";
    }

    private synchronized String owners() {
        ObjectNode answer = PlatformJson.object();
        ArrayNode parts = answer.putArray("parts");
        for (ConsumerGroup.Row row : mGroup.owners(nowMs())) {
            ConsumerGroup.Partition partition = row.partition();
            parts.addArray()
                    .add(partition.topic())
                    .add(partition.number())
                    .add(row.member())
                    .add(0);
        }
        return answer.toString();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    // Keyed topics

    private synchronized String newest(String name) {
        Topic topic = topic(name);
        ObjectNode answer = PlatformJson.object();
        ArrayNode items = answer.putArray("items");
        for (Entry entry : newest(topic).values()) {
            ObjectNode item = items.addObject();
            item.put("Key", entry.key());
            item.put("Value", Base64.getEncoder().encodeToString(entry.value()));
        }
        answer.put("HasMore", false);
        answer.put("End", topic.endOffset());
        return answer.toString();
    }

    /** Appends a record to a keyed topic, provided that the topic ends at the given offset. */
    private synchronized void append(IncomingRequest request) {
        Topic topic = topic(request.query("Topic").orElse(""));
        long at = Long.parseLong(request.query("At").orElse(Long.toString(topic.endOffset())));
        if (at != topic.endOffset()) {
            request.reply(PRECONDITION_FAILED, "{\"End\":" + topic.endOffset() + "}");
            return;
        }
        ByteBuffer record = ByteBuffer.wrap(request.body());
        byte[] content = new byte[record.getInt()];
        record.get(content);
        int keyLength = Byte.toUnsignedInt(content[0]);
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        topic.mRecords.add(new Entry(key, value));
        request.reply(OK, "{\"Offset\":" + at + ",\"End\":" + topic.endOffset() + "}");
    }

    private void read(IncomingRequest request, long startNanos) {
        String name = request.query("Topic").orElse("");
        long from = Long.parseLong(request.query("From").orElse("0"));
        long waitMs = Long.parseLong(request.query("WaitMs").orElse("0"));
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        if (isCompacted(name, from)) {
            request.reply(GONE, "{}");
        } else if (waitedMs < waitMs && isEmpty(name, from)) {
            mTimer.schedule(
                    () -> read(request, startNanos), READ_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            request.reply(OK, encodeRecords(name, from));
        }
    }

    private synchronized boolean isCompacted(String name, long from) {
        return from < topic(name).mFirstOffset;
    }

    private synchronized boolean isEmpty(String name, long from) {
        return from >= topic(name).endOffset();
    }

    private synchronized byte[] encodeRecords(String name, long from) {
        Topic topic = topic(name);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(topic.endOffset());
            out.writeLong(topic.mFirstOffset);
            for (long at = from; at < topic.endOffset(); at++) {
                writeRecord(out, topic.mRecords.get((int) (at - topic.mFirstOffset)));
            }
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    private static void writeRecord(DataOutputStream out, Entry entry) throws IOException {
        byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
        out.writeInt(1 + key.length + entry.value().length);
        out.writeByte(key.length);
        out.write(key);
        out.write(entry.value());
    }
}
