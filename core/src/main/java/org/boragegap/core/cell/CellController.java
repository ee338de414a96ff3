package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.boragegap.core.ClockReading;
import org.boragegap.core.loan.LenderDirectory;
import org.boragegap.core.records.KnownRecords;
import org.boragegap.core.records.RecentJobs;
import org.boragegap.core.speed.CellSpeeds;

/**
 * Schedules one cell while this VM controls it: decides which jobs are admitted, where and when
 * tasks start, what is stopped, and how each job ended.
 *
 * <p>A term is identified by its fencing token. Targets reject orders with a lower token than the
 * highest they have seen, so a replaced controller that does not know of its replacement yet cannot
 * start anything on a target that its successor has called.
 */
public final class CellController {
    private final CellSettings mSettings;
    private final KnownRecords mRecords;
    private final RunTimeEstimator mRunTimes = new RunTimeEstimator();
    private final Evacuations mEvacuations = new Evacuations();
    private final CrashHistory mCrashes = new CrashHistory();

    /**
     * Jobs that may have started, each with the fencing token of the last term that recorded a
     * start.
     */
    private final RecentJobs<Long> mStarted = new RecentJobs<>();

    private long mNextCall = 1;
    private Term mTerm;
    private LeaseManager mLeases;
    private CrashDetector mCrashDetector;
    private RunTracker mRuns;
    private JobLifecycle mJobs;
    private Placement mPlacement;
    private Settlement mSettlement;
    private long mExclusiveUntilMs = Long.MAX_VALUE;
    private CellLayout mLayout = CellLayout.ofCells(1);
    private int mCell;
    private long mGroupLeaseMs = LeaseManager.LEASE_MS;
    private Optional<LenderDirectory> mDirectory = Optional.empty();

    /** Loans of the term; empty if targets are neither lent nor borrowed. */
    private Optional<CellLoans> mLoans = Optional.empty();

    private CellController(CellSettings settings, KnownRecords records) {
        mSettings = settings;
        mRecords = records;
    }

    /** Creates a controller without a term, for a cell that no other VM controls. */
    public static CellController create(CellSettings settings) {
        return create(settings, KnownRecords.withoutEarlierTerms());
    }

    /**
     * Creates a controller without a term.
     *
     * @param records what other VMs report about starts in earlier terms
     */
    public static CellController create(CellSettings settings, KnownRecords records) {
        return new CellController(settings, records);
    }

    /** Jobs that have started in terms of this VM since a time, or may have. */
    List<String> startedSince(long sinceMs) {
        return mStarted.since(sinceMs, fence -> true);
    }

    /** See {@link RecentJobs#evictedMs}. */
    long evictedMs() {
        return mStarted.evictedMs();
    }

    /** Sets which of the deployment's cells this is; without it there is only this one. */
    void partOf(CellLayout layout, int cell) {
        mLayout = layout;
        mCell = cell;
    }

    /** Sets how long the group keeps a silent member, in ms; the minimum without this call. */
    void groupLeaseMs(long leaseMs) {
        mGroupLeaseMs = leaseMs;
    }

    /** Lends and borrows targets from the next term on. */
    void lendAndBorrow(LenderDirectory directory) {
        mDirectory = Optional.of(directory);
    }

    /** Number of targets that this controller would lend to other cells. */
    int lendableTargets() {
        return mTerm == null || !mSettlement.settled()
                ? 0
                : mLoans.map(CellLoans::lendable).orElse(0);
    }

    /** True when this term may have started tasks on borrowed targets. */
    boolean hasBorrowed() {
        return mTerm != null && mLoans.map(CellLoans::hasBorrowed).orElse(false);
    }

    /** Fencing token of the current term; empty when this VM does not control the cell. */
    public Optional<Long> fence() {
        return Optional.ofNullable(mTerm).map(Term::fence);
    }

    /**
     * True when this term has started no task and extended no lease of a running task, so that the
     * next controller does not have to ask for its targets.
     */
    public boolean hasAffectedNoTarget() {
        return mTerm == null || !mSettlement.settled() && !mTerm.hasSeenRuns();
    }

    /** True once it is known which failure domains operators have evacuated. */
    boolean knowsEvacuations() {
        return mEvacuations.known();
    }

    /** Summary of the current term. */
    public CellState state() {
        if (mTerm == null) {
            return CellState.NONE;
        }
        int runs = 0;
        int schedulable = 0;
        for (Target target : mTerm.targets().values()) {
            runs += target.runs().size();
            schedulable += mTerm.acceptsWork(target) ? 1 : 0;
        }
        return new CellState(
                mTerm.fence(),
                mTerm.targets().size(),
                schedulable,
                mTerm.jobs().size(),
                runs,
                mLoans.map(CellLoans::lent).orElse(0),
                mLoans.map(CellLoans::borrowed).orElse(0));
    }

    /** True when this VM should ask the group at once whether it still holds the cell. */
    boolean awaitsConfirmation() {
        return mTerm != null && mSettlement.awaitsConfirmation();
    }

    /**
     * Sets the time until which no other VM can control the cell, on the monotonic clock, in ms.
     * Has to be called before each event. No lease lasts longer, so the next controller knows when
     * everything that this one started has ended.
     */
    public void exclusiveUntil(long untilMs) {
        mExclusiveUntilMs = untilMs;
    }

    /** Handles an event and adds the resulting actions to {@code actions}. */
    public void on(CellEvent event, ClockReading clock, List<CellAction> actions) {
        if (event instanceof CellEvent.TermBegan began) {
            begin(began, clock, actions);
        } else if (event instanceof CellEvent.TermEnded) {
            end(clock, actions);
        } else if (event instanceof CellEvent.DomainsEvacuated evacuated) {
            evacuate(evacuated, actions);
        } else if (event instanceof CellEvent.CrashReported reported) {
            mCrashes.recordCrash(
                    reported.task(), reported.target(), reported.evidence(), clock.monotonicMs());
        }
        if (mTerm == null) {
            return;
        }
        mTerm.beginEvent(clock.monotonicMs(), actions);
        mTerm.exclusiveUntil(mExclusiveUntilMs);
        mLoans.ifPresent(loans -> loans.beginEvent(clock));
        handle(event, clock);
        schedule();
        if (!mTerm.waiting().isEmpty() && mSettlement.settled()) {
            mLoans.ifPresent(loans -> loans.askIfNeeded(clock));
        }
    }

    private void begin(CellEvent.TermBegan began, ClockReading clock, List<CellAction> actions) {
        long fence = began.fence();
        mTerm = new Term(fence, clock.monotonicMs(), mEvacuations, mCrashes, mStarted, mRecords);
        mTerm.beginEvent(clock.monotonicMs(), actions);
        mTerm.exclusiveUntil(mExclusiveUntilMs);
        mTerm.endEarlierTermsWithin(mGroupLeaseMs);
        mTerm.useSpeeds(CellSpeeds.create(mSettings.speedPlacement()));
        mSettlement = new Settlement(mTerm, began.previousTargets().isPresent());
        mCrashDetector = new CrashDetector(mTerm);
        mRuns = new RunTracker(mTerm, mRunTimes, mCrashDetector);
        mLeases = new LeaseManager(mTerm, mRuns, mCrashDetector, () -> mNextCall++);
        mTerm.ownsJobs(job -> mLayout.cellOfJob(job) == mCell);
        mDirectory.ifPresent(known -> mTerm.lendsTargets());
        mLoans = mDirectory.map(known -> new CellLoans(mCell, mTerm, mLeases, known));
        mPlacement = new Placement(mTerm, mSettings, mRunTimes);
        mJobs =
                new JobLifecycle(
                        mTerm,
                        mPlacement,
                        new AdmissionControl(mTerm, mRunTimes),
                        mRuns,
                        mCrashDetector);
        mRuns.connect(mJobs, mLeases);
        mCrashDetector.connect(mJobs);
        mTerm.log(Decision.self("control", "fence=" + fence, "this VM controls the cell"));
        began.previousTargets().ifPresent(mLeases::inherit);
    }

    private void end(ClockReading clock, List<CellAction> actions) {
        if (mTerm == null) {
            return;
        }
        mTerm.beginEvent(clock.monotonicMs(), actions);
        mLoans.ifPresent(CellLoans::termEnds);
        actions.add(
                new CellAction.Log(
                        Decision.self(
                                "control",
                                "fence=" + mTerm.fence(),
                                "this VM no longer controls the cell")));
        mTerm = null;
    }

    private void evacuate(CellEvent.DomainsEvacuated event, List<CellAction> actions) {
        String before = mEvacuations.toString();
        if (mEvacuations.update(event.domains()) && mTerm != null) {
            String inputs = "domains=" + mEvacuations + " before=" + before;
            Decision decision = Decision.self("evacuate", inputs, "no tasks are started there");
            actions.add(new CellAction.Log(decision));
        }
    }

    private void handle(CellEvent event, ClockReading clock) {
        if (event instanceof CellEvent.TargetsListed listed) {
            mLeases.updateTargets(listed.targets());
            mJobs.refuseInfeasible();
        } else if (event instanceof CellEvent.DomainsEvacuated) {
            mJobs.refuseInfeasible();
        } else if (event instanceof CellEvent.Offered offered) {
            mJobs.offered(offered);
        } else if (event instanceof CellEvent.Withdrawn withdrawn) {
            mJobs.withdrawn(withdrawn);
        } else if (event instanceof CellEvent.CrashReported reported) {
            mCrashDetector.crashReported(reported.task());
        } else if (event instanceof CellEvent.LeaseExtended extended) {
            mLeases.leaseExtended(extended);
        } else if (event instanceof CellEvent.LeaseFailed failed) {
            mLeases.leaseFailed(failed);
        } else if (event instanceof CellEvent.StartAnswered answered) {
            mRuns.startAnswered(answered);
        } else if (event instanceof CellEvent.StopAnswered answered) {
            mRuns.stopAnswered(answered);
        } else if (event instanceof CellEvent.PredecessorsKnown) {
            mSettlement.predecessorsKnown();
        } else if (event instanceof CellEvent.Ticked) {
            mLeases.tick();
            mRuns.tick();
            mTerm.measureSpeeds();
            mJobs.tick();
            if (mSettlement.settled()) {
                mLoans.ifPresent(loans -> loans.tick(clock));
            }
        } else if (event instanceof CellEvent.LoanMessageReceived loan) {
            mLoans.ifPresent(
                    loans ->
                            loans.received(
                                    loan.from(), loan.message(), clock, mSettlement.settled()));
        }
    }

    /**
     * Starts what can be started. A VM that was paused handles the events that have waited before
     * it notices that its term is over: by its lease end alone, a start order would be rejected by
     * the target that it was meant for, but not by the next incarnation, whose clock starts anew.
     */
    private void schedule() {
        if (mTerm.waiting().isEmpty() || !mTerm.isExclusive()) {
            return;
        }
        boolean settled = mSettlement.update();
        mTerm.demoteLateJobs();
        if (settled) {
            startTasks();
        }
    }

    /**
     * Starts waiting tasks in scheduling order while there is capacity. Under overload, a hundred
     * jobs wait for targets that are nearly full; comparing each with the largest free capacity
     * avoids a scan of all targets per job.
     */
    private void startTasks() {
        int freeCpu = mPlacement.maxFreeCpu();
        for (Iterator<CellJob> it = mTerm.waiting().iterator(); it.hasNext() && freeCpu >= 0; ) {
            CellJob job = it.next();
            if (job.abandoned() || job.minTaskCpu() > freeCpu) {
                continue;
            }
            if (startTasks(job)) {
                it.remove();
            }
            freeCpu = mPlacement.maxFreeCpu();
        }
    }

    /** Starts the job's ready tasks that fit; true when all of them were started. */
    private boolean startTasks(CellJob job) {
        List<CellTask> ready = job.readyTasks();
        List<Run> started = new ArrayList<>(ready.size());
        for (CellTask task : ready) {
            Optional<Target> target = mPlacement.choose(task);
            if (target.isEmpty()) {
                break;
            }
            started.add(mRuns.start(task, target.get()));
        }
        mRuns.logStarts(job, started);
        return started.size() == ready.size();
    }
}
