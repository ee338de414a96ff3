package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.loan.BorrowedTarget;
import org.boragegap.core.speed.MeasuredSpeed;

/**
 * The state of one target: its lease, its clock, its runs and its free capacity.
 *
 * <p>A target may start everything that it is ordered to, so this state has to be exact: capacity
 * counts as used from the order to start until the target has listed the end, or its lease has
 * certainly expired.
 */
final class Target {
    /** Lowest rate of a target's clock relative to ours; a bound of the platform. */
    static final double MIN_CLOCK_RATE = 0.98;

    /** Weight of a new speed sample: about the last ten tasks decide. */
    private static final double SPEED_WEIGHT = 0.1;

    /**
     * A run that this controller does not track; its needs are unknown until its job is offered.
     */
    record ForeignRun(TaskName task, int run) {}

    private TargetInfo mInfo;
    private final long mSchedulableFromMs;
    private final Map<TaskName, Run> mRuns = new LinkedHashMap<>();
    private final Map<ForeignRun, Long> mForeignRuns = new HashMap<>();

    /** Runs whose start was ordered from an earlier incarnation; see {@link UnansweredStarts}. */
    private final Set<Run> mCarriedOver = new HashSet<>();

    private long mUsedCpu;
    private long mUsedMemory;
    private long mUsedAccelerators;
    private boolean mReported;
    private boolean mLost;
    private long mClockMs;
    private long mClockReadMs;
    private long mLeaseEndMs;
    private long mUncappedLeaseEndMs;
    private long mAcknowledged;
    private final LeaseCalls mCalls = new LeaseCalls();
    private final RoundTripEstimator mRoundTrips = new RoundTripEstimator();
    private long mUnlistedSinceMs = -1;
    private double mSpeed = 1.0;
    private final MeasuredSpeed mMeasuredSpeed = MeasuredSpeed.create();
    private int mConsecutiveFailures;
    private long mQuarantinedUntilMs;
    private long mUnreachableUntilMs;
    private Optional<BorrowedTarget> mLoan = Optional.empty();
    private boolean mRunsForOtherCell;
    private long mOtherCellsLeaseEndMs = Long.MIN_VALUE;

    /**
     * Creates the state of a target.
     *
     * <p>Guards against taking a target's lease for expired because this controller has not
     * extended it yet: an earlier controller may have done so until just now. The target's tasks
     * were started a second time while they ran, when the answer to the first call took longer than
     * its timeout.
     *
     * @param schedulableFromMs before this time the target is given no work
     * @param leaseEndMs until when a lease from an earlier controller may last
     */
    Target(TargetInfo info, long schedulableFromMs, long leaseEndMs) {
        mInfo = info;
        mSchedulableFromMs = schedulableFromMs;
        mLeaseEndMs = leaseEndMs;
    }

    TargetInfo info() {
        return mInfo;
    }

    String id() {
        return mInfo.id();
    }

    /** Takes what the platform lists; a list entry of an earlier incarnation is outdated. */
    void updateInfo(TargetInfo info) {
        if (info.incarnation() == 0) {
            mInfo = info.withIncarnation(mInfo.incarnation());
        } else if (info.incarnation() >= mInfo.incarnation()) {
            mInfo = info;
        }
        mUnlistedSinceMs = -1;
    }

    /** Records the number of the incarnation when it becomes known. */
    void identify(long incarnation) {
        if (mInfo.incarnation() == 0 && incarnation != 0) {
            mInfo = mInfo.withIncarnation(incarnation);
        }
    }

    /** True when the target states its incarnation, and so may restart under the same id. */
    boolean mayRestart() {
        return mInfo.incarnation() != 0;
    }

    /** True when the given incarnation is known to be later than this one. */
    boolean isEarlierThan(long incarnation) {
        return mInfo.incarnation() != 0 && incarnation > mInfo.incarnation();
    }

    /** True when the given incarnation is known to be earlier than this one. */
    boolean isLaterThan(long incarnation) {
        return incarnation != 0 && incarnation < mInfo.incarnation();
    }

    /** Records that the list doesn't name the target; that of this cell never names another's. */
    void markUnlisted(long nowMs) {
        if (mUnlistedSinceMs < 0 && mLoan.isEmpty()) {
            mUnlistedSinceMs = nowMs;
        }
    }

    boolean unlisted() {
        return mUnlistedSinceMs >= 0;
    }

    boolean unlistedFor(long nowMs, long spanMs) {
        return mUnlistedSinceMs >= 0 && nowMs - mUnlistedSinceMs > spanMs;
    }

    // Loan

    /** Records that the target belongs to another cell and is borrowed. */
    void borrow(BorrowedTarget loan) {
        mLoan = Optional.of(loan);
    }

    /** The loan of a borrowed target; empty for one of the own cell. */
    Optional<BorrowedTarget> loan() {
        return mLoan;
    }

    /** Fencing token for orders to the target, given that of the term. */
    long fence(long termFence) {
        return mLoan.map(BorrowedTarget::lenderFence).orElse(termFence);
    }

    /** True unless the target is borrowed and the loan is over. */
    boolean mayCall(long nowMs) {
        return mLoan.isEmpty() || mLoan.get().mayCall(nowMs);
    }

    /**
     * Records until when a lease may last that the controller of another cell has granted.
     *
     * <p>Guards against a run that outlives its controller: a lease can't be shortened, and the
     * next controller assumes that all runs have ended when its predecessor's membership has
     * expired. So nothing is started before the own membership lasts as long.
     */
    void otherCellsLeaseUntil(long endMs) {
        mOtherCellsLeaseEndMs = Math.max(mOtherCellsLeaseEndMs, endMs);
    }

    /** True when no lease that another cell's controller has granted lasts longer. */
    boolean otherCellsLeaseEndsBy(long ms) {
        return mOtherCellsLeaseEndMs <= ms;
    }

    /** The latest time at which a lease of the target may end, whoever has granted it. */
    long lastLeaseEndMs() {
        return Math.max(mLeaseEndMs, mOtherCellsLeaseEndMs);
    }

    /**
     * True when the last report lists a run of another cell's job, started while the target was
     * lent. Its borrower may not know yet that the loan has ended, and starts the task elsewhere
     * when it thinks that the lease has expired, so the lease must not be extended.
     */
    boolean runsForOtherCell() {
        return mRunsForOtherCell;
    }

    void markRunsForOtherCell(boolean runs) {
        mRunsForOtherCell = runs;
    }

    // Runs and capacity

    Map<TaskName, Run> runs() {
        return mRuns;
    }

    Map<ForeignRun, Long> foreignRuns() {
        return mForeignRuns;
    }

    /** True when something runs on the target, or may be running. */
    boolean busy() {
        return !mRuns.isEmpty() || !mForeignRuns.isEmpty();
    }

    /**
     * When the oldest run on the target was ordered, in ms; 0 if there is a foreign run, which may
     * be much older.
     */
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

    /** Adds a run that an earlier incarnation was ordered to start, and this one may start. */
    void addCarriedOver(Run run) {
        add(run);
        mCarriedOver.add(run);
    }

    void remove(Run run) {
        StepRequest step = run.task().step();
        mCarriedOver.remove(run);
        if (mRuns.remove(run.task().name(), run)) {
            mUsedCpu -= step.cpuMillis();
            mUsedMemory -= step.memoryMb();
            mUsedAccelerators -= step.accelerators();
        }
    }

    int freeCpu() {
        return (int) Math.max(Integer.MIN_VALUE, mInfo.cpuMillis() - mUsedCpu);
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

    /** True when the target may be given work. */
    boolean schedulable(long nowMs) {
        return mReported
                && !mLost
                && !mCalls.unresponsive()
                && !mInfo.draining()
                && !mRunsForOtherCell
                && (mLoan.isEmpty() || mLoan.get().mayStart(nowMs))
                && mForeignRuns.isEmpty()
                && mCarriedOver.isEmpty()
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
     * Takes the clock reading of an answer.
     *
     * @return false when a later answer arrived before this one: several calls are in flight at a
     *     time, and answers on different connections overtake each other
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

    /** Upper bound of the target's clock now. */
    long clockAt(long nowMs) {
        return mClockMs + (nowMs - mClockReadMs);
    }

    /**
     * Lease end on the target's clock for an order that is sent now: {@code leaseMs} from now, but
     * not after {@code limitMs} or the end of its loan on our clock, even if the target's clock is
     * slow.
     */
    long leaseEndOnTargetClock(long nowMs, long leaseMs, long limitMs) {
        long loanEndMs = mLoan.map(BorrowedTarget::endMs).orElse(Long.MAX_VALUE);
        long lastMs = Math.min(limitMs, loanEndMs);
        long cappedMs = mClockMs + (long) ((lastMs - mClockReadMs) * MIN_CLOCK_RATE);
        return Math.min(clockAt(nowMs) + leaseMs, cappedMs);
    }

    /**
     * Records that an order with this lease end may reach the target. The target's clock may be
     * slow, so on our clock the lease may last that much longer.
     */
    void leaseSent(long untilMs) {
        long endMs = mClockReadMs + (long) Math.ceil((untilMs - mClockMs) / MIN_CLOCK_RATE);
        mLeaseEndMs = Math.max(mLeaseEndMs, endMs);
    }

    /** Records that an earlier controller may have extended the lease to the given time. */
    void earlierLeaseUntil(long endMs) {
        mLeaseEndMs = Math.max(mLeaseEndMs, endMs);
    }

    /**
     * True when the leases of all runs on the target have expired, and orders still in flight will
     * be rejected.
     */
    boolean leaseExpired(long nowMs, long slackMs) {
        return mReported && nowMs > mLeaseEndMs + slackMs;
    }

    /**
     * Records that an order to an earlier incarnation may have extended the lease of this one to
     * the given time. Its lease end was limited to the term by the clock of the earlier one.
     */
    void leaseMayLastUntil(long endMs) {
        mUncappedLeaseEndMs = endMs;
    }

    /**
     * True when no lease of the target lasts longer than the time until which no other VM can
     * control the cell. The next controller starts its tasks elsewhere after that time.
     */
    boolean leaseEndsBy(long exclusiveUntilMs) {
        return mUncappedLeaseEndMs <= exclusiveUntilMs;
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

    /** Speed over more runs than {@link #speed}, precise enough to compare targets. */
    MeasuredSpeed measuredSpeed() {
        return mMeasuredSpeed;
    }

    /**
     * Updates the speed with a run that took {@code tookMs} where {@code expectedMs} was expected.
     */
    void addSpeedSample(double expectedMs, double tookMs) {
        double speed = expectedMs / Math.max(1.0, tookMs);
        mSpeed += SPEED_WEIGHT * (Math.min(4.0, speed) - mSpeed);
        mMeasuredSpeed.add(expectedMs, tookMs);
    }

    /** Takes over the speed that was measured before the target was lent. */
    void assumeSpeed(double speed) {
        mSpeed = speed;
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

    /**
     * Called when nothing could be sent to the target; it is given no work until the given time.
     */
    void markUnreachable(long untilMs) {
        mUnreachableUntilMs = untilMs;
    }

    boolean quarantined() {
        return mQuarantinedUntilMs > 0;
    }
}
