package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.boragegap.core.ClockReading;
import org.boragegap.core.bundle.BundleChain;
import org.boragegap.core.claim.ClaimAction;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.ClaimProtocol;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.placement.Ownership;
import org.boragegap.core.placement.Target;
import org.boragegap.core.placement.TargetPool;

/**
 * State machine of one entry VM. It decides which VM handles a submission, which VM may start it,
 * where its tasks run, and how its callers are answered. It does no I/O and reads no clock: events
 * and clock readings come in, actions go out.
 */
public final class Dispatcher {
    private final Member mSelf;
    private final DispatchSettings mSettings;
    private final ClaimLimits mLimits;
    private final Counters mCounters = new Counters();
    private final ClaimProtocol mClaims;
    private final List<ClaimAction> mClaimActions = new ArrayList<>();
    private final BundleDistributor mBundles;
    private final TargetPool mTargets;
    private final JobScheduler mJobs;
    private final EntryVms mEntryVms = new EntryVms();
    private final SubmissionRouter mRouter;
    private final Drain mDrain = Drain.notStarted();
    private final Map<String, String> mOwners = new HashMap<>();
    private final Set<String> mSiblings = new HashSet<>();
    private long mOwnersViewUid;
    private long mSiblingsViewUid;

    private Dispatcher(
            Member self, DispatchSettings settings, ClaimLimits limits, RandomGenerator random) {
        mSelf = self;
        mSettings = settings;
        mLimits = limits;
        mClaims =
                ClaimProtocol.create(self, settings.domain(), limits, () -> 1 | random.nextLong());
        mBundles = new BundleDistributor(settings.domains(), self.address(), limits, mCounters);
        mTargets = TargetPool.create(settings.placement(), random);
        mTargets.setOwned(this::owns);
        mJobs =
                new JobScheduler(
                        self.incarnation(),
                        settings,
                        mTargets,
                        mBundles.chain()::content,
                        this::siblings,
                        mCounters,
                        this::releaseClaim);
        mRouter =
                new SubmissionRouter(
                        self.address(),
                        settings,
                        mClaims,
                        mClaimActions,
                        mJobs,
                        mEntryVms,
                        mCounters);
    }

    /**
     * Creates the dispatcher of one run of an entry process.
     *
     * @param self the member that this run is
     * @param settings the dispatcher's settings
     * @param limits timeouts and intervals of the claim protocol
     * @param random seeded source of random numbers
     */
    public static Dispatcher create(
            Member self, DispatchSettings settings, ClaimLimits limits, RandomGenerator random) {
        return new Dispatcher(self, settings, limits, random);
    }

    /** Handles an event and appends the resulting actions to {@code out}. */
    public void onEvent(Event event, ClockReading clock, List<Action> out) {
        handle(event, clock, out);
        updateOwnership();
        executeClaimActions(clock, out);
        mJobs.startQueuedTasks(clock, out);
        executeClaimActions(clock, out);
    }

    private void handle(Event event, ClockReading clock, List<Action> out) {
        if (event instanceof Event.Submitted submitted) {
            mRouter.onSubmitted(submitted, clock, out);
        } else if (event instanceof Event.AttemptEnded ended) {
            mJobs.onAttemptEnded(ended.attempt(), ended.outcome(), clock, out);
        } else if (event instanceof Event.ClaimMessageReceived received) {
            mClaims.onMessage(received.from(), received.message(), clock, mClaimActions);
        } else if (event instanceof Event.LoanMessageReceived received) {
            mJobs.onLoanMessage(received.from(), received.message(), clock, out);
        } else if (event instanceof Event.ForwardAnswered answered) {
            mRouter.onForwardAnswered(answered, out);
        } else if (event instanceof Event.ForwardLost lost) {
            mRouter.onForwardLost(lost, clock, out);
        } else if (event instanceof Event.Cancelled cancelled) {
            onCancelled(cancelled, clock, out);
        } else if (event instanceof Event.LogRead read) {
            mClaims.onLog(read.batch(), clock, mClaimActions);
            mBundles.onLogRead(read.batch(), read.bundles(), clock);
        } else if (event instanceof Event.BundleVersionReceived received) {
            mBundles.onVersionReceived(received.link(), received.version(), out);
        } else if (event instanceof Event.BundleReceived received) {
            mBundles.chain().adopt(received.bundle(), clock.wallMs());
        } else if (event instanceof Event.VmsListed listed) {
            onVmsListed(listed.vms(), clock);
        } else if (event instanceof Event.DrainRequested requested) {
            mRouter.drain();
            mDrain.start(clock.monotonicMs() + requested.timeoutMs(), answeredCount());
        } else if (event instanceof Event.Ticked) {
            onTick(clock, out);
        }
    }

    /** True when callers may be routed here. */
    public boolean ready(ClockReading clock) {
        return mClaims.ready(clock) && !mDrain.active();
    }

    /** True while there is unfinished work, whose timeouts need frequent ticks. */
    public boolean busy() {
        return mJobs.unanswered() > 0
                || mJobs.runningAttempts() > 0
                || mJobs.lentSlots() > 0
                || mClaims.claimsPending() > 0
                || !mRouter.idle()
                || mDrain.active();
    }

    /** The counters of this dispatcher. */
    public Counters counters() {
        return mCounters;
    }

    /** The published bundles as known here. */
    public BundleChain bundles() {
        return mBundles.chain();
    }

    /** The answer to a submission that is held here, if there is one already. */
    public Optional<Answer> answerTo(SubmissionId id) {
        return mJobs.find(id).flatMap(Job::answer);
    }

    /** True when the submission is held here. */
    public boolean knows(SubmissionId id) {
        return mJobs.find(id).isPresent();
    }

    /** Other VMs that may hold a submission that is not held here. */
    public Set<String> likelyHolders(SubmissionId id) {
        return mRouter.likelyHolders(id);
    }

    /** The state of this dispatcher, for a dump. */
    public DispatcherState state(ClockReading clock) {
        return new DispatcherState(
                mSelf,
                mSettings.domain(),
                ready(clock),
                mDrain.active(),
                mClaims.view(),
                mClaims.claimsKept(),
                mClaims.claimsPending(),
                mJobs.jobsKept(),
                mJobs.unanswered(),
                mJobs.queuedTasks(),
                mJobs.runningAttempts(),
                mRouter.forwards(),
                mJobs.runningByTeam(),
                mEntryVms.byDomain(),
                mTargets.all().stream()
                        .map(target -> TargetSummary.of(target, owns(target.target())))
                        .toList(),
                mBundles.chain().version(),
                mBundles.chain().activeSinceWallMs(),
                mCounters.all());
    }

    private long answeredCount() {
        return mCounters.count(Counters.Name.COMPLETE)
                + mCounters.count(Counters.Name.FAILED)
                + mCounters.count(Counters.Name.MAY_HAVE_RUN)
                + mCounters.count(Counters.Name.NOT_RUN);
    }

    /** The other members of the view, which share this failure domain's targets. */
    private Set<String> siblings() {
        Optional<DomainView> view = mClaims.view();
        long uid = view.map(DomainView::uid).orElse(0L);
        if (uid != mSiblingsViewUid) {
            mSiblingsViewUid = uid;
            mSiblings.clear();
            view.ifPresent(v -> v.members().forEach(member -> mSiblings.add(member.address())));
            mSiblings.remove(mSelf.address());
        }
        return mSiblings;
    }

    /** Assigns the targets to their owners again when the view has changed. */
    private void updateOwnership() {
        long uid = mClaims.view().map(DomainView::uid).orElse(0L);
        if (uid == mOwnersViewUid) {
            return;
        }
        mOwnersViewUid = uid;
        mOwners.clear();
        mTargets.setOwned(this::owns);
    }

    /**
     * True when this VM owns the target. Each target is owned by one member of the view, which
     * alone accounts for its free capacity.
     */
    private boolean owns(Target target) {
        Optional<DomainView> view = mClaims.view();
        if (view.isEmpty()) {
            return true;
        }
        String owner = mOwners.get(target.address());
        if (owner == null) {
            List<String> members = view.get().members().stream().map(Member::address).toList();
            owner = Ownership.owner(target.address(), members).orElse(mSelf.address());
            mOwners.put(target.address(), owner);
        }
        return owner.equals(mSelf.address());
    }

    private void executeClaimActions(ClockReading clock, List<Action> out) {
        while (!mClaimActions.isEmpty()) {
            List<ClaimAction> actions = List.copyOf(mClaimActions);
            mClaimActions.clear();
            for (ClaimAction action : actions) {
                executeClaimAction(action, clock, out);
            }
        }
    }

    private void executeClaimAction(ClaimAction action, ClockReading clock, List<Action> out) {
        if (action instanceof ClaimAction.Send send) {
            mCounters.increment(Counters.Name.CLAIM_MESSAGES);
            out.add(new Action.SendClaimMessage(send.address(), send.message()));
        } else if (action instanceof ClaimAction.Append append) {
            mCounters.increment(Counters.Name.APPENDS);
            out.add(new Action.AppendView(append.record()));
        } else if (action instanceof ClaimAction.Resolve resolve) {
            mRouter.onClaimResolved(resolve, clock, out);
        } else if (action instanceof ClaimAction.Log log) {
            out.add(new Action.Log(log.what(), log.inputs(), log.outcome()));
        }
    }

    private void releaseClaim(SubmissionId id) {
        if (id.minter().isEmpty()) {
            mClaims.release(id.claimKey(), mClaimActions);
        }
    }

    private void onCancelled(Event.Cancelled event, ClockReading clock, List<Action> out) {
        Optional<Job> job = mJobs.find(event.id());
        if (job.isPresent()) {
            mJobs.cancel(job.get(), clock, out);
            return;
        }
        if (event.hops() > 0) {
            return;
        }
        for (String address : mRouter.likelyHolders(event.id())) {
            out.add(new Action.ForwardCancel(address, event.id(), event.hops() + 1));
        }
    }

    private void onVmsListed(List<ListedVm> vms, ClockReading clock) {
        mEntryVms.onListed(vms, clock.monotonicMs());
        List<Target> targets = new ArrayList<>();
        Set<String> leaving = new HashSet<>();
        for (ListedVm vm : vms) {
            if (vm.kind().role().isEmpty() || !vm.domain().equals(mSettings.domain())) {
                continue;
            }
            targets.add(vm.target());
            if (vm.leaving()) {
                leaving.add(vm.address());
            }
        }
        mTargets.onListed(targets, leaving);
    }

    private void onTick(ClockReading clock, List<Action> out) {
        mClaims.onVmsUnlisted(unlistedMembers());
        mClaims.onTick(clock, mClaimActions);
        mJobs.onTick(clock, out);
        mRouter.onTick(clock, out);
        mBundles.onTick(mEntryVms, clock, out);
        advanceDrain(clock, out);
    }

    private Set<String> unlistedMembers() {
        return mClaims.view().map(DomainView::members).orElse(List.of()).stream()
                .map(Member::address)
                .filter(address -> mEntryVms.unlistedFor(address, mLimits.unlistedMs()))
                .collect(Collectors.toSet());
    }

    private void advanceDrain(ClockReading clock, List<Action> out) {
        if (!mDrain.active() || mDrain.reported()) {
            return;
        }
        boolean overdue = mDrain.overdue(clock.monotonicMs());
        if (overdue) {
            mDrain.addFailed(mJobs.failAll("this VM is going away", clock, out));
        }
        boolean idle = mJobs.unanswered() == 0 && mRouter.idle() && mJobs.runningAttempts() == 0;
        if (!idle && !overdue) {
            return;
        }
        if (mDrain.startLeaving(clock.monotonicMs())) {
            mClaims.leave(clock, mClaimActions);
        }
        if (overdue || mClaims.hasNoSiblings() || mDrain.leaveTimedOut(clock.monotonicMs())) {
            out.add(mDrain.report(answeredCount()));
        }
    }
}
