import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.standin.StoreStandin;

/** One life of a minion: it follows "Running tasks" and "Service discovery" of PROTOCOL.md. */
final class Minion {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MS = 1_000;
    private static final long STOP_MS = 50;
    private static final long HEARTBEAT_MS = 1_500;

    /** A run, from its start to its end. */
    static final class Run {
        String task;
        int number;
        String minion;
        long born;
        String label;
        int cpu;
        long beganMs;
        long endsMs;
        long endedMs = -1;
        String how = "done";
    }

    private record Held(IncomingRequest request, long untilMs) {}

    private record End(long number, Run run) {}

    /** What a minion is made of; a later life may be of another kind. */
    record Kind(String label, int cpu, int memMb) {}

    final String mId;
    final String mAddress;
    final String mService;
    final Kind mKind;
    final long mBorn;
    private final boolean mStatesBorn;
    private final StoreStandin mStore;
    private final ScheduledExecutorService mTimer;
    private final Lab mLab;
    private final HttpEndpoint mEndpoint;
    private final long mZeroMs;
    private final Map<String, Run> mRunning = new HashMap<>();
    private final Map<String, Integer> mRejectUpTo = new HashMap<>();
    private final List<End> mEnded = new ArrayList<>();
    private final List<Held> mHeld = new ArrayList<>();
    private ScheduledFuture<?> mTicks;
    private ScheduledFuture<?> mBeats;
    private long mFence;
    private long mLeaseEndMs;
    private long mNextEnd = 1;
    private int mSequence;
    private boolean mGone;

    Minion(Lab lab, String id, int port, String service, Kind kind, boolean statesBorn) {
        mLab = lab;
        mId = id;
        mAddress = Lab.HOST + ":" + port;
        mService = service;
        mKind = kind;
        mBorn = System.currentTimeMillis();
        mStatesBorn = statesBorn;
        mStore = lab.mStore;
        mTimer = lab.mTimer;
        mZeroMs = Lab.nowMs() - 1_000;
        mEndpoint = HttpEndpoint.create(id, Lab.HOST, port, 1 << 20, this::handle);
    }

    Minion start() throws IOException {
        mEndpoint.start();
        mTicks = mTimer.scheduleAtFixedRate(this::tick, 5, 5, TimeUnit.MILLISECONDS);
        mBeats = mTimer.scheduleAtFixedRate(this::register, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        mLab.record("minion " + mId + " up born=" + mBorn + " kind=" + mKind);
        return this;
    }

    /** The process ends at once, with all that it runs; its entry stays until it expires. */
    void crash() {
        synchronized (this) {
            mGone = true;
            for (Run run : mRunning.values()) {
                run.endedMs = Lab.nowMs();
                run.how = "lost";
            }
            mRunning.clear();
        }
        if (mTicks != null) {
            mTicks.cancel(false);
            mBeats.cancel(false);
        }
        mEndpoint.stop();
        mLab.record("minion " + mId + " crashed born=" + mBorn);
    }

    private long clockMs() {
        return Lab.nowMs() - mZeroMs;
    }

    private ObjectNode said() {
        ObjectNode node = JSON.createObjectNode();
        if (mStatesBorn) {
            node.put("born", mBorn);
        }
        return node;
    }

    boolean statesBorn() {
        return mStatesBorn;
    }

    private synchronized void register() {
        if (mGone) {
            return;
        }
        ObjectNode entry = said();
        entry.put("Service", mService).put("Address", mAddress).put("Zone", "a");
        entry.put("Version", "v1").put("Slots", 8).put("State", "ready");
        entry.put("ColdRemainingMs", 0).put("Sequence", ++mSequence);
        entry.putObject("Capacity").put("Cpu", mKind.cpu()).put("MemMb", mKind.memMb()).put("Gpu", 0);
        entry.putArray("Labels").add(mKind.label()).add("r1-1");
        mStore.put("keyed.servers", mId, entry.toString());
    }

    private void handle(IncomingRequest request) {
        if (request.header("Expect-Instance").filter(id -> !id.equals(mId)).isPresent()) {
            request.reply(421, "{}");
            return;
        }
        try {
            JsonNode body = JSON.readTree(request.body());
            long lateMs = mLab.lateMs(this);
            if (lateMs > 0) {
                // Left unanswered, and carried out late by this life of the minion.
                mTimer.schedule(() -> execute(null, body, request.path()), lateMs, TimeUnit.MILLISECONDS);
            } else {
                execute(request, body, request.path());
            }
        } catch (IOException e) {
            request.reply(400, "{}");
        }
    }

    private synchronized void execute(IncomingRequest request, JsonNode body, String path) {
        if (mGone) {
            return;
        }
        long fence = body.path("Fence").asLong();
        if (fence < mFence) {
            answer(request, "fence");
            return;
        }
        mFence = fence;
        switch (path) {
            case "/hold" -> hold(request, body);
            case "/run-start" -> answer(request, start(body));
            case "/run-stop" -> answer(request, stop(body));
            default -> answer(request, "path");
        }
    }

    private void answer(IncomingRequest request, String reason) {
        if (request == null) {
            return;
        }
        ObjectNode answer = said().put("ClockMs", clockMs());
        if (reason.isEmpty()) {
            request.reply(200, answer.toString());
        } else {
            request.reply(409, answer.put("Reason", reason).toString());
        }
    }

    private void extend(long untilMs) {
        mLeaseEndMs = Math.max(mLeaseEndMs, Math.min(untilMs, clockMs() + HOLD_MAX_MS));
    }

    private String start(JsonNode body) {
        String task = body.path("Task").asText();
        int number = body.path("Run").asInt();
        if (body.path("UntilMs").asLong() <= clockMs()) {
            return "late";
        }
        extend(body.path("UntilMs").asLong());
        Run running = mRunning.get(task);
        if (running != null && running.number == number) {
            return "";
        }
        if (running != null || number <= mRejectUpTo.getOrDefault(task, 0)) {
            return "old";
        }
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.minion = mId;
        run.born = mBorn;
        run.label = mKind.label();
        run.cpu = mKind.cpu();
        run.beganMs = Lab.nowMs();
        run.endsMs = clockMs() + mLab.workMs(task, body.path("Spec").asText());
        mRunning.put(task, run);
        mLab.began(run);
        return "";
    }

    private String stop(JsonNode body) {
        String task = body.path("Task").asText();
        int number = body.path("Run").asInt();
        mRejectUpTo.merge(task, number, Math::max);
        Run run = mRunning.get(task);
        if (run != null && run.number <= number && run.how.equals("done")) {
            run.endsMs = Math.min(run.endsMs, clockMs() + STOP_MS);
            run.how = "stopped";
        }
        return "";
    }

    private void hold(IncomingRequest request, JsonNode body) {
        extend(body.path("UntilMs").asLong());
        long acked = body.path("AckCursor").asLong();
        mEnded.removeIf(end -> end.number() <= acked);
        if (request == null) {
            return;
        }
        long waitMs = Math.min(2_000, body.path("WaitMs").asLong());
        mHeld.add(new Held(request, clockMs() + waitMs));
        answerHeld();
    }

    private synchronized void tick() {
        if (mGone) {
            return;
        }
        boolean lapsed = clockMs() >= mLeaseEndMs;
        for (Run run : new ArrayList<>(mRunning.values())) {
            if (lapsed || clockMs() >= run.endsMs) {
                mRunning.remove(run.task);
                mRejectUpTo.merge(run.task, run.number, Math::max);
                run.how = lapsed ? "lapsed" : run.how;
                run.endedMs = Lab.nowMs();
                mEnded.add(new End(mNextEnd++, run));
                mLab.ended(run);
            }
        }
        answerHeld();
    }

    private void answerHeld() {
        for (Held held : new ArrayList<>(mHeld)) {
            if (!mEnded.isEmpty() || clockMs() >= held.untilMs()) {
                mHeld.remove(held);
                held.request().reply(200, report());
            }
        }
    }

    private String report() {
        ObjectNode report = said().put("ClockMs", clockMs());
        ArrayNode running = report.putArray("Running");
        for (Run run : mRunning.values()) {
            running.addArray().add(run.task).add(run.number).add("").add(50).add(0);
        }
        ArrayNode ended = report.putArray("Ended");
        for (End end : mEnded.subList(0, Math.min(500, mEnded.size()))) {
            ended.addArray().add(end.number()).add(end.run().task).add(end.run().number);
            ((ArrayNode) ended.get(ended.size() - 1)).add(end.run().how).add("");
        }
        return report.toString();
    }
}
