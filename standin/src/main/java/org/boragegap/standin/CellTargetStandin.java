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
 * Stand-in for a target of the users' platform, with leases, fencing, run numbers and ended runs.
 *
 * <p>It starts every run that it is ordered to, without checking its capacity. A spec that is a
 * number is the run time in ms.
 */
public final class CellTargetStandin implements Standin {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int OTHER_INCARNATION = 421;
    private static final long MAX_LEASE_MS = 1_000;
    private static final long STOP_MS = 50;
    private static final int MAX_LISTED_ENDS = 500;
    private static final long TICK_INTERVAL_MS = 5;
    private static final long CLOCK_OFFSET_MS = 480_000;

    /**
     * How orders to start and stop runs are answered. Orders to extend the lease are carried out at
     * once and answered in all modes.
     */
    public enum AnswerMode {
        /** Carried out and answered at once. */
        PROMPT,
        /** Carried out at once but not answered. */
        LOST,
        /** Carried out after two seconds and not answered. */
        LATE
    }

    /** How a run ended that another run of its task has replaced on the same target. */
    public static final String REPLACED = "replaced";

    /**
     * A run that has ended.
     *
     * @param fence fencing token of the order that started it
     * @param beganMs when it began, on this process's monotonic clock, in ms
     * @param endedMs when it ended, on the same clock
     * @param cause how it ended
     */
    public record PastRun(
            String task,
            int number,
            long fence,
            String target,
            long beganMs,
            long endedMs,
            String cause) {}

    private record Run(int number, long fence, long beganMs, long endsMs, String cause) {}

    private record EndedRun(long cursor, String task, int run, String cause) {}

    private record HeldCall(IncomingRequest request, long untilMs) {}

    private final String mId;
    private final String mAddress;
    private final String mService;
    private final HttpEndpoint mEndpoint;
    private final StoreStandin mStore;
    private final ScheduledExecutorService mTimer;
    private final Map<String, Run> mRunning = new HashMap<>();

    /** Highest run of each task that was stopped or has ended; it starts no run up to that. */
    private final Map<String, Integer> mRejectedUpTo = new HashMap<>();

    private final Map<String, Integer> mStarts = new HashMap<>();
    private final List<EndedRun> mEnded = new ArrayList<>();
    private final List<PastRun> mPastRuns = new ArrayList<>();
    private final List<HeldCall> mHeldCalls = new ArrayList<>();
    private final List<IncomingRequest> mLostCalls = new ArrayList<>();
    private long mFence;
    private long mLeaseEndMs;
    private long mNextCursor = 1;
    private int mMaxRunning;
    private AnswerMode mAnswerMode = AnswerMode.PROMPT;
    private boolean mUnreachable;

    /** Start of this incarnation in Unix ms; 0 while it is not stated. */
    private long mIncarnation;

    private long mStartClockMs;

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

    /** Creates a target that registers itself in the store. */
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
        unreachable(false);
        mEndpoint.stop();
    }

    /** Records in the store that this target is draining. */
    public void drain() {
        register("draining");
    }

    /**
     * States from now on when this target started, as targets do that may restart under the same
     * id.
     */
    public synchronized void stateStart() {
        mIncarnation = System.currentTimeMillis();
        register("ready");
    }

    /**
     * Restarts this target under the same id: it loses all that it ran and knew, and its clock
     * starts anew. Pending calls get no answer, and delayed orders are never carried out.
     */
    public synchronized void restart() {
        mRunning.forEach((task, run) -> recordEnd(task, run, clockMs(), "lost"));
        mRunning.clear();
        mRejectedUpTo.clear();
        mEnded.clear();
        mHeldCalls.forEach(call -> call.request().drop());
        mHeldCalls.clear();
        mFence = 0;
        mLeaseEndMs = 0;
        mNextCursor = 1;
        mStartClockMs = System.nanoTime() / 1_000_000;
        mIncarnation = Math.max(mIncarnation + 1, System.currentTimeMillis());
        register("ready");
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
        addStart(entry);
        mStore.put("keyed.servers", mId, entry.toString());
    }

    private ObjectNode addStart(ObjectNode node) {
        return mIncarnation == 0 ? node : node.put("born", mIncarnation);
    }

    /** Sets how orders to start and stop runs are answered from now on. */
    public synchronized void answerMode(AnswerMode answerMode) {
        mAnswerMode = answerMode;
    }

    /**
     * Cuts this target off, or connects it again. Calls to a target that is cut off are not carried
     * out, and get no answer before their connections are closed when it is connected again.
     */
    public synchronized void unreachable(boolean unreachable) {
        mUnreachable = unreachable;
        if (!unreachable) {
            mLostCalls.forEach(IncomingRequest::drop);
            mLostCalls.clear();
        }
    }

    /** All runs that have ended so far, also those that were lost in a restart. */
    public synchronized List<PastRun> pastRuns() {
        return List.copyOf(mPastRuns);
    }

    /** How often each task was started on this target. */
    public synchronized Map<String, Integer> starts() {
        return Map.copyOf(mStarts);
    }

    /** Maximum number of concurrent runs so far. */
    public synchronized int maxRunning() {
        return mMaxRunning;
    }

    private long clockMs() {
        return System.nanoTime() / 1_000_000 - mStartClockMs + CLOCK_OFFSET_MS;
    }

    private synchronized boolean isLost(IncomingRequest request) {
        if (mUnreachable) {
            mLostCalls.add(request);
        }
        return mUnreachable;
    }

    private void handle(IncomingRequest request) {
        if (isLost(request)) {
            return;
        }
        if (request.header("Expect-Instance").filter(id -> !id.equals(mId)).isPresent()) {
            request.reply(OTHER_INCARNATION, "{}");
            return;
        }
        try {
            JsonNode body = PlatformJson.tree(request.body());
            if (mode() == AnswerMode.LATE && !request.path().equals("/hold")) {
                long receivedBy = incarnation();
                mTimer.schedule(() -> executeLate(request, body, receivedBy), 2, TimeUnit.SECONDS);
            } else {
                execute(request, body);
            }
        } catch (PlatformException e) {
            request.reply(BAD_REQUEST, "{}");
        }
    }

    private synchronized long incarnation() {
        return mIncarnation;
    }

    private synchronized void executeLate(IncomingRequest request, JsonNode body, long receivedBy) {
        if (receivedBy == mIncarnation) {
            execute(request, body);
        }
    }

    private synchronized AnswerMode mode() {
        return mAnswerMode;
    }

    private synchronized void execute(IncomingRequest request, JsonNode body) {
        if (body.path("Fence").asLong() < mFence) {
            request.reply(CONFLICT, refusal("fence"));
            return;
        }
        mFence = body.path("Fence").asLong();
        switch (request.path()) {
            case "/hold" -> hold(request, body);
            case "/run-start" -> answer(request, start(body));
            case "/run-stop" -> answer(request, stop(body));
            default -> request.reply(BAD_REQUEST, "{}");
        }
    }

    /** Answers an order to start or stop a run; an empty reason means success. */
    private void answer(IncomingRequest request, String reason) {
        if (mAnswerMode != AnswerMode.PROMPT) {
            request.drop();
        } else if (reason.isEmpty()) {
            ObjectNode answer = PlatformJson.object().put("ClockMs", clockMs());
            request.reply(OK, addStart(answer).toString());
        } else {
            request.reply(CONFLICT, refusal(reason));
        }
    }

    private String refusal(String reason) {
        ObjectNode answer = PlatformJson.object().put("ClockMs", clockMs());
        return addStart(answer).put("Reason", reason).toString();
    }

    private void extendLease(long untilMs) {
        mLeaseEndMs = Math.max(mLeaseEndMs, Math.min(untilMs, clockMs() + MAX_LEASE_MS));
    }

    private String start(JsonNode body) {
        String task = body.path("Task").asText();
        int number = body.path("Run").asInt();
        if (body.path("UntilMs").asLong() <= clockMs()) {
            return "late";
        }
        extendLease(body.path("UntilMs").asLong());
        Run running = mRunning.get(task);
        if (running != null && running.number() == number) {
            return "";
        }
        if (number <= mRejectedUpTo.getOrDefault(task, 0)) {
            return "old";
        }
        mStarts.merge(task, 1, Integer::sum);
        if (running != null) {
            recordEnd(task, running, clockMs(), REPLACED);
        }
        long nowMs = clockMs();
        long endsMs = nowMs + body.path("Spec").asLong();
        mRunning.put(task, new Run(number, mFence, nowMs, endsMs, "done"));
        mMaxRunning = Math.max(mMaxRunning, mRunning.size());
        return "";
    }

    private String stop(JsonNode body) {
        String task = body.path("Task").asText();
        int number = body.path("Run").asInt();
        mRejectedUpTo.merge(task, number, Math::max);
        Run running = mRunning.get(task);
        if (running != null && running.number() == number) {
            stop(task, running);
        }
        return "";
    }

    /** Stops a run, which may end by itself before the stop takes effect. */
    private void stop(String task, Run running) {
        long endsMs = clockMs() + STOP_MS;
        if (endsMs < running.endsMs()) {
            Run stopping =
                    new Run(
                            running.number(),
                            running.fence(),
                            running.beganMs(),
                            endsMs,
                            "stopped");
            mRunning.put(task, stopping);
        }
    }

    private void hold(IncomingRequest request, JsonNode body) {
        extendLease(body.path("UntilMs").asLong());
        mEnded.removeIf(endedRun -> endedRun.cursor() <= body.path("AckCursor").asLong());
        mHeldCalls.add(new HeldCall(request, clockMs() + body.path("WaitMs").asLong()));
        answerHeldCalls();
    }

    private synchronized void tick() {
        boolean leaseExpired = clockMs() >= mLeaseEndMs;
        for (String task : List.copyOf(mRunning.keySet())) {
            Run run = mRunning.get(task);
            if (leaseExpired || clockMs() >= run.endsMs()) {
                long endedMs = Math.min(run.endsMs(), leaseExpired ? mLeaseEndMs : clockMs());
                endRun(task, run, endedMs, leaseExpired ? "lapsed" : run.cause());
            }
        }
        answerHeldCalls();
    }

    private void endRun(String task, Run run, long endedMs, String cause) {
        mRunning.remove(task);
        mRejectedUpTo.merge(task, run.number(), Math::max);
        recordEnd(task, run, endedMs, cause);
        mEnded.add(new EndedRun(mNextCursor++, task, run.number(), cause));
    }

    private void recordEnd(String task, Run run, long endedMs, String cause) {
        long offsetMs = CLOCK_OFFSET_MS - mStartClockMs;
        mPastRuns.add(
                new PastRun(
                        task,
                        run.number(),
                        run.fence(),
                        mId,
                        run.beganMs() - offsetMs,
                        endedMs - offsetMs,
                        cause));
    }

    private void answerHeldCalls() {
        for (HeldCall heldCall : List.copyOf(mHeldCalls)) {
            if (!mEnded.isEmpty() || clockMs() >= heldCall.untilMs()) {
                mHeldCalls.remove(heldCall);
                heldCall.request().reply(OK, report());
            }
        }
    }

    private String report() {
        ObjectNode report = addStart(PlatformJson.object());
        report.put("ClockMs", clockMs());
        ArrayNode running = report.putArray("Running");
        mRunning.forEach(
                (task, run) -> running.addArray().add(task).add(run.number()).add("").add(50));
        ArrayNode ended = report.putArray("Ended");
        for (EndedRun endedRun : mEnded.subList(0, Math.min(mEnded.size(), MAX_LISTED_ENDS))) {
            ended.addArray()
                    .add(endedRun.cursor())
                    .add(endedRun.task())
                    .add(endedRun.run())
                    .add(endedRun.cause())
                    .add("");
        }
        return report.toString();
    }
}
