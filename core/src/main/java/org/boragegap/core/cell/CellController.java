package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.boragegap.core.ClockReading;

/**
 * Decides for one cell while this VM controls it: which jobs are taken on, which task starts where
 * and when, what is stopped, and how each job ended.
 *
 * <p>A term is named by its fencing token. Targets reject orders with a lower token than they have
 * seen, so an earlier controller that doesn't know yet that it was replaced can start nothing on a
 * target that the later one has called.
 */
public final class CellController {
    /**
     * After the longest lease, on a clock that is 2% slow, and this many ms of a term nothing that
     * an earlier controller has started can still run on a target that has not reported. The margin
     * is for an order that was under way when the earlier controller gave the cell up.
     */
    private static final long SETTLE_MARGIN_MS = 100;

    private static final double MIN_CLOCK_RATE = 0.98;

    private final CellSettings mSettings;
    private final RunTimeEstimator mRunTimes = new RunTimeEstimator();
    private final Evacuations mEvacuations = new Evacuations();
    private final CrashHistory mCrashes = new CrashHistory();

    /** Jobs that have started, each with the fencing token of the last term that knew of it. */
    private final RecentJobs<Long> mStarted = new RecentJobs<>();

    private long mNextCall = 1;
    private Term mTerm;
    private LeaseManager mLeases;
    private CrashDetector mCrashWatch;
    private RunTracker mRuns;
    private JobLifecycle mJobs;
    private Placement mPlacement;
    private boolean mSettled;
    private long mExclusiveUntilMs = Long.MAX_VALUE;
    private boolean mPredecessorsKnown;
    private boolean mPredecessorLeasesExpired;

    private CellController(CellSettings settings) {
        mSettings = settings;
    }

    /** Makes a controller that controls nothing yet. */
    public static CellController create(CellSettings settings) {
        return new CellController(settings);
    }

    /** Fencing token of the term under way. */
    public Optional<Long> fence() {
        return Optional.ofNullable(mTerm).map(Term::fence);
    }

    /**
     * True when this term has started nothing and has extended the lease of nothing: a next
     * controller needn't ask where its tasks are.
     */
    public boolean hasAffectedNoTarget() {
        return mTerm == null || !mSettled && !mTerm.hasSeenRuns();
    }

    /** True when it knows which failure domains operators want emptied. */
    boolean knowsEvacuations() {
        return mEvacuations.known();
    }

    /** What it has in hand. */
    public CellState state() {
        if (mTerm == null) {
            return CellState.NONE;
        }
        int runs = 0;
        int open = 0;
        for (Target target : mTerm.targets().values()) {
            runs += target.runs().size();
            open += mTerm.acceptsWork(target) ? 1 : 0;
        }
        return new CellState(
                mTerm.fence(), mTerm.targets().size(), open, mTerm.jobs().size(), runs);
    }

    /**
     * Says until when nobody else can control the cell, on the monotonic clock, in ms; to be called
     * before each event. No lease lasts longer, so what this controller has started is over when
     * the next one's term begins after a lapse.
     */
    public void exclusiveUntil(long untilMs) {
        mExclusiveUntilMs = untilMs;
    }

    /** Handles an event; what is to be done is added to {@code actions}. */
    public void on(CellEvent event, ClockReading clock, List<CellAction> actions) {
        if (event instanceof CellEvent.TermBegan began) {
            begin(began, clock, actions);
        } else if (event instanceof CellEvent.TermEnded) {
            end(actions);
        } else if (event instanceof CellEvent.DomainsEvacuated evacuated) {
            evacuate(evacuated, actions);
        } else if (event instanceof CellEvent.CrashReported told) {
            mCrashes.recordCrash(told.task(), told.target(), told.evidence(), clock.monotonicMs());
        }
        if (mTerm == null) {
            return;
        }
        mTerm.beginEvent(clock.monotonicMs(), actions);
        mTerm.exclusiveUntil(mExclusiveUntilMs);
        handle(event);
        schedule();
    }

    private void begin(CellEvent.TermBegan began, ClockReading clock, List<CellAction> actions) {
        long fence = began.fence();
        mTerm = new Term(fence, clock.monotonicMs(), mEvacuations, mCrashes, mStarted);
        mTerm.beginEvent(clock.monotonicMs(), actions);
        mTerm.exclusiveUntil(mExclusiveUntilMs);
        mCrashWatch = new CrashDetector(mTerm);
        mRuns = new RunTracker(mTerm, mRunTimes, mCrashWatch);
        mLeases = new LeaseManager(mTerm, mRuns, mCrashWatch, () -> mNextCall++);
        mPlacement = new Placement(mTerm, mSettings);
        mJobs =
                new JobLifecycle(
                        mTerm,
                        mPlacement,
                        new AdmissionControl(mTerm, mRunTimes),
                        mRuns,
                        mCrashWatch);
        mRuns.connect(mJobs, mLeases);
        mCrashWatch.connect(mJobs);
        mSettled = false;
        mPredecessorsKnown = false;
        mPredecessorLeasesExpired = false;
        mTerm.log(Decision.self("control", "fence=" + fence, "this VM controls the cell"));
        began.previousTargets().ifPresent(mLeases::inherit);
    }

    private void end(List<CellAction> actions) {
        if (mTerm == null) {
            return;
        }
        actions.add(
                new CellAction.Log(
                        Decision.self(
                                "control", "fence=" + mTerm.fence(), "this VM controls nothing")));
        mTerm = null;
    }

    private void evacuate(CellEvent.DomainsEvacuated event, List<CellAction> actions) {
        String before = mEvacuations.toString();
        if (mEvacuations.update(event.domains()) && mTerm != null) {
            String inputs = "domains=" + mEvacuations + " before=" + before;
            Decision decision = Decision.self("evacuate", inputs, "starts nothing there");
            actions.add(new CellAction.Log(decision));
        }
    }

    private void handle(CellEvent event) {
        if (event instanceof CellEvent.TargetsListed listed) {
            mLeases.updateTargets(listed.targets());
            mJobs.refuseInfeasible();
        } else if (event instanceof CellEvent.DomainsEvacuated) {
            mJobs.refuseInfeasible();
        } else if (event instanceof CellEvent.Offered offered) {
            mJobs.offered(offered);
        } else if (event instanceof CellEvent.Withdrawn withdrawn) {
            mJobs.withdrawn(withdrawn);
        } else if (event instanceof CellEvent.CrashReported told) {
            mCrashWatch.crashReported(told.task());
        } else if (event instanceof CellEvent.LeaseExtended extended) {
            mLeases.leaseExtended(extended);
        } else if (event instanceof CellEvent.LeaseFailed failed) {
            mLeases.leaseFailed(failed);
        } else if (event instanceof CellEvent.StartAnswered answered) {
            mRuns.startAnswered(answered);
        } else if (event instanceof CellEvent.StopAnswered answered) {
            mRuns.stopAnswered(answered);
        } else if (event instanceof CellEvent.PredecessorsKnown known) {
            mPredecessorLeasesExpired = known.leasesExpired();
            mPredecessorsKnown = true;
        } else if (event instanceof CellEvent.Ticked) {
            mLeases.tick();
            mRuns.tick();
            mJobs.tick();
        }
    }

    /**
     * The term is settled when all that earlier controllers have started is known: their leases are
     * over, or each target of the last one has reported. Before, a job that was handed to an
     * earlier controller may run on a target that has not reported yet; starting its tasks
     * elsewhere would run them twice at a time.
     */
    private boolean settled() {
        if (mSettled) {
            return true;
        }
        // No controller asks for a longer lease than this, whatever a target may grant.
        long leaseMs = Math.min(mSettings.maxLeaseMs(), LeaseManager.LEASE_MS);
        long boundMs = (long) (leaseMs / MIN_CLOCK_RATE) + SETTLE_MARGIN_MS;
        long ageMs = mTerm.nowMs() - mTerm.sinceMs();
        boolean over = ageMs > boundMs && !mTerm.targets().isEmpty();
        boolean told = mPredecessorsKnown && (mPredecessorLeasesExpired || mLeases.allReported());
        mSettled = over || told;
        if (mSettled) {
            mTerm.log(
                    Decision.self(
                            "settled",
                            "term_age_ms=" + ageMs + " targets=" + mTerm.targets().size(),
                            "starts tasks"));
        }
        return mSettled;
    }

    private void schedule() {
        if (mTerm.waiting().isEmpty()) {
            return;
        }
        boolean settled = settled();
        mTerm.demoteLateJobs();
        if (settled) {
            startTasks();
        }
    }

    /**
     * Starts what has room, first things first. Under overload a hundred jobs wait for targets that
     * are all but full; with the largest room known, each costs one comparison and not a look at
     * every target.
     */
    private void startTasks() {
        int roomCpu = mPlacement.maxFreeCpu();
        for (Iterator<CellJob> it = mTerm.waiting().iterator(); it.hasNext() && roomCpu >= 0; ) {
            CellJob job = it.next();
            if (job.abandoned() || job.minTaskCpu() > roomCpu) {
                continue;
            }
            if (startTasks(job)) {
                it.remove();
            }
            roomCpu = mPlacement.maxFreeCpu();
        }
    }

    /** Starts the job's tasks that have room; true when none is left. */
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
