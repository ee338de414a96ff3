package org.boragegap.standin;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragegap.core.job.RefusalCause;
import org.boragegap.core.job.Resources;
import org.boragegap.core.placement.Role;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.PlatformJson;
import org.boragegap.platform.TaskOrder;
import org.boragegap.platform.TaskReport;

/**
 * Stand-in for a worker or a minion; it simulates a task by waiting for the run time in its
 * payload.
 *
 * <p>A worker starts every task without checking its capacity; a task that starts while more CPU is
 * in use than the worker has takes longer in proportion. A minion runs as many tasks as it has
 * slots and queues further ones.
 */
public final class TargetStandin implements Standin {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int OK = 200;
    private static final int REFUSED = 409;
    private static final int FAILED = 500;
    private static final int BAD_REQUEST = 400;

    private record AcceptedTask(
            IncomingRequest request, TaskOrder order, TaskPayload payload, long startedMs) {}

    private final HttpEndpoint mEndpoint;
    private final Role mRole;
    private final Resources mCapacity;
    private final int mSlots;
    private final ScheduledExecutorService mTimer;
    private final Map<String, AtomicInteger> mStarts = new ConcurrentHashMap<>();
    private final Map<String, ScheduledFuture<?>> mScheduledEnds = new ConcurrentHashMap<>();
    private final Map<String, AcceptedTask> mRunning = new ConcurrentHashMap<>();
    private final Deque<AcceptedTask> mQueue = new ArrayDeque<>();
    private final AtomicInteger mTotalStarts = new AtomicInteger();
    private volatile TargetMode mMode = TargetMode.NORMAL;
    private int mUsedSlots;
    private int mUsedCpuMillis;
    private int mMaxUsedSlots;

    private TargetStandin(
            String host,
            int port,
            Role role,
            Resources capacity,
            int slots,
            ScheduledExecutorService timer) {
        mEndpoint = HttpEndpoint.create("target-" + port, host, port, MAX_BODY_BYTES, this::handle);
        mRole = role;
        mCapacity = capacity;
        mSlots = slots;
        mTimer = timer;
    }

    /** Creates a worker. */
    public static TargetStandin worker(
            String host, int port, Resources capacity, int slots, ScheduledExecutorService timer) {
        return new TargetStandin(host, port, Role.WORKER, capacity, slots, timer);
    }

    /** Creates a minion. */
    public static TargetStandin minion(
            String host, int port, int slots, ScheduledExecutorService timer) {
        return new TargetStandin(host, port, Role.MINION, Resources.NONE, slots, timer);
    }

    @Override
    public void start() throws IOException {
        mEndpoint.start();
    }

    @Override
    public void stop() {
        mEndpoint.stop();
    }

    /** Sets the behaviour from now on. */
    public void mode(TargetMode mode) {
        mMode = mode;
    }

    /** Number of starts so far, by submission and task index. */
    public Map<String, AtomicInteger> starts() {
        return mStarts;
    }

    private void handle(IncomingRequest request) {
        String route = request.method() + " " + request.path();
        switch (route) {
            case "POST /tasks" -> handleOrder(request);
            case "DELETE /tasks" -> cancel(request);
            case "GET /load" -> request.reply(OK, "text/plain", Map.of(), Double.toString(load()));
            case "GET /starts" -> request.reply(OK, PlatformJson.write(mStarts));
            case "GET /stats" -> request.reply(OK, stats());
            case "POST /control" -> control(request);
            default -> request.reply(BAD_REQUEST, "{\"error\":\"no such path\"}");
        }
    }

    private synchronized double load() {
        return mRole == Role.WORKER
                ? (double) mUsedCpuMillis / Math.max(1, mCapacity.cpuMillis())
                : (double) (mUsedSlots + mQueue.size()) / mSlots;
    }

    private synchronized String stats() {
        return "{\"starts\":" + mTotalStarts.get() + ",\"mostSlots\":" + mMaxUsedSlots + "}";
    }

    private void control(IncomingRequest request) {
        try {
            mMode = TargetMode.valueOf(request.query("mode").orElse("NORMAL"));
            request.reply(OK, "{}");
        } catch (IllegalArgumentException e) {
            request.reply(BAD_REQUEST, "{\"error\":\"no such mode\"}");
        }
    }

    private void handleOrder(IncomingRequest request) {
        TaskOrder order;
        TaskPayload payload;
        try {
            order = PlatformJson.read(request.text(), TaskOrder.class);
            payload = PlatformJson.read(order.payload(), TaskPayload.class);
        } catch (PlatformException e) {
            request.reply(BAD_REQUEST, "{\"error\":\"not a task\"}");
            return;
        }
        if (!mMode.startsTasks()) {
            RefusalCause cause =
                    mMode == TargetMode.BUSY ? RefusalCause.BUSY : RefusalCause.LEAVING;
            refuse(request, order, cause);
        } else if (System.currentTimeMillis() > order.startByWallMs()) {
            refuse(request, order, RefusalCause.TOO_LATE);
        } else {
            runOrQueue(new AcceptedTask(request, order, payload, System.nanoTime() / 1_000_000));
        }
    }

    private static void refuse(IncomingRequest request, TaskOrder order, RefusalCause cause) {
        TaskReport report =
                new TaskReport(
                        order.submission(), order.index(), null, 0, Resources.NONE, cause, null);
        request.reply(REFUSED, PlatformJson.write(report));
    }

    private synchronized void runOrQueue(AcceptedTask task) {
        if (mRole == Role.MINION && mUsedSlots >= mSlots) {
            mQueue.add(task);
            return;
        }
        run(task);
    }

    private void run(AcceptedTask task) {
        TaskOrder order = task.order();
        mTotalStarts.incrementAndGet();
        mStarts.computeIfAbsent(
                        order.submission() + "/" + order.index(), key -> new AtomicInteger())
                .incrementAndGet();
        mUsedSlots++;
        mMaxUsedSlots = Math.max(mMaxUsedSlots, mUsedSlots);
        mUsedCpuMillis += cpuMillis(task);
        TargetMode mode = mMode;
        if (mode == TargetMode.DROP) {
            endTask(task, mode);
            return;
        }
        if (mode == TargetMode.FREEZE) {
            return;
        }
        long runMs = mode == TargetMode.FAIL_ALL ? 0 : slowedRunMs(task.payload().runMs());
        mRunning.put(attemptKey(task), task);
        mScheduledEnds.put(
                attemptKey(task),
                mTimer.schedule(() -> endTask(task, mode), runMs, TimeUnit.MILLISECONDS));
    }

    private static String attemptKey(AcceptedTask task) {
        return task.order().owner() + "/" + task.order().attempt();
    }

    private static int cpuMillis(AcceptedTask task) {
        int declared = task.order().need().cpuMillis();
        return task.payload().cpuMillis() == 0 ? declared : task.payload().cpuMillis();
    }

    private long slowedRunMs(long runMs) {
        if (mRole == Role.MINION || mUsedCpuMillis <= mCapacity.cpuMillis()) {
            return runMs;
        }
        return runMs * mUsedCpuMillis / mCapacity.cpuMillis();
    }

    private void endTask(AcceptedTask task, TargetMode mode) {
        mScheduledEnds.remove(attemptKey(task));
        mRunning.remove(attemptKey(task));
        release(task);
        reply(task, mode);
    }

    private synchronized void release(AcceptedTask task) {
        mUsedSlots--;
        mUsedCpuMillis -= cpuMillis(task);
        if (!mQueue.isEmpty()) {
            run(mQueue.poll());
        }
    }

    private static void reply(AcceptedTask task, TargetMode mode) {
        IncomingRequest request = task.request();
        TaskOrder order = task.order();
        long tookMs = System.nanoTime() / 1_000_000 - task.startedMs();
        Resources used = new Resources(cpuMillis(task), order.need().memoryMb(), 0);
        switch (mode) {
            case DROP -> request.drop();
            case FAIL_ALL -> request.reply(FAILED, reportJson(order, null, 0, used, "it failed"));
            case CUT_SHORT -> {
                String fullReport = reportJson(order, task.payload().result(), tookMs, used, null);
                request.reply(OK, fullReport.substring(0, fullReport.length() / 2));
            }
            case MIX_UP ->
                    request.reply(
                            OK,
                            PlatformJson.write(
                                    new TaskReport("other", 0, "theirs", 1, used, null, null)));
            default ->
                    request.reply(
                            OK, reportJson(order, task.payload().result(), tookMs, used, null));
        }
    }

    private static String reportJson(
            TaskOrder order, String result, long tookMs, Resources used, String error) {
        return PlatformJson.write(
                new TaskReport(
                        order.submission(), order.index(), result, tookMs, used, null, error));
    }

    private void cancel(IncomingRequest request) {
        String key = request.query("owner").orElse("") + "/" + request.query("attempt").orElse("");
        ScheduledFuture<?> scheduledEnd = mScheduledEnds.remove(key);
        AcceptedTask task = mRunning.remove(key);
        if (scheduledEnd != null && task != null && scheduledEnd.cancel(false)) {
            release(task);
            task.request()
                    .reply(FAILED, reportJson(task.order(), null, 0, Resources.NONE, "stopped"));
        }
        request.reply(OK, "{}");
    }
}
