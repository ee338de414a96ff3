package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragegap.core.HistoryTrace;

/**
 * The platform in a simulation: the store's lists of targets and of evacuated domains, and the
 * targets themselves.
 */
final class FakePlatform {
    static final int TASK_CPU = 1_000;
    private static final int TARGETS = 5;
    private static final int DOMAINS = 2;
    private static final int MAX_TASKS_PER_TARGET = 4;
    private static final int UNLISTED_PERCENT = 40;
    private static final long STEP_MS = 5;

    /** After this time, in ms, a crashed target is back at the same address with another id. */
    private static final long RESTART_DELAY_MS = 500;

    private static final long MIN_MASS_RESTART_DELAY_MS = 300;
    private static final long MAX_MASS_RESTART_DELAY_MS = 1_200;

    /** A crashed target's entry in the store's list expires after three intervals of silence. */
    private static final long MAX_EXPIRY_MS = 4_500;

    /** A target writes its entry once in this time. */
    private static final long ENTRY_INTERVAL_MS = 1_500;

    /** The entry of a target that has crashed, and until when the store lists it. */
    private record OldEntry(TargetInfo info, long listedUntilMs) {}

    private static final long MIN_DRAIN_MS = 2_000;
    private static final long MAX_DRAIN_MS = 8_000;

    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;
    private final InvariantChecker mOracle;
    private final HistoryTrace mTrace;
    private final Map<String, FakeTarget> mTargets = new HashMap<>();
    private final Set<String> mUnlisted = new HashSet<>();
    private final Map<String, OldEntry> mOldEntries = new HashMap<>();
    private final Set<String> mEvacuated = new HashSet<>();
    private boolean mStatesIncarnations;
    private int mNextTarget = 1;

    FakePlatform(
            SimulatedClock clock,
            SplittableRandom random,
            InvariantChecker oracle,
            HistoryTrace trace) {
        this(clock, random, oracle, TARGETS, trace);
    }

    FakePlatform(
            SimulatedClock clock,
            SplittableRandom random,
            InvariantChecker oracle,
            int targets,
            HistoryTrace trace) {
        mClock = clock;
        mRandom = random;
        mOracle = oracle;
        mTrace = trace;
        for (int i = 0; i < targets; i++) {
            addTarget("address" + i, domain(i));
        }
    }

    private static String domain(int number) {
        return "domain" + number % DOMAINS;
    }

    private void addTarget(String address, String domain) {
        String id = "t" + mNextTarget++;
        FakeTarget target =
                FakeTarget.createRandom(id, address, domain, mRandom, TASK_CPU, mOracle);
        mTargets.put(id, target);
        if (mStatesIncarnations) {
            target.stateIncarnation();
        }
    }

    /** Starts advancing the targets' time periodically. */
    void begin() {
        mTargets.values().forEach(target -> target.advanceTo(mClock.nowMs()));
        mClock.after(STEP_MS, this::begin);
    }

    FakeTarget target(String id) {
        return mTargets.get(id);
    }

    /** The addresses of all targets. */
    List<String> addresses() {
        return ids().stream().map(id -> mTargets.get(id).info().address()).toList();
    }

    private List<String> ids() {
        return mTargets.keySet().stream().sorted().toList();
    }

    /** The ids of about half of the targets, chosen at random. */
    List<String> randomTargets() {
        return ids().stream().filter(id -> mRandom.nextBoolean()).toList();
    }

    /** The targets that the store lists: not all that are alive, and some that have crashed. */
    List<TargetInfo> listedTargets() {
        List<TargetInfo> infos = new ArrayList<>();
        for (FakeTarget target : mTargets.values()) {
            if (!mUnlisted.contains(target.info().id())) {
                entry(target).ifPresent(infos::add);
            }
        }
        return infos;
    }

    private Optional<TargetInfo> entry(FakeTarget target) {
        OldEntry old = mOldEntries.get(target.info().id());
        if (old != null && mClock.nowMs() < old.listedUntilMs()) {
            return Optional.of(old.info());
        }
        return target.alive() ? Optional.of(target.info()) : Optional.empty();
    }

    private void keepEntry(TargetInfo info) {
        long untilMs = mClock.nowMs() + mRandom.nextLong(MAX_EXPIRY_MS);
        mOldEntries.put(info.id(), new OldEntry(info, untilMs));
    }

    /** The next incarnation replaces the entry with its first regular write, if not earlier. */
    private void replaceEntry(String id) {
        long writtenMs = mClock.nowMs() + mRandom.nextLong(ENTRY_INTERVAL_MS);
        mOldEntries.computeIfPresent(
                id,
                (key, old) -> new OldEntry(old.info(), Math.min(old.listedUntilMs(), writtenMs)));
    }

    /** Failure domains that operators are evacuating. */
    Set<String> evacuatedDomains() {
        return Set.copyOf(mEvacuated);
    }

    /** Crashes a random target or drains it; it comes back as another incarnation. */
    void crashOne() {
        List<String> ids = ids();
        FakeTarget target = mTargets.get(ids.get(mRandom.nextInt(ids.size())));
        if (mRandom.nextBoolean()) {
            crash(target, RESTART_DELAY_MS);
        } else {
            drain(target);
        }
    }

    private void drain(FakeTarget target) {
        if (target.alive() && !target.info().draining()) {
            target.drain();
            mOracle.draining(target.info().id());
            mTrace.record(mClock.nowMs(), target.info().id(), "draining");
            long leavesAfterMs = MIN_DRAIN_MS + mRandom.nextLong(MAX_DRAIN_MS - MIN_DRAIN_MS);
            mClock.after(leavesAfterMs, () -> leave(target, target.info().incarnation()));
        }
    }

    /** Ends a drained target; what runs there is terminated, and its entry is removed. */
    private void leave(FakeTarget target, long incarnation) {
        if (target.info().incarnation() == incarnation) {
            crash(target, RESTART_DELAY_MS);
            mOldEntries.remove(target.info().id());
        }
    }

    /**
     * Crashes some targets at the same time; each comes back as another incarnation after a delay
     * of its own.
     */
    private void crashSome() {
        long span = MAX_MASS_RESTART_DELAY_MS - MIN_MASS_RESTART_DELAY_MS + 1;
        for (String id : randomTargets()) {
            crash(mTargets.get(id), MIN_MASS_RESTART_DELAY_MS + mRandom.nextLong(span));
        }
    }

    private void crash(FakeTarget target, long backAfterMs) {
        if (target.alive()) {
            crash(target);
            TargetInfo info = target.info();
            mClock.after(backAfterMs, () -> addTarget(info.address(), info.failureDomain()));
        }
    }

    private void crash(FakeTarget target) {
        target.crash();
        keepEntry(target.info());
        mTrace.record(mClock.nowMs(), target.info().id(), "crashed");
    }

    /** Targets state their incarnation, and some restart under the same id. */
    void scheduleRestarts(long fromMs, long untilMs) {
        mStatesIncarnations = true;
        mTargets.values().forEach(FakeTarget::stateIncarnation);
        schedule(3 + mRandom.nextInt(6), fromMs, untilMs, this::restartOne);
    }

    /** Several targets crash at once, repeatedly. */
    void scheduleMassCrashes(long fromMs, long untilMs) {
        schedule(2 + mRandom.nextInt(3), fromMs, untilMs, this::crashSome);
    }

    private void schedule(int times, long fromMs, long untilMs, Runnable fault) {
        for (int i = 0; i < times; i++) {
            mClock.after(fromMs + mRandom.nextLong(untilMs - fromMs), fault);
        }
    }

    /** Crashes a random target, which comes back under the same id. */
    private void restartOne() {
        List<String> ids = ids();
        FakeTarget target = mTargets.get(ids.get(mRandom.nextInt(ids.size())));
        if (target.alive()) {
            crash(target);
            long backAfterMs = mRandom.nextLong(MAX_MASS_RESTART_DELAY_MS);
            mClock.after(backAfterMs, () -> restart(target));
        }
    }

    private void restart(FakeTarget target) {
        replaceEntry(target.info().id());
        target.restart(mClock.nowMs());
        mTrace.record(mClock.nowMs(), target.info().id(), "restarted as " + target.info());
    }

    /** True when a target is alive at the address, whatever its id. */
    boolean isTargetAliveAt(String address) {
        return mTargets.values().stream()
                .anyMatch(target -> target.alive() && target.info().address().equals(address));
    }

    void unlistSome(long forMs) {
        List<String> some =
                ids().stream().filter(id -> mRandom.nextInt(100) < UNLISTED_PERCENT).toList();
        mUnlisted.addAll(some);
        mClock.after(forMs, () -> mUnlisted.removeAll(some));
    }

    /** Shrinks or grows the capacity of some targets while tasks run there. */
    void resizeSome() {
        for (String id : randomTargets()) {
            int tasks = 1 + mRandom.nextInt(MAX_TASKS_PER_TARGET);
            mTargets.get(id).resize(tasks * TASK_CPU, mClock.nowMs());
        }
    }

    /** Evacuates a random domain, and cancels the evacuation after the given time. */
    void evacuateOne(long forMs) {
        String domain = domain(mRandom.nextInt(DOMAINS));
        if (!mEvacuated.add(domain)) {
            return;
        }
        mOracle.evacuated(domain);
        mClock.after(
                forMs,
                () -> {
                    mEvacuated.remove(domain);
                    mOracle.evacuationCancelled(domain);
                });
    }
}
