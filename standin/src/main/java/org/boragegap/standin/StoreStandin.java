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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.PlatformJson;

/** Stands in for the platform's store: keyed topics and one group, in memory. */
public final class StoreStandin implements Standin {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int PARTITIONS = 12;
    private static final int OK = 200;
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

    private static final class Member {
        private long mLastJoinMs;
        private long mLeaseMs;
        private List<String> mTopics = List.of();
    }

    private final HttpEndpoint mEndpoint;
    private final ScheduledExecutorService mTimer;
    private final Map<String, Topic> mTopics = new LinkedHashMap<>();
    private final Map<String, Member> mMembers = new TreeMap<>();
    private long mGeneration = 1;
    private boolean mDown;

    private StoreStandin(String host, int port, ScheduledExecutorService timer) {
        mEndpoint = HttpEndpoint.create("store", host, port, MAX_BODY_BYTES, this::handle);
        mTimer = timer;
    }

    /** Makes a store; its delays run on the timer. */
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

    /** Writes the newest record of a key. */
    public synchronized void put(String topic, String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        topic(topic).mRecords.add(new Entry(key, bytes));
    }

    /** Deletes a key. */
    public synchronized void delete(String topic, String key) {
        topic(topic).mRecords.add(new Entry(key, new byte[0]));
    }

    /** Deletes the history of a topic; the newest record of each key stays known. */
    public synchronized void compact(String name) {
        Topic topic = topic(name);
        Map<String, Entry> newest = newest(topic);
        long end = topic.endOffset();
        topic.mRecords.clear();
        topic.mRecords.addAll(newest.values());
        topic.mFirstOffset = end;
    }

    /** Takes it down, or brings it back. */
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

    private void handle(IncomingRequest in) {
        if (isDown()) {
            in.reply(UNAVAILABLE, "{}");
            return;
        }
        try {
            switch (in.path()) {
                case "/log-join" -> in.reply(OK, join(PlatformJson.tree(in.body())));
                case "/log-leave" -> in.reply(OK, leave(PlatformJson.tree(in.body())));
                case "/log-owners" -> in.reply(OK, owners());
                case "/log-newest" -> in.reply(OK, newest(in.query("Topic").orElse("")));
                case "/log-read" -> read(in, System.nanoTime());
                case "/log-append" -> append(in);
                default -> in.reply(NOT_FOUND, "{}");
            }
        } catch (PlatformException e) {
            in.reply(NOT_FOUND, "{}");
        }
    }

    private synchronized boolean isDown() {
        return mDown;
    }

    // The group

    private synchronized String join(JsonNode call) {
        removeExpiredMembers();
        String name = call.path("Member").asText();
        Member member = mMembers.get(name);
        if (member == null) {
            member = new Member();
            mMembers.put(name, member);
            mGeneration++;
        }
        member.mLastJoinMs = nowMs();
        member.mLeaseMs = call.path("TtlMs").asLong();
        List<String> topics = new ArrayList<>();
        call.path("Topics").forEach(topic -> topics.add(topic.asText()));
        member.mTopics = topics;
        ObjectNode answer = PlatformJson.object();
        answer.put("Generation", mGeneration);
        ArrayNode parts = answer.putArray("parts");
        for (String topic : topics) {
            for (int part = 0; part < PARTITIONS; part++) {
                if (owner(topic, part).equals(name)) {
                    parts.addArray().add(topic).add(part).add(0);
                }
            }
        }
        return answer.toString();
    }

    /** Partitions are dealt to those that ask for the topic, in turn. */
    private String owner(String topic, int part) {
        List<String> names =
                mMembers.entrySet().stream()
                        .filter(member -> member.getValue().mTopics.contains(topic))
                        .map(Map.Entry::getKey)
                        .toList();
        return names.get(part % names.size());
    }

    private synchronized String leave(JsonNode call) {
        mMembers.remove(call.path("Member").asText());
        mGeneration++;
        return "{}";
    }

    private synchronized String owners() {
        removeExpiredMembers();
        ObjectNode answer = PlatformJson.object();
        ArrayNode parts = answer.putArray("parts");
        mMembers.keySet().forEach(name -> parts.addArray().add("cells").add(0).add(name).add(0));
        return answer.toString();
    }

    private void removeExpiredMembers() {
        boolean gone =
                mMembers.values()
                        .removeIf(member -> nowMs() - member.mLastJoinMs > member.mLeaseMs);
        if (gone) {
            mGeneration++;
        }
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

    /** Takes one record of a keyed topic, on the condition that the topic ends where it says. */
    private synchronized void append(IncomingRequest in) {
        Topic topic = topic(in.query("Topic").orElse(""));
        long at = Long.parseLong(in.query("At").orElse(Long.toString(topic.endOffset())));
        if (at != topic.endOffset()) {
            in.reply(PRECONDITION_FAILED, "{\"End\":" + topic.endOffset() + "}");
            return;
        }
        ByteBuffer record = ByteBuffer.wrap(in.body());
        byte[] content = new byte[record.getInt()];
        record.get(content);
        int keyLength = Byte.toUnsignedInt(content[0]);
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(content, 1 + keyLength, content.length);
        topic.mRecords.add(new Entry(key, value));
        in.reply(OK, "{\"Offset\":" + at + ",\"End\":" + topic.endOffset() + "}");
    }

    private void read(IncomingRequest in, long sinceNanos) {
        String name = in.query("Topic").orElse("");
        long from = Long.parseLong(in.query("From").orElse("0"));
        long waitMs = Long.parseLong(in.query("WaitMs").orElse("0"));
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
        if (isCompacted(name, from)) {
            in.reply(GONE, "{}");
        } else if (waitedMs < waitMs && isEmpty(name, from)) {
            mTimer.schedule(
                    () -> read(in, sinceNanos), READ_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            in.reply(OK, encodeRecords(name, from));
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
