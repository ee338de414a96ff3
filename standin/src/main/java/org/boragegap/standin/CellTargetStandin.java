package org.boragegap.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.PlatformJson;

/**
 * Stands in for a target of the users' platform: leases, fencing, run numbers, ends.
 *
 * <p>It starts what it is told to, whether it fits or not. A spec that is a number is the run time
 * in ms.
 */
public final class CellTargetStandin implements Standin {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int OTHER_INCARNATION = 421;
    private static final long MAX_LEASE_MS = 1_000;
    private static final long TICK_INTERVAL_MS = 5;
    private static final long CLOCK_OFFSET_MS = 480_000;

    /** How orders are answered. */
    public enum AnswerMode {
        /** At once. */
        PROMPT,
        /** Carried out, and not answered. */
        LOST,
        /** Not answered, and carried out after two seconds. */
        LATE
    }

    private record Run(int number, long endsMs) {}

    private record EndedRun(long cursor, String task, int run, String cause) {}

    private record HeldCall(IncomingRequest request, long untilMs) {}

    private final String mId;
    private final String mAddress;
    private final String mService;
    private final HttpEndpoint mEndpoint;
    private final StoreStandin mStore;
    private final ScheduledExecutorService mTimer;
    private final Map<String, Run> mRunning = new HashMap<>();
    private final Map<String, Integer> mHighestRuns = new HashMap<>();
    private final Map<String, Integer> mStarts = new HashMap<>();
    private final List<EndedRun> mEnded = new ArrayList<>();
    private final List<HeldCall> mHeldCalls = new ArrayList<>();
    private long mFence;
    private long mLeaseEndMs;
    private long mNextCursor = 1;
    private int mMaxRunning;
    private AnswerMode mAnswerMode = AnswerMode.PROMPT;

    private CellTargetStandin(
            String id,
            String host,
            int port,
            String service,
            StoreStandin store,
            ScheduledExecutorService timer) {
        mId = id;
        mAddress = host + ":" + port;
        mService = service;
        mEndpoint = HttpEndpoint.create(id, host, port, MAX_BODY_BYTES, this::handle);
        mStore = store;
        mTimer = timer;
    }

    /** Makes a target that registers itself in the store. */
    public static CellTargetStandin create(
            String id,
            String host,
            int port,
            String service,
            StoreStandin store,
            ScheduledExecutorService timer) {
        return new CellTargetStandin(id, host, port, service, store, timer);
    }

    @Override
    public void start() throws IOException {
        mEndpoint.start();
        register("ready");
        mTimer.scheduleAtFixedRate(
                this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mEndpoint.stop();
    }

    /** Reports in the store that it leaves soon. */
    public void drain() {
        register("draining");
    }

    private void register(String state) {
        ObjectNode entry = PlatformJson.object();
        entry.put("Service", mService);
        entry.put("Address", mAddress);
        entry.put("Zone", "a");
        entry.put("Version", "v1");
        entry.put("Slots", 8);
        entry.put("State", state);
        entry.put("ColdRemainingMs", 0);
        entry.put("Sequence", 1);
        entry.putObject("Capacity").put("Cpu", 2_000).put("MemMb", 1_000).put("Gpu", 0);
        entry.putArray("Labels").add("a").add("r1-1");
        mStore.put("keyed.servers", mId, entry.toString());
    }

    /** Changes how orders are answered from now on. */
    public synchronized void answerMode(AnswerMode answers) {
        mAnswerMode = answers;
    }

    /** How often each task was started here. */
    public synchronized Map<String, Integer> starts() {
        return Map.copyOf(mStarts);
    }

    /** Most runs that were at work at one moment. */
    public synchronized int maxRunning() {
        return mMaxRunning;
    }

    private static long clockMs() {
        return System.nanoTime() / 1_000_000 + CLOCK_OFFSET_MS;
    }

    private void handle(IncomingRequest in) {
        if (in.header("Expect-Instance").filter(id -> !id.equals(mId)).isPresent()) {
            in.reply(OTHER_INCARNATION, "{}");
            return;
        }
        try {
            JsonNode call = PlatformJson.tree(in.body());
            if (mode() == AnswerMode.LATE && !in.path().equals("/hold")) {
                mTimer.schedule(() -> execute(in, call), 2, TimeUnit.SECONDS);
            } else {
                execute(in, call);
            }
        } catch (PlatformException e) {
            in.reply(BAD_REQUEST, "{}");
        }
    }

    private synchronized AnswerMode mode() {
        return mAnswerMode;
    }

    private synchronized void execute(IncomingRequest in, JsonNode call) {
        if (call.path("Fence").asLong() < mFence) {
            in.reply(CONFLICT, refusal("fence"));
            return;
        }
        mFence = call.path("Fence").asLong();
        switch (in.path()) {
            case "/hold" -> hold(in, call);
            case "/run-start" -> answer(in, start(call));
            case "/run-stop" -> answer(in, stop(call));
            default -> in.reply(BAD_REQUEST, "{}");
        }
    }

    /** An empty reason is success. */
    private void answer(IncomingRequest in, String reason) {
        if (mAnswerMode != AnswerMode.PROMPT) {
            in.drop();
        } else if (reason.isEmpty()) {
            in.reply(OK, "{\"ClockMs\":" + clockMs() + "}");
        } else {
            in.reply(CONFLICT, refusal(reason));
        }
    }

    private static String refusal(String reason) {
        return PlatformJson.object().put("ClockMs", clockMs()).put("Reason", reason).toString();
    }

    private void extendLease(long untilMs) {
        mLeaseEndMs = Math.max(mLeaseEndMs, Math.min(untilMs, clockMs() + MAX_LEASE_MS));
    }

    private String start(JsonNode call) {
        String task = call.path("Task").asText();
        int number = call.path("Run").asInt();
        if (call.path("UntilMs").asLong() <= clockMs()) {
            return "late";
        }
        extendLease(call.path("UntilMs").asLong());
        Run running = mRunning.get(task);
        if (running != null && running.number() == number) {
            return "";
        }
        if (number <= mHighestRuns.getOrDefault(task, 0)) {
            return "old";
        }
        mHighestRuns.put(task, number);
        mStarts.merge(task, 1, Integer::sum);
        mRunning.put(task, new Run(number, clockMs() + call.path("Spec").asLong()));
        mMaxRunning = Math.max(mMaxRunning, mRunning.size());
        return "";
    }

    private String stop(JsonNode call) {
        String task = call.path("Task").asText();
        int number = call.path("Run").asInt();
        mHighestRuns.merge(task, number, Math::max);
        Run running = mRunning.get(task);
        if (running != null && running.number() == number) {
            endRun(task, running, "stopped");
        }
        return "";
    }

    private void hold(IncomingRequest in, JsonNode call) {
        extendLease(call.path("UntilMs").asLong());
        mEnded.removeIf(row -> row.cursor() <= call.path("AckCursor").asLong());
        mHeldCalls.add(new HeldCall(in, clockMs() + call.path("WaitMs").asLong()));
        answerHeldCalls();
    }

    private synchronized void tick() {
        boolean lapsed = clockMs() >= mLeaseEndMs;
        for (String task : List.copyOf(mRunning.keySet())) {
            Run run = mRunning.get(task);
            if (lapsed || clockMs() >= run.endsMs()) {
                endRun(task, run, lapsed ? "lapsed" : "done");
            }
        }
        answerHeldCalls();
    }

    private void endRun(String task, Run run, String how) {
        mRunning.remove(task);
        mEnded.add(new EndedRun(mNextCursor++, task, run.number(), how));
    }

    private void answerHeldCalls() {
        for (HeldCall held : List.copyOf(mHeldCalls)) {
            if (!mEnded.isEmpty() || clockMs() >= held.untilMs()) {
                mHeldCalls.remove(held);
                held.request().reply(OK, report());
            }
        }
    }

    private String report() {
        ObjectNode report = PlatformJson.object();
        report.put("ClockMs", clockMs());
        ArrayNode running = report.putArray("Running");
        mRunning.forEach(
                (task, run) -> running.addArray().add(task).add(run.number()).add("").add(50));
        ArrayNode ended = report.putArray("Ended");
        for (EndedRun row : mEnded) {
            ended.addArray()
                    .add(row.cursor())
                    .add(row.task())
                    .add(row.run())
                    .add(row.cause())
                    .add("");
        }
        return report.toString();
    }
}
