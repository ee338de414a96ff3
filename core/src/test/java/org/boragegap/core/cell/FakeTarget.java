package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** A target that starts whatever it is told to, as the platform's protocol has it. */
final class FakeTarget {
    static final long LEASE_MOST_MS = 1_000;
    private static final int STOP_MS = 30;

    /** How long a room that has shrunk counts: the platform's window and a heartbeat, in ms. */
    private static final long ROOM_COUNTS_MS = 5_500;

    private static final class Running {
        private final int mRun;
        private final long mEndsMs;
        private final EndCause mCause;

        private Running(int run, long endsMs, EndCause cause) {
            mRun = run;
            mEndsMs = endsMs;
            mCause = cause;
        }
    }

    private static final class Waiting {
        private final long mUntilMs;
        private final Consumer<CellEvent> mReply;
        private final long mCall;

        private Waiting(long untilMs, long call, Consumer<CellEvent> reply) {
            mUntilMs = untilMs;
            mCall = call;
            mReply = reply;
        }
    }

    /** An earlier room, and until when it counts beside the present one. */
    private record EarlierRoom(int cpuMillis, long countsUntilMs) {}

    private TargetInfo mInfo;
    private final List<EarlierRoom> mEarlierRooms = new ArrayList<>();
    private final double mClockRate;
    private final int mTaskCpu;
    private final InvariantChecker mOracle;
    private final Map<TaskName, Running> mRunning = new HashMap<>();
    private final Map<TaskName, Integer> mSeenRuns = new HashMap<>();
    private final List<TargetReport.EndedRow> mEnded = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private long mFence;
    private long mLeaseMs;
    private long mNextEnd = 1;
    private long mNowMs;
    private boolean mAlive = true;

    FakeTarget(TargetInfo info, double clockRate, int taskCpu, InvariantChecker oracle) {
        mInfo = info;
        mClockRate = clockRate;
        mTaskCpu = taskCpu;
        mOracle = oracle;
    }

    /** A target for two tasks whose clock is up to 1.5% slow. */
    static FakeTarget drawn(
            String id,
            String address,
            String domain,
            SplittableRandom random,
            int taskCpu,
            InvariantChecker oracle) {
        int room = 2 * taskCpu;
        TargetInfo info =
                new TargetInfo(
                        id, address, "service", domain, room, 100, 0, Set.of(), false, false);
        double rate = 0.985 + random.nextDouble() * 0.015;
        return new FakeTarget(info, rate, taskCpu, oracle);
    }

    TargetInfo info() {
        return mInfo;
    }

    boolean alive() {
        return mAlive;
    }

    /** Its room changes; a larger one of before counts for a while. */
    void resize(int cpuMillis, long nowMs) {
        mEarlierRooms.add(new EarlierRoom(mInfo.cpuMillis(), nowMs + ROOM_COUNTS_MS));
        mInfo =
                new TargetInfo(
                        mInfo.id(),
                        mInfo.address(),
                        mInfo.service(),
                        mInfo.failureDomain(),
                        cpuMillis,
                        mInfo.memoryMb(),
                        mInfo.accelerators(),
                        mInfo.labels(),
                        mInfo.guarded(),
                        mInfo.draining());
    }

    private int roomThatCounts() {
        int room = mInfo.cpuMillis();
        for (EarlierRoom earlier : mEarlierRooms) {
            if (mNowMs <= earlier.countsUntilMs()) {
                room = Math.max(room, earlier.cpuMillis());
            }
        }
        return room;
    }

    private long clock() {
        return (long) (mNowMs * mClockRate) + 50_000;
    }

    void crash() {
        mAlive = false;
        mRunning.keySet().forEach(task -> mOracle.ended(task, mInfo.id(), EndCause.LAPSED));
        mRunning.clear();
        mWaiting.clear();
    }

    void extend(CellAction.ExtendLease order, Consumer<CellEvent> reply) {
        if (order.fence() < mFence) {
            reply.accept(new CellEvent.LeaseFailed(mInfo.id(), order.call(), OrderResult.FENCED));
            return;
        }
        mFence = order.fence();
        extendTo(order.untilMs());
        mEnded.removeIf(row -> row.number() <= order.acknowledged());
        mWaiting.add(new Waiting(mNowMs + order.waitMs(), order.call(), reply));
        answerWaiting();
    }

    private void extendTo(long untilMs) {
        mLeaseMs = Math.max(mLeaseMs, Math.min(untilMs, clock() + LEASE_MOST_MS));
    }

    void start(CellAction.StartRun order, long takesMs, boolean fails, Consumer<CellEvent> reply) {
        reply.accept(
                new CellEvent.StartAnswered(
                        mInfo.id(),
                        order.task(),
                        order.run(),
                        order.fence(),
                        result(order, takesMs, fails)));
    }

    private OrderResult result(CellAction.StartRun order, long takesMs, boolean fails) {
        if (order.fence() < mFence) {
            return OrderResult.FENCED;
        }
        mFence = order.fence();
        if (order.untilMs() <= clock()) {
            return OrderResult.NOT_RUN;
        }
        extendTo(order.untilMs());
        Running running = mRunning.get(order.task());
        if (running != null && running.mRun == order.run()) {
            return OrderResult.DONE;
        }
        if (order.run() <= mSeenRuns.getOrDefault(order.task(), 0)) {
            return OrderResult.OLD_RUN;
        }
        mSeenRuns.put(order.task(), order.run());
        EndCause cause = fails ? EndCause.FAILED : EndCause.DONE;
        mRunning.put(order.task(), new Running(order.run(), mNowMs + takesMs, cause));
        mOracle.started(order.task(), mInfo.id(), mRunning.size() * mTaskCpu, roomThatCounts());
        return OrderResult.DONE;
    }

    void stop(CellAction.StopRun order, Consumer<CellEvent> reply) {
        boolean taken = order.fence() >= mFence;
        if (taken) {
            mFence = order.fence();
            mSeenRuns.merge(order.task(), order.run(), Math::max);
            Running running = mRunning.get(order.task());
            if (running != null && running.mRun == order.run()) {
                mRunning.put(
                        order.task(), new Running(order.run(), mNowMs + STOP_MS, EndCause.STOPPED));
            }
        }
        reply.accept(new CellEvent.StopAnswered(mInfo.id(), order.task(), order.run(), taken));
    }

    /** Moves its time on: ends what is over, lets the lease lapse, answers waiting calls. */
    void at(long nowMs) {
        mNowMs = nowMs;
        boolean lapsed = clock() >= mLeaseMs;
        for (TaskName task : List.copyOf(mRunning.keySet())) {
            Running running = mRunning.get(task);
            if (lapsed || nowMs >= running.mEndsMs) {
                end(task, running, lapsed ? EndCause.LAPSED : running.mCause);
            }
        }
        answerWaiting();
    }

    private void end(TaskName task, Running running, EndCause cause) {
        mRunning.remove(task);
        mEnded.add(new TargetReport.EndedRow(mNextEnd++, task, running.mRun, cause));
        mOracle.ended(task, mInfo.id(), cause);
    }

    private void answerWaiting() {
        for (Waiting waiting : List.copyOf(mWaiting)) {
            if (!mEnded.isEmpty() || mNowMs >= waiting.mUntilMs) {
                mWaiting.remove(waiting);
                waiting.mReply.accept(
                        new CellEvent.LeaseExtended(mInfo.id(), waiting.mCall, report()));
            }
        }
    }

    private TargetReport report() {
        List<TargetReport.RunningRow> rows = new ArrayList<>();
        mRunning.forEach((task, run) -> rows.add(new TargetReport.RunningRow(task, run.mRun, 50)));
        return new TargetReport(clock(), rows, List.copyOf(mEnded));
    }
}
