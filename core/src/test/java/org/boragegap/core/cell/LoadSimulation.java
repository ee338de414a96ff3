package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.boragegap.core.ClockReading;

/**
 * Simulates a controller under a load of jobs, with targets that accept every start. The kinds,
 * widths, run times and objectives of the jobs are those of the smaller deployment: 32 targets that
 * hold two or three tasks each; estimates are off by up to 40%.
 */
final class LoadSimulation {
    private static final int TASK_CPU = 27_000;

    /** Jobs arrive from this time on, in ms; the targets report before it. */
    static final long ARRIVALS_START_MS = 1_000;

    /** Time for the targets to finish after the last job has arrived, in ms. */
    private static final long COMPLETION_WINDOW_MS = 5_000;

    private static final long TICK_MS = 10;

    /** How long a caller waits, in ms. */
    private static final long BUDGET_MS = 1_500;

    private static final long STEP_MS = 2;

    /** Timeout of an order, in ms; the time that the target may hold its answer back is added. */
    private static final long ANSWER_TIMEOUT_MS = 250;

    /** Delay of a target's answer, in ms. */
    private static final long ANSWER_DELAY_MS = 1;

    /** A lost order is carried out two to twelve seconds after it was sent. */
    private static final long MIN_LATE_MS = 2_000;

    private static final long LATE_RANGE_MS = 10_000;

    /** How long a stop takes, in ms. */
    private static final long STOP_MS = 30;

    /** Share of orders that get no answer and are carried out seconds later, within a period. */
    record LostOrders(double share, long fromMs, long untilMs) {
        static LostOrders none() {
            return new LostOrders(0, 0, 0);
        }
    }

    /**
     * A queue.
     *
     * @param name its name
     * @param urgency its priority, 0 first
     * @param rate its jobs per second, or its share of all jobs
     * @param width mean number of tasks of a job
     * @param workMs mean run time of a task at speed 1, in ms
     * @param value worth of a job
     */
    record Kind(String name, int urgency, double rate, int width, long workMs, double value) {
        static final Kind WIDE = new Kind("WIDE", 0, 0.245, 8, 60, 0.0291);
        static final Kind LONG = new Kind("LONG", 0, 0.044, 4, 900, 0.16);
        static final Kind NARROW = new Kind("NARROW", 0, 0.711, 2, 200, 0.01);

        static Kind draw(double fraction) {
            if (fraction < WIDE.rate) {
                return WIDE;
            }
            return fraction < WIDE.rate + LONG.rate ? LONG : NARROW;
        }
    }

    /**
     * The targets of a cell; every third one has the large capacity.
     *
     * @param targets number of targets
     * @param taskCpu demand of a task, in thousandths of a core
     * @param cpu capacity of most targets
     * @param largeCpu capacity of the others
     * @param speeds speeds of the targets, dealt in turn
     */
    record Site(int targets, int taskCpu, int cpu, int largeCpu, double... speeds) {
        static final Site SMALL = new Site(32, TASK_CPU, 64_000, 96_000, 0.8, 1.0, 1.25);

        double speed(int number) {
            return speeds[number % speeds.length];
        }

        TargetInfo info(int number, boolean draining) {
            String id = "t" + number;
            int capacity = number % 3 == 2 ? largeCpu : cpu;
            return new TargetInfo(
                    id, id, "service", "domain", capacity, 1_000, 0, Set.of(), false, draining);
        }
    }

    /** A job: its arrival time, its kind, and the true run time of its tasks. */
    record Arrival(long atMs, int number, Kind kind, int width, long workMs) {
        long objectiveMs() {
            return Math.round(1.6 * workMs) + 60;
        }

        String id() {
            return String.format("%016x", number);
        }

        long totalWorkMs() {
            return width * workMs;
        }

        Arrival withNumber(int newNumber) {
            return new Arrival(atMs, newNumber, kind, width, workMs);
        }
    }

    /** Generates jobs that arrive at random over {@code lengthMs}, from a seed. */
    static List<Arrival> arrivals(long seed, double jobsPerS, long lengthMs) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double atMs = 0;
        while (atMs < lengthMs) {
            atMs += -Math.log(1 - random.nextDouble()) * 1_000 / jobsPerS;
            Kind kind = Kind.draw(random.nextDouble());
            int width = Math.max(1, (int) Math.round(kind.width() * randomFactor(random)));
            long workMs = Math.max(10, Math.round(kind.workMs() * randomFactor(random)));
            arrivals.add(new Arrival((long) atMs, arrivals.size(), kind, width, workMs));
        }
        return arrivals;
    }

    static double randomFactor(SplittableRandom random) {
        return 0.4 + 1.2 * random.nextDouble();
    }

    /** Total value of the answered jobs, and the value of those answered in time, by kind. */
    static final class Score {
        private record Answered(Arrival arrival, boolean inTime) {}

        private final Map<String, List<Answered>> mByKind = new TreeMap<>();

        void add(Arrival arrival, boolean inTime) {
            mByKind.computeIfAbsent(arrival.kind().name(), name -> new ArrayList<>())
                    .add(new Answered(arrival, inTime));
        }

        /** Share of the total value that was answered in time. */
        double inTimeShare() {
            double total = 0;
            double inTime = 0;
            for (List<Answered> kind : mByKind.values()) {
                double value = kind.get(0).arrival().kind().value();
                total += value * kind.size();
                inTime += value * kind.size() * share(kind);
            }
            return inTime / total;
        }

        /** The smallest such share of any kind. */
        double worstInTimeShare() {
            return mByKind.values().stream().mapToDouble(Score::share).min().orElse(1);
        }

        /** Share of the jobs of this kind that were answered in time. */
        double inTimeShare(Kind kind) {
            return share(mByKind.get(kind.name()));
        }

        /** The same for the tenth of its jobs with the most work. */
        double largestInTimeShare(Kind kind) {
            List<Answered> all = new ArrayList<>(mByKind.get(kind.name()));
            all.sort(Comparator.comparingLong(one -> -one.arrival().totalWorkMs()));
            return share(all.subList(0, Math.max(1, all.size() / 10)));
        }

        private static double share(List<Answered> answered) {
            return (double) answered.stream().filter(Answered::inTime).count() / answered.size();
        }
    }

    private record ScheduledAction(long atMs, Runnable action) {}

    private final CellController mController;
    private final Site mSite;
    private final PriorityQueue<ScheduledAction> mSchedule =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledAction::atMs));
    private final List<FakeTarget> mTargets = new ArrayList<>();
    private final InvariantChecker mInvariants = new InvariantChecker();
    private final Score mScore = new Score();
    private final List<Arrival> mArrivals;
    private final long mLengthMs;
    private final LostOrders mLostOrders;
    private final SplittableRandom mRandom = new SplittableRandom(1);
    private long mNowMs;
    private int mLeaseCalls;

    LoadSimulation(List<Arrival> arrivals, long lengthMs, LostOrders lostOrders) {
        this(Site.SMALL, new CellSettings(1_000, 2), arrivals, lengthMs, lostOrders);
    }

    LoadSimulation(
            Site site,
            CellSettings settings,
            List<Arrival> arrivals,
            long lengthMs,
            LostOrders lostOrders) {
        mSite = site;
        mController = CellController.create(settings);
        mArrivals = arrivals;
        mLengthMs = lengthMs;
        mLostOrders = lostOrders;
        List<TargetInfo> infos = new ArrayList<>();
        for (int i = 0; i < site.targets(); i++) {
            TargetInfo info = site.info(i, false);
            infos.add(info);
            mTargets.add(new FakeTarget(info, 1.0, site.taskCpu(), mInvariants));
        }
        deliver(new CellEvent.DomainsEvacuated(Set.of()));
        deliver(new CellEvent.TermBegan(1, Optional.empty()));
        deliver(new CellEvent.TargetsListed(infos));
        deliver(new CellEvent.PredecessorsKnown());
        tick();
    }

    /** Every n-th target drains from {@code atMs} after the first arrival on. */
    void drainTargets(int every, long atMs) {
        List<TargetInfo> infos = new ArrayList<>();
        for (int i = 0; i < mSite.targets(); i++) {
            infos.add(mSite.info(i, i % every == 0));
        }
        CellEvent listed = new CellEvent.TargetsListed(infos);
        mSchedule.add(new ScheduledAction(ARRIVALS_START_MS + atMs, () -> deliver(listed)));
    }

    private void tick() {
        deliver(new CellEvent.Ticked());
        mSchedule.add(new ScheduledAction(mNowMs + TICK_MS, this::tick));
    }

    /** Simulates all arrivals. */
    Score simulate() {
        long endMs = ARRIVALS_START_MS + mLengthMs + COMPLETION_WINDOW_MS;
        for (long at = 5; at < endMs; at += STEP_MS) {
            mSchedule.add(
                    new ScheduledAction(
                            at, () -> mTargets.forEach(target -> target.advanceTo(mNowMs))));
        }
        for (Arrival arrival : mArrivals) {
            mSchedule.add(
                    new ScheduledAction(ARRIVALS_START_MS + arrival.atMs(), () -> offer(arrival)));
        }
        while (!mSchedule.isEmpty() && mSchedule.peek().atMs() < endMs) {
            ScheduledAction next = mSchedule.poll();
            mNowMs = next.atMs();
            next.action().run();
        }
        return mScore;
    }

    private void offer(Arrival arrival) {
        long estimateMs = Math.round(arrival.workMs() * (0.6 + 0.1 * (arrival.number() % 9)));
        StepRequest step = StepRequest.cpuOnly(arrival.width(), mSite.taskCpu(), estimateMs);
        JobRequest request =
                new JobRequest(
                        arrival.id(),
                        arrival.kind().name(),
                        "service",
                        arrival.kind().urgency(),
                        3,
                        1.6,
                        60,
                        "",
                        List.of(step),
                        1);
        deliver(new CellEvent.Offered("vm", request, 0, BUDGET_MS, 1, 1));
    }

    private void deliver(CellEvent event) {
        List<CellAction> actions = new ArrayList<>();
        mController.on(event, new ClockReading(mNowMs, mNowMs), actions);
        actions.forEach(this::run);
    }

    private void run(CellAction action) {
        if (action instanceof CellAction.Answer answer) {
            answered(answer);
        } else if (isOrder(action)) {
            sendOrder(action);
        }
    }

    private static boolean isOrder(CellAction action) {
        return action instanceof CellAction.ExtendLease
                || action instanceof CellAction.StartRun
                || action instanceof CellAction.StopRun;
    }

    private void answered(CellAction.Answer answer) {
        Arrival arrival = mArrivals.get(Integer.parseInt(answer.job(), 16));
        long tookMs = mNowMs - ARRIVALS_START_MS - arrival.atMs();
        boolean done = answer.verdict() instanceof Verdict.Completed;
        mScore.add(arrival, done && tookMs <= arrival.objectiveMs());
    }

    private void sendOrder(CellAction order) {
        boolean losesOrders = mNowMs >= mLostOrders.fromMs() && mNowMs < mLostOrders.untilMs();
        if (losesOrders && mRandom.nextDouble() < mLostOrders.share()) {
            long lateMs = MIN_LATE_MS + mRandom.nextLong(LATE_RANGE_MS);
            mSchedule.add(new ScheduledAction(mNowMs + lateMs, () -> execute(order, event -> {})));
            long givenUpMs = mNowMs + ANSWER_TIMEOUT_MS + Orders.waitMs(order);
            mSchedule.add(new ScheduledAction(givenUpMs, () -> deliver(Orders.unanswered(order))));
            return;
        }
        execute(order, this::deliverLater);
    }

    private void execute(CellAction action, Consumer<CellEvent> reply) {
        FakeTarget target = target(Orders.target(action));
        if (action instanceof CellAction.ExtendLease order) {
            mLeaseCalls++;
            target.extend(order, reply);
        } else if (action instanceof CellAction.StartRun order) {
            target.start(order, runTimeMs(order), false, reply);
        } else if (action instanceof CellAction.StopRun order) {
            target.stop(order, STOP_MS, reply);
        }
    }

    private long runTimeMs(CellAction.StartRun order) {
        Arrival arrival = mArrivals.get(Integer.parseInt(order.task().job(), 16));
        int number = Integer.parseInt(order.target().id().substring(1));
        return Math.round(arrival.workMs() / mSite.speed(number));
    }

    private void deliverLater(CellEvent event) {
        mSchedule.add(new ScheduledAction(mNowMs + ANSWER_DELAY_MS, () -> deliver(event)));
    }

    private FakeTarget target(TargetInfo info) {
        return mTargets.get(Integer.parseInt(info.id().substring(1)));
    }

    /** Lease calls per second and target over the whole simulation. */
    double leaseCallsPerTarget() {
        long durationMs = ARRIVALS_START_MS + mLengthMs + COMPLETION_WINDOW_MS;
        return 1_000.0 * mLeaseCalls / durationMs / mTargets.size();
    }

    /** Invariant violations seen by targets and callers. */
    List<String> violations() {
        return mInvariants.violations();
    }
}
