package org.boragegap.core.cell;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.boragegap.core.records.KnownRecords;
import org.boragegap.core.records.RecentJobs;
import org.boragegap.core.speed.CellSpeeds;

/** Everything that a controller knows in one term; a later term starts without it. */
final class Term {
    /**
     * How long a lost answer is taken as a sign that more will be lost, in ms: with one order in
     * fifty lost, a cell of thirty targets loses several in that time.
     */
    private static final long LOSS_WINDOW_MS = 2_000;

    /**
     * How long the successor of a replaced target may be missing from the platform's list, in ms.
     */
    private static final long MAX_SUCCESSOR_UNLISTED_MS = 2_500;

    /**
     * A target of the cell that is lent to another one.
     *
     * @param info as last listed
     * @param speed its measured speed
     */
    record LentTarget(TargetInfo info, double speed) {}

    /** Allowance for an order that an earlier controller sent at the end of its term, in ms. */
    private static final long ORDER_IN_FLIGHT_MS = 100;

    private record ExpectedSuccessor(TargetInfo replaced, long sinceMs) {}

    private final long mFence;
    private final long mSinceMs;
    private final Evacuations mEvacuations;
    private final CrashHistory mCrashes;
    private final RecentJobs<Long> mStarted;
    private final KnownRecords mRecords;
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final Map<String, CellJob> mJobs = new HashMap<>();
    private final TreeSet<CellJob> mWaiting =
            new TreeSet<>(
                    Comparator.comparing(CellJob::late)
                            .thenComparingLong(CellJob::latestStartMs)
                            .thenComparing(CellJob::id));
    private final Map<String, ExpectedSuccessor> mExpectedSuccessors = new HashMap<>();
    private final UnansweredStarts mUnansweredStarts = new UnansweredStarts(this);
    private CellSpeeds mSpeeds = CellSpeeds.create(false);
    private final Map<String, LentTarget> mLentTargets = new LinkedHashMap<>();
    private Predicate<String> mOwnsJob = job -> true;
    private boolean mLendsTargets;
    private boolean mTargetsListed;
    private boolean mRunSeen;
    private long mGroupLeaseMs;
    private long mEarlierTermsEndMs;
    private long mAnswerLostMs = Long.MIN_VALUE / 2;
    private long mNowMs;
    private long mExclusiveUntilMs;
    private List<CellAction> mActions;

    Term(
            long fence,
            long nowMs,
            Evacuations evacuations,
            CrashHistory crashes,
            RecentJobs<Long> started,
            KnownRecords records) {
        mFence = fence;
        mSinceMs = nowMs;
        endEarlierTermsWithin(LeaseManager.LEASE_MS);
        mEvacuations = evacuations;
        mCrashes = crashes;
        mStarted = started;
        mRecords = records;
    }

    /** Sets the clock and the list of actions for the event that is being handled. */
    void beginEvent(long nowMs, List<CellAction> actions) {
        mNowMs = nowMs;
        mActions = actions;
    }

    /** Until when no other VM can control the cell. */
    long exclusiveUntilMs() {
        return mExclusiveUntilMs;
    }

    void exclusiveUntil(long untilMs) {
        mExclusiveUntilMs = untilMs;
    }

    /** True while no other VM can control the cell; after a pause this may be over unnoticed. */
    boolean isExclusive() {
        return mNowMs < mExclusiveUntilMs;
    }

    /**
     * The last time at which no other VM controlled the cell for certain. Another one may have
     * begun a term since, and may have extended the leases of targets.
     */
    long confirmedMs() {
        return Math.min(mNowMs, mExclusiveUntilMs - mGroupLeaseMs);
    }

    long fence() {
        return mFence;
    }

    long sinceMs() {
        return mSinceMs;
    }

    long nowMs() {
        return mNowMs;
    }

    /**
     * Sets the lease of the group, for which an earlier controller may act after the beginning of
     * this term.
     *
     * @param groupLeaseMs how long the group keeps a silent member, in ms
     */
    void endEarlierTermsWithin(long groupLeaseMs) {
        mGroupLeaseMs = groupLeaseMs;
        mEarlierTermsEndMs = mSinceMs + slowestMs(groupLeaseMs);
    }

    /** Length of a lease on the slowest clock, in ms. */
    private static long slowestMs(long leaseMs) {
        return (long) Math.ceil(leaseMs / Target.MIN_CLOCK_RATE);
    }

    /**
     * The latest time at which an earlier controller may act, and at which its leases end. The
     * group may assign the cell anew at once, and a controller that isn't told acts until the lease
     * of its membership ends.
     */
    long earlierTermsEndMs() {
        return mEarlierTermsEndMs;
    }

    /**
     * True when nothing that an earlier controller started can still run on a target that has not
     * reported. It must be certain that this VM was the only one until then: a later controller may
     * have extended the leases before they ended.
     */
    boolean earlierTermsOver() {
        return confirmedMs() > mEarlierTermsEndMs + ORDER_IN_FLIGHT_MS;
    }

    /** True when only a confirmation of the term is missing for {@link #earlierTermsOver}. */
    boolean awaitsConfirmation() {
        return !earlierTermsOver() && mNowMs > mEarlierTermsEndMs + ORDER_IN_FLIGHT_MS;
    }

    /** The latest time at which a lease that an earlier controller granted just now may end. */
    long earlierLeaseEndMs() {
        return mNowMs + slowestMs(LeaseManager.LEASE_MS);
    }

    void emit(CellAction action) {
        mActions.add(action);
    }

    void log(Decision decision) {
        mActions.add(new CellAction.Log(decision));
    }

    Map<String, Target> targets() {
        return mTargets;
    }

    /** Starts that a next incarnation of their target may still carry out. */
    UnansweredStarts unansweredStarts() {
        return mUnansweredStarts;
    }

    /** Targets that are lent, by id; they are not called, and not among {@link #targets}. */
    Map<String, LentTarget> lentTargets() {
        return mLentTargets;
    }

    /** Sets which jobs belong to the cell. */
    void ownsJobs(Predicate<String> ownsJob) {
        mOwnsJob = ownsJob;
    }

    /** Targets of the cell may be lent in this term, and may have been in an earlier one. */
    void lendsTargets() {
        mLendsTargets = true;
    }

    boolean mayHaveBeenLent() {
        return mLendsTargets;
    }

    /** True when the report lists a run of another cell's job; never without loans. */
    boolean listsRunOfOtherCell(TargetReport report) {
        return mLendsTargets
                && report.running().stream().anyMatch(run -> !ownsJob(run.task().job()));
    }

    /** True when the job belongs to the cell. */
    boolean ownsJob(String job) {
        return mOwnsJob.test(job);
    }

    /** Records that the platform's list of targets was read in this term. */
    void targetsListed() {
        mTargetsListed = true;
    }

    /** True when the platform's list of targets was read in this term. */
    boolean hasTargetList() {
        return mTargetsListed;
    }

    /** True when it is known which targets exist, and which of them may be given work. */
    boolean areTargetsKnown() {
        return mTargetsListed && mEvacuations.known();
    }

    /** Another incarnation has answered at the target's address; the list will name it. */
    void expectSuccessor(TargetInfo replaced) {
        mExpectedSuccessors.put(replaced.address(), new ExpectedSuccessor(replaced, mNowMs));
    }

    /** The list names a new target. */
    void targetAppeared(TargetInfo info) {
        mExpectedSuccessors.remove(info.address());
    }

    /**
     * Replaced targets whose successors have answered but are not listed yet, and so not known
     * otherwise.
     */
    List<TargetInfo> replacedTargets() {
        mExpectedSuccessors
                .values()
                .removeIf(expected -> mNowMs - expected.sinceMs() > MAX_SUCCESSOR_UNLISTED_MS);
        return mExpectedSuccessors.values().stream().map(ExpectedSuccessor::replaced).toList();
    }

    /** Failure domains that operators want to be evacuated. */
    Evacuations evacuations() {
        return mEvacuations;
    }

    /**
     * True when the target can take work now, and operators don't want its domain to be evacuated.
     */
    boolean acceptsWork(Target target) {
        return target.schedulable(mNowMs)
                && target.leaseEndsBy(mExclusiveUntilMs)
                && target.otherCellsLeaseEndsBy(mExclusiveUntilMs)
                && mEvacuations.allows(target.info());
    }

    /** Sets how the speeds of the targets are measured; they don't count without this call. */
    void useSpeeds(CellSpeeds speeds) {
        mSpeeds = speeds;
    }

    /** Speeds of the targets, as of the last tick. */
    CellSpeeds speeds() {
        return mSpeeds;
    }

    /** Measures the speeds of all targets that report. */
    void measureSpeeds() {
        if (!mSpeeds.enabled()) {
            return;
        }
        mSpeeds.begin();
        for (Target target : mTargets.values()) {
            if (target.reported() && !target.lost()) {
                mSpeeds.add(target.measuredSpeed());
            }
        }
        mSpeeds.finish();
    }

    /** Crashed targets, by task. */
    CrashHistory crashes() {
        return mCrashes;
    }

    /** Records that some task of the job has started, or may have. */
    void recordStarted(String job) {
        mStarted.remember(job, mFence, mNowMs);
    }

    /**
     * Fencing token of the last term that knew of a start of the job; empty if there was none
     * recently.
     */
    Optional<Long> startedIn(String job) {
        return mStarted.find(job, mNowMs);
    }

    /** What other VMs have reported about starts in earlier terms. */
    KnownRecords records() {
        return mRecords;
    }

    Map<String, CellJob> jobs() {
        return mJobs;
    }

    /**
     * Jobs with tasks that may start, the most urgent one first; jobs that are already late follow
     * all others.
     */
    TreeSet<CellJob> waiting() {
        return mWaiting;
    }

    /**
     * Moves jobs that can no longer meet their objective behind those that can. After a change of
     * the controller all waiting jobs arrive at once, many of them late. When these came first,
     * they occupied the targets for over a second, and callers that arrived meanwhile were refused
     * or late as well.
     */
    void demoteLateJobs() {
        while (!mWaiting.isEmpty()) {
            CellJob first = mWaiting.first();
            if (first.late() || first.latestStartMs() >= mNowMs || first.hasProgress()) {
                return;
            }
            mWaiting.remove(first);
            first.markLate();
            mWaiting.add(first);
        }
    }

    /** Records that a responsive target has left an order unanswered. */
    void recordLostAnswer() {
        mAnswerLostMs = mNowMs;
    }

    /** True when answers of targets were lost recently. */
    boolean hasRecentLosses() {
        return mNowMs - mAnswerLostMs < LOSS_WINDOW_MS;
    }

    /** Records that a target has reported a run in this term. */
    void recordRunSeen() {
        mRunSeen = true;
    }

    boolean hasSeenRuns() {
        return mRunSeen;
    }
}
