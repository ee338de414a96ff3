package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The account of one target: its lease, its clock, what runs there and what room is left.
 *
 * <p>Targets may start whatever they are told to, so the account has to be exact: room counts as
 * taken from the order to start until the target has listed the end, or its lease is surely over.
 */
final class Target {
    /** A target's clock may run this much slower than ours; bound of the platform. */
    static final double MIN_CLOCK_RATE = 0.98;

    /** Weight of a new sample of the speed: about the last ten tasks decide. */
    private static final double SPEED_WEIGHT = 0.1;

    /** A foreign run: its size isn't known until its job is offered. */
    record ForeignRun(TaskName task, int run) {}

    private TargetInfo mInfo;
    private final long mSchedulableFromMs;
    private final Map<TaskName, Run> mRuns = new LinkedHashMap<>();
    private final Map<ForeignRun, Long> mForeignRuns = new HashMap<>();
    private int mUsedCpu;
    private int mUsedMemory;
    private int mUsedAccelerators;
    private boolean mReported;
    private boolean mLost;
    private long mClockMs;
    private long mClockReadMs;
    private long mLeaseEndMs;
    private long mAcknowledged;
    private final LeaseCalls mCalls = new LeaseCalls();
    private final RoundTripEstimator mRoundTrips = new RoundTripEstimator();
    private long mUnlistedSinceMs = -1;
    private double mSpeed = 1.0;
    private int mConsecutiveFailures;
    private long mQuarantinedUntilMs;
    private long mUnreachableUntilMs;

    /**
     * Makes an account.
     *
     * <p>Guards against taking a target's lease for over because this controller has not extended
     * it yet: an earlier one may have done so until just now. Its tasks were started a second time
     * while they ran, when the answer to the first call took longer than its timeout.
     *
     * @param openMs before this time it is given no work
     * @param leaseEndMs until then a lease of an earlier controller may last
     */
    Target(TargetInfo info, long openMs, long leaseEndMs) {
        mInfo = info;
        mSchedulableFromMs = openMs;
        mLeaseEndMs = leaseEndMs;
    }

    TargetInfo info() {
        return mInfo;
    }

    String id() {
        return mInfo.id();
    }

    void updateInfo(TargetInfo info) {
        mInfo = info;
        mUnlistedSinceMs = -1;
    }

    void markUnlisted(long nowMs) {
        if (mUnlistedSinceMs < 0) {
            mUnlistedSinceMs = nowMs;
        }
    }

    boolean unlistedFor(long nowMs, long spanMs) {
        return mUnlistedSinceMs >= 0 && nowMs - mUnlistedSinceMs > spanMs;
    }

    // Runs and room

    Map<TaskName, Run> runs() {
        return mRuns;
    }

    Map<ForeignRun, Long> foreignRuns() {
        return mForeignRuns;
    }

    /** True when something runs on it, or may run. */
    boolean busy() {
        return !mRuns.isEmpty() || !mForeignRuns.isEmpty();
    }

    /** Since when what runs on it was ordered, in ms; what others have ordered counts as long. */
    long busySinceMs() {
        if (!mForeignRuns.isEmpty()) {
            return 0;
        }
        long sinceMs = Long.MAX_VALUE;
        for (Run run : mRuns.values()) {
            sinceMs = Math.min(sinceMs, run.orderedMs());
        }
        return sinceMs;
    }

    Optional<Run> run(TaskName task, int number) {
        Run run = mRuns.get(task);
        return run != null && run.number() == number ? Optional.of(run) : Optional.empty();
    }

    void add(Run run) {
        StepRequest step = run.task().step();
        mRuns.put(run.task().name(), run);
        mUsedCpu += step.cpuMillis();
        mUsedMemory += step.memoryMb();
        mUsedAccelerators += step.accelerators();
    }

    void remove(Run run) {
        StepRequest step = run.task().step();
        if (mRuns.remove(run.task().name(), run)) {
            mUsedCpu -= step.cpuMillis();
            mUsedMemory -= step.memoryMb();
            mUsedAccelerators -= step.accelerators();
        }
    }

    int freeCpu() {
        return mInfo.cpuMillis() - mUsedCpu;
    }

    boolean fits(StepRequest step) {
        return step.cpuMillis() <= mInfo.cpuMillis() - mUsedCpu
                && step.memoryMb() <= mInfo.memoryMb() - mUsedMemory
                && step.accelerators() <= mInfo.accelerators() - mUsedAccelerators;
    }

    long runCount(String job, int step) {
        return mRuns.keySet().stream()
                .filter(name -> name.job().equals(job) && name.step() == step)
                .count();
    }

    /** True when it may be given work. */
    boolean schedulable(long nowMs) {
        return mReported
                && !mLost
                && !mCalls.unresponsive()
                && !mInfo.draining()
                && mForeignRuns.isEmpty()
                && nowMs >= mSchedulableFromMs
                && nowMs >= mUnreachableUntilMs
                && nowMs >= mQuarantinedUntilMs
                && (mQuarantinedUntilMs == 0 || mRuns.isEmpty());
    }

    // Lease and clock

    boolean reported() {
        return mReported;
    }

    /**
     * Takes the clock that came with an answer.
     *
     * @return false when a later answer came before: several calls are under way at a time, and
     *     answers on different connections overtake each other
     */
    boolean updateClock(long clockMs, long nowMs) {
        boolean first = !mReported;
        boolean later = first || clockMs > mClockMs;
        mReported = true;
        mLost = false;
        if (first || clockMs >= mClockMs) {
            mClockMs = clockMs;
            mClockReadMs = nowMs;
        }
        return later;
    }

    /** The target's clock as it may be now, at the most. */
    long clockAt(long nowMs) {
        return mClockMs + (nowMs - mClockReadMs);
    }

    /**
     * Lease end on the target's clock for an order that is sent now: {@code leaseMs} from now, but
     * not after {@code mostMs} on our clock, also if the target's clock is slow.
     */
    long leaseEndOnTargetClock(long nowMs, long leaseMs, long mostMs) {
        long cappedMs = mClockMs + (long) ((mostMs - mClockReadMs) * MIN_CLOCK_RATE);
        return Math.min(clockAt(nowMs) + leaseMs, cappedMs);
    }

    /**
     * Notes that an order with this lease end may reach the target. Its own clock may be slow, so
     * by ours the lease may last that much longer.
     */
    void leaseSent(long untilMs) {
        long endMs = mClockReadMs + (long) Math.ceil((untilMs - mClockMs) / MIN_CLOCK_RATE);
        mLeaseEndMs = Math.max(mLeaseEndMs, endMs);
    }

    /** True when whatever ran on it has lapsed, and orders still under way will be rejected. */
    boolean leaseExpired(long nowMs, long slackMs) {
        return mReported && nowMs > mLeaseEndMs + slackMs;
    }

    boolean lost() {
        return mLost;
    }

    void markLost() {
        mLost = true;
        mForeignRuns.clear();
    }

    long acknowledged() {
        return mAcknowledged;
    }

    void acknowledge(long number) {
        mAcknowledged = Math.max(mAcknowledged, number);
    }

    // Calls

    LeaseCalls calls() {
        return mCalls;
    }

    RoundTripEstimator roundTrips() {
        return mRoundTrips;
    }

    // Health

    double speed() {
        return mSpeed;
    }

    /** Learns from a run that took {@code tookMs} where {@code expectedMs} was expected. */
    void addSpeedSample(double expectedMs, double tookMs) {
        double speed = expectedMs / Math.max(1.0, tookMs);
        mSpeed += SPEED_WEIGHT * (Math.min(4.0, speed) - mSpeed);
    }

    void recordSuccess() {
        mConsecutiveFailures = 0;
        mQuarantinedUntilMs = 0;
    }

    int incrementFailures() {
        return ++mConsecutiveFailures;
    }

    void quarantine(long untilMs) {
        mQuarantinedUntilMs = untilMs;
    }

    /** Nothing could be sent to it; until then it is given no work. */
    void markUnreachable(long untilMs) {
        mUnreachableUntilMs = untilMs;
    }

    boolean quarantined() {
        return mQuarantinedUntilMs > 0;
    }
}
