package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Test;

/**
 * Registration opens: for 20 s jobs come at one and a half times what the targets can do. Three
 * kinds share them: many narrow jobs of 200 ms, wide ones of 60 ms with little time to spare, few
 * long ones of 900 ms. Without refusal the queue grows, each job waits for all before it, and in
 * the end nothing is in time. Widths, run times, rates and objectives are those of the smaller
 * deployment: 32 targets that hold two or three tasks each; estimates are off by 40%.
 */
final class OverloadTest {
    private static final double JOBS_PER_S = 151;
    private static final long LENGTH_MS = 20_000;
    private static final int TASK_CPU = 27_000;
    private static final double[] SPEEDS = {0.8, 1.0, 1.25};

    private enum Kind {
        WIDE(0.245, 8, 60, 0.0291),
        LONG(0.044, 4, 900, 0.16),
        NARROW(0.711, 2, 200, 0.01);

        private final double mShare;
        private final int mWidth;
        private final long mWorkMs;
        private final double mWorth;

        Kind(double share, int width, long workMs, double worth) {
            mShare = share;
            mWidth = width;
            mWorkMs = workMs;
            mWorth = worth;
        }

        static Kind draw(double at) {
            if (at < WIDE.mShare) {
                return WIDE;
            }
            return at < WIDE.mShare + LONG.mShare ? LONG : NARROW;
        }
    }

    /** One job: when it comes, its kind, the true run time of its tasks and its objective. */
    private record Arrival(long atMs, int number, Kind kind, int width, long workMs) {
        long objectiveMs() {
            return Math.round(1.6 * workMs) + 60;
        }

        String id() {
            return String.format("%016x", number);
        }
    }

    private static List<Arrival> arrivals(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double atMs = 0;
        while (atMs < LENGTH_MS) {
            atMs += -Math.log(1 - random.nextDouble()) * 1_000 / JOBS_PER_S;
            Kind kind = Kind.draw(random.nextDouble());
            int width = Math.max(1, (int) Math.round(kind.mWidth * spread(random)));
            long workMs = Math.max(10, Math.round(kind.mWorkMs * spread(random)));
            arrivals.add(new Arrival((long) atMs, arrivals.size(), kind, width, workMs));
        }
        return arrivals;
    }

    private static double spread(SplittableRandom random) {
        return 0.4 + 1.2 * random.nextDouble();
    }

    private static final class Score {
        private final double[] mOwed = new double[Kind.values().length];
        private final double[] mInTime = new double[Kind.values().length];

        void add(Arrival arrival, boolean inTime) {
            mOwed[arrival.kind().ordinal()] += arrival.kind().mWorth;
            mInTime[arrival.kind().ordinal()] += inTime ? arrival.kind().mWorth : 0;
        }

        double all() {
            double owed = 0;
            double inTime = 0;
            for (Kind kind : Kind.values()) {
                owed += mOwed[kind.ordinal()];
                inTime += mInTime[kind.ordinal()];
            }
            return inTime / owed;
        }

        double worstKind() {
            double worst = 1;
            for (Kind kind : Kind.values()) {
                worst = Math.min(worst, mInTime[kind.ordinal()] / mOwed[kind.ordinal()]);
            }
            return worst;
        }
    }

    /** The controller with targets that answer at once. */
    private static final class World {
        private record Due(long atMs, Runnable action) {}

        private final CellController mController =
                CellController.create(new CellSettings(1_000, 2));
        private final PriorityQueue<Due> mDue =
                new PriorityQueue<>(Comparator.comparingLong(Due::atMs));
        private final List<FakeTarget> mTargets = new ArrayList<>();
        private final CellOracle mOracle = new CellOracle();
        private final Score mScore = new Score();
        private final List<Arrival> mArrivals;
        private long mNowMs;

        World(List<Arrival> arrivals) {
            mArrivals = arrivals;
            List<TargetInfo> infos = new ArrayList<>();
            for (int i = 0; i < 32; i++) {
                int cpu = i % 3 == 2 ? 96_000 : 64_000;
                TargetInfo info =
                        new TargetInfo(
                                "t" + i, "t" + i, "service", "domain", cpu, 1_000, 0, Set.of(),
                                false, false);
                infos.add(info);
                mTargets.add(new FakeTarget(info, 1.0, TASK_CPU, mOracle));
            }
            feed(new CellEvent.TermBegan(1, Optional.empty()));
            feed(new CellEvent.TargetsListed(infos));
            feed(new CellEvent.PredecessorsKnown(true));
            tick();
        }

        private void tick() {
            feed(new CellEvent.Ticked());
            mDue.add(new Due(mNowMs + 25, this::tick));
        }

        Score play() {
            for (long at = 5; at < LENGTH_MS + 5_000; at += 2) {
                mDue.add(new Due(at, () -> mTargets.forEach(target -> target.at(mNowMs))));
            }
            for (Arrival arrival : mArrivals) {
                mDue.add(new Due(1_000 + arrival.atMs(), () -> offer(arrival)));
            }
            while (!mDue.isEmpty() && mDue.peek().atMs() < LENGTH_MS + 5_000) {
                Due due = mDue.poll();
                mNowMs = due.atMs();
                due.action().run();
            }
            return mScore;
        }

        private void offer(Arrival arrival) {
            long estimateMs = Math.round(arrival.workMs() * (0.6 + 0.1 * (arrival.number() % 9)));
            StepRequest step = StepRequest.plain(arrival.width(), TASK_CPU, estimateMs);
            JobRequest request =
                    new JobRequest(
                            arrival.id(),
                            arrival.kind().name(),
                            "service",
                            0,
                            3,
                            1.6,
                            60,
                            "",
                            List.of(step),
                            1);
            feed(new CellEvent.Offered("vm", request, 0, 1, 1));
        }

        private void feed(CellEvent event) {
            List<CellAction> actions = new ArrayList<>();
            mController.on(event, new ClockReading(mNowMs, mNowMs), actions);
            actions.forEach(this::run);
        }

        private void run(CellAction action) {
            if (action instanceof CellAction.ExtendLease order) {
                target(order.target()).extend(order, this::feedLater);
            } else if (action instanceof CellAction.StartRun order) {
                FakeTarget target = target(order.target());
                target.start(order, takesMs(order), false, this::feedLater);
            } else if (action instanceof CellAction.StopRun order) {
                target(order.target()).stop(order, this::feedLater);
            } else if (action instanceof CellAction.Answer answer) {
                Arrival arrival = mArrivals.get(Integer.parseInt(answer.job(), 16));
                long tookMs = mNowMs - 1_000 - arrival.atMs();
                boolean done = answer.verdict() instanceof Verdict.Completed;
                mScore.add(arrival, done && tookMs <= arrival.objectiveMs());
            }
        }

        private long takesMs(CellAction.StartRun order) {
            Arrival arrival = mArrivals.get(Integer.parseInt(order.task().job(), 16));
            int number = Integer.parseInt(order.target().id().substring(1));
            return Math.round(arrival.workMs() / SPEEDS[number % SPEEDS.length]);
        }

        private void feedLater(CellEvent event) {
            mDue.add(new Due(mNowMs, () -> feed(event)));
        }

        private FakeTarget target(TargetInfo info) {
            return mTargets.get(Integer.parseInt(info.id().substring(1)));
        }
    }

    /** The same arrivals on the same slots, first come first served, without refusal. */
    private static Score firstComeFirstServed(List<Arrival> arrivals) {
        PriorityQueue<double[]> slots = new PriorityQueue<>(Comparator.comparingDouble(s -> s[0]));
        for (int i = 0; i < 32; i++) {
            for (int slot = 0; slot < (i % 3 == 2 ? 3 : 2); slot++) {
                slots.add(new double[] {0, SPEEDS[i % 3]});
            }
        }
        Score score = new Score();
        Deque<Arrival> queue = new ArrayDeque<>(arrivals);
        while (!queue.isEmpty()) {
            Arrival arrival = queue.poll();
            double endMs = 0;
            for (int task = 0; task < arrival.width(); task++) {
                double[] slot = slots.poll();
                slot[0] = Math.max(slot[0], arrival.atMs()) + arrival.workMs() / slot[1];
                endMs = Math.max(endMs, slot[0]);
                slots.add(slot);
            }
            score.add(arrival, endMs - arrival.atMs() <= arrival.objectiveMs());
        }
        return score;
    }

    @Test
    void mostIsInTimeAndNoKindStarves() {
        List<Arrival> arrivals = arrivals(7);
        Score baseline = firstComeFirstServed(arrivals);
        World world = new World(arrivals);
        Score score = world.play();
        System.out.printf(
                "overload: in time %.2f, worst kind %.2f; first come first served %.2f, %.2f%n",
                score.all(), score.worstKind(), baseline.all(), baseline.worstKind());
        assertThat(world.mOracle.broken()).isEmpty();
        assertThat(score.all()).isAtLeast(0.8);
        assertThat(score.worstKind()).isAtLeast(0.7);
        assertThat(score.all()).isAtLeast(2 * baseline.all());
    }
}
