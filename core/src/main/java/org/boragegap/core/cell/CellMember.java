package org.boragegap.core.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;

/**
 * All decisions of one entry VM: its desk, its membership and, while it controls the cell, the
 * controller; and what they say to the other entry VMs.
 */
public final class CellMember {
    /** Pause between two reads of the group's members while a term is not settled, in ms. */
    private static final long UNSETTLED_READ_INTERVAL_MS = 100;

    /** The same while no controller is heard; the group drops a silent member after a second. */
    private static final long MISSING_READ_INTERVAL_MS = 400;

    private final String mSelf;
    private final HeartbeatTiming mTiming = new HeartbeatTiming();
    private final HeartbeatSchedule mHeartbeats = new HeartbeatSchedule();
    private final PendingJobs mPendingJobs;
    private final CellController mController;
    private final Membership mMembership;

    private final Deque<MemberEvent> mLocalEvents = new ArrayDeque<>();
    private final Followers mFollowers = new Followers();
    private final LatestTargetList mTargets = new LatestTargetList();
    private final Predecessors mPredecessors = new Predecessors();
    private final ControllerSearch mSearch;
    private long mMembersReadMs;
    private ClockReading mClock;
    private List<MemberAction> mActions;

    private CellMember(
            String self, int cell, CellSettings settings, long groupLeaseMs, ClockReading began) {
        mSelf = self;
        mPendingJobs = PendingJobs.create(mTiming, began);
        mController = CellController.create(settings);
        mMembership = Membership.create(groupLeaseMs, began);
        mSearch = new ControllerSearch(self, cell, mMembership, mPendingJobs, mFollowers, mTiming);
    }

    /**
     * Makes a member.
     *
     * @param self peer address of this VM
     * @param cell number of the cell
     * @param settings bounds of the platform
     * @param groupLeaseMs how long the group keeps a silent member, in ms
     * @param began when this process began
     */
    public static CellMember create(
            String self, int cell, CellSettings settings, long groupLeaseMs, ClockReading began) {
        return new CellMember(self, cell, settings, groupLeaseMs, began);
    }

    /**
     * Says what the deployment is like; heartbeats are paced by it.
     *
     * @param cells how many cells it has
     * @param cpuMillis processor of this VM, in thousandths of a core
     */
    public void deployment(int cells, int cpuMillis) {
        mHeartbeats.deployment(cells, cpuMillis);
    }

    /**
     * Says how much processor this VM has for the cell, in thousandths of a core. The strongest VM
     * takes the cell; one that controls other cells has less for this one, and so has one that is
     * held up by its own work.
     */
    public void strength(int strength) {
        mSearch.strength(mHeartbeats.strength(strength));
    }

    /** What the controller has in hand. */
    public CellState state() {
        return mController.state();
    }

    /** Fencing token, while this VM controls the cell. */
    public Optional<Long> fence() {
        return mController.fence();
    }

    /**
     * True when this VM may leave the group. One that has just given the cell up has to stay until
     * its leases are over: a next controller takes it that the tasks of a VM that is not in the
     * group are over, and would start those that are at work a second time.
     */
    public boolean mayLeave(ClockReading clock) {
        return mPredecessors.ownLeasesExpired(clock.monotonicMs());
    }

    /**
     * True when timeouts of some ten ms are to be watched over: this VM controls the cell, or asks
     * for it. One that follows a controller has heartbeats to miss and callers to watch, whose
     * times are counted in hundreds of ms.
     */
    public boolean needsShortTicks() {
        return wantsCell();
    }

    /** Time between two ticks while it isn't busy, in ms. */
    public long idleTickMs() {
        return mTiming.tickMs();
    }

    /** How many callers wait here. */
    public int waitingCallers() {
        return mPendingJobs.waitingCallers();
    }

    /** Generation of the group to name when joining again. */
    public long generation() {
        return mMembership.generation();
    }

    /** Handles an event; what is to be done is added to {@code actions}. */
    public void on(MemberEvent event, ClockReading clock, List<MemberAction> actions) {
        mClock = clock;
        mActions = actions;
        handle(event);
        while (!mLocalEvents.isEmpty()) {
            handle(mLocalEvents.poll());
        }
    }

    private void handle(MemberEvent event) {
        if (event instanceof MemberEvent.Joined joined) {
            joined(joined);
        } else if (event instanceof MemberEvent.PeersListed listed) {
            peersListed(listed);
        } else if (event instanceof MemberEvent.Received received) {
            received(received.from(), received.message());
        } else if (event instanceof MemberEvent.ForController control) {
            toController(control.event());
        } else if (event instanceof MemberEvent.ForPendingJobs desk) {
            toPending(desk.event());
        } else if (event instanceof MemberEvent.Resigned) {
            resign();
        } else if (event instanceof MemberEvent.Draining) {
            toPending(new EntryEvent.Draining());
        } else if (event instanceof MemberEvent.Ticked) {
            tick();
        }
    }

    // Membership

    private void joined(MemberEvent.Joined joined) {
        boolean holds = joined.holdsCell() && !hearsAnotherController();
        boolean again = mMembership.joined(joined.generation(), holds, joined.sent(), mClock);
        updateTerm();
        if (mMembership.recentlyJoined(mClock)) {
            readMembers();
        }
        if (again) {
            mActions.add(new MemberAction.Rejoin());
        }
    }

    /**
     * Guards against a cell that is dealt to a VM which asks for it no longer: it has heard the
     * controller meanwhile, and would depose it in good health. The group hears of it with the next
     * join. What this VM has heard of itself, before its own term ended, doesn't count.
     */
    private boolean hearsAnotherController() {
        Optional<String> heard = mPendingJobs.controller(mClock.monotonicMs());
        return !wantsCell() && heard.filter(address -> !address.equals(mSelf)).isPresent();
    }

    private void peersListed(MemberEvent.PeersListed listed) {
        mFollowers.updatePeers(listed.peers(), mClock.monotonicMs());
        if (mController.fence().isEmpty()) {
            return;
        }
        mPredecessors.membersListed(listed.peers(), listed.askedMs());
        checkPredecessors();
    }

    /** Begins or ends the controller's term as the membership says. */
    private void updateTerm() {
        Optional<Long> held = mMembership.fence();
        Optional<Long> term = mController.fence();
        if (held.equals(term)) {
            return;
        }
        if (term.isPresent()) {
            if (!mController.hasAffectedNoTarget()) {
                mPredecessors.ownTermEnded(term.get(), mClock.monotonicMs());
            }
            toController(new CellEvent.TermEnded());
            if (!mMembership.assignedElsewhere()) {
                // Told so, another VM asks for the cell at once. Where the group names another
                // holder already, one more that asks would only make it deal the cell again.
                broadcast(new CellMessage.Leaving(term.get()));
            }
            mActions.add(new MemberAction.WatchTargets(false));
        }
        if (held.isPresent()) {
            Optional<CellMessage.Targets> inherited = inheritedTargets();
            long inheritedFence = inherited.map(CellMessage.Targets::fence).orElse(0L);
            mPredecessors.termBegan(inheritedFence, mClock.monotonicMs());
            toController(
                    new CellEvent.TermBegan(
                            held.get(), inherited.map(CellMessage.Targets::targets)));
            readMembers();
            mActions.add(new MemberAction.WatchTargets(true));
            sendHeartbeat();
        }
    }

    /** Looks for a controller while none is heard, and asks for the cell when it is its turn. */
    private void searchController() {
        boolean controls = mController.fence().isPresent();
        boolean able = mController.knowsEvacuations();
        boolean read = mSearch.update(controls, able, mClock, mActions);
        if (read && mClock.monotonicMs() - mMembersReadMs >= MISSING_READ_INTERVAL_MS) {
            readMembers();
        }
    }

    private void readMembers() {
        mMembersReadMs = mClock.monotonicMs();
        mActions.add(new MemberAction.ReadMembers());
    }

    /** Finds out whether an earlier controller's tasks may still be at work. */
    private void checkPredecessors() {
        Set<String> vms = mFollowers.peers();
        if (!mPredecessors.update(vms, mMembership.sawNoOutage(mClock), mClock.monotonicMs())) {
            return;
        }
        Predecessors.Knowledge known = mPredecessors.known();
        log(Decision.self("predecessors", "vms=" + vms.size(), known.name()));
        if (known.isSufficient()) {
            boolean over = known == Predecessors.Knowledge.OVER;
            toController(new CellEvent.PredecessorsKnown(over));
        }
    }

    /** Whether this VM asks the group for the cell. */
    public boolean wantsCell() {
        return mSearch.isCandidate() || mController.fence().isPresent();
    }

    /**
     * Whether callers do well to come here. A VM that hears neither the store nor a controller
     * can't serve them; told so, the platform sends them to other failure domains.
     */
    public boolean canServeCallers(ClockReading clock) {
        boolean isolated = mMembership.storeSilent(clock);
        return !isolated || mPendingJobs.controller(clock.monotonicMs()).isPresent();
    }

    /** Another VM misses the controller; it may have come just now, and be unknown here. */
    private void controllerMissing(String from, CellMessage.ControllerMissing missing) {
        mFollowers.addPeer(from, mClock.monotonicMs());
        mSearch.recordMissingNotice(from, missing.strength(), mClock);
        if (isLaterTerm(missing.fence())) {
            deposed(missing.fence());
        }
        mController
                .fence()
                .ifPresent(own -> mActions.add(new MemberAction.Send(from, heartbeat(own))));
    }

    /** Targets of the last controller heard of, if it has told them. */
    private Optional<CellMessage.Targets> inheritedTargets() {
        return mTargets.ofTerm(mPendingJobs.fence());
    }

    private void resign() {
        mMembership.resign();
        updateTerm();
        mActions.add(new MemberAction.Rejoin());
    }

    private void tick() {
        long nowMs = mClock.monotonicMs();
        mPendingJobs.compensateForStall(mHeartbeats.recordTick(nowMs, mTiming.tickMs()), nowMs);
        mMembership.tick(mClock, quorumHeartbeat());
        updateTerm();
        searchController();
        if (mController.fence().isPresent()) {
            toController(new CellEvent.Ticked());
            boolean settled = mPredecessors.known().isSufficient();
            if (!settled && nowMs - mMembersReadMs >= UNSETTLED_READ_INTERVAL_MS) {
                readMembers();
            }
            if (mHeartbeats.isDue(settled, mFollowers.peers().size(), nowMs)) {
                sendHeartbeat();
            }
        }
        toPending(new EntryEvent.Ticked());
    }

    private void sendHeartbeat() {
        mHeartbeats.recordSent(mClock.monotonicMs());
        Optional<Long> fence = mController.fence();
        if (fence.isPresent()) {
            CellMessage.Heartbeat leading = heartbeat(fence.get());
            mTiming.periodAnnounced(leading.periodMs());
            broadcast(leading);
            toPending(new EntryEvent.ControllerHeard(mSelf, fence.get()));
        }
    }

    private void broadcast(CellMessage message) {
        for (String peer : mFollowers.peers()) {
            mActions.add(new MemberAction.Send(peer, message));
        }
    }

    private void broadcastTargets(List<TargetInfo> targets) {
        broadcast(mTargets.createNext(mController.fence().orElseThrow(), targets));
    }

    private CellMessage.Heartbeat heartbeat(long fence) {
        long periodMs = mHeartbeats.periodMs(mFollowers.peers().size());
        return new CellMessage.Heartbeat(fence, mClock, periodMs);
    }

    /** Since when most others follow this VM without the store, while it hears nothing of it. */
    private Optional<ClockReading> quorumHeartbeat() {
        return mMembership.storeSilent(mClock) ? mFollowers.endorsed(mClock) : Optional.empty();
    }

    // Messages

    private void received(String from, CellMessage message) {
        if (message instanceof CellMessage.Offer offer) {
            offered(from, offer);
        } else if (message instanceof CellMessage.Withdraw withdraw) {
            toController(new CellEvent.Withdrawn(from, withdraw.job()));
        } else if (message instanceof CellMessage.Decided decided) {
            toPending(new EntryEvent.Decided(decided.job(), decided.number(), decided.verdict()));
        } else if (message instanceof CellMessage.Heartbeat leading) {
            heartbeatReceived(from, leading);
        } else if (message instanceof CellMessage.Leaving leaving) {
            toPending(new EntryEvent.ControllerLeft(leaving.fence()));
            searchController();
        } else if (message instanceof CellMessage.ControllerMissing missing) {
            controllerMissing(from, missing);
        } else if (message instanceof CellMessage.Targets targets) {
            mTargets.received(targets);
        } else if (message instanceof CellMessage.Crashed crashed) {
            toController(
                    new CellEvent.CrashReported(
                            crashed.task(), crashed.target(), crashed.evidence()));
        } else if (message instanceof CellMessage.HeartbeatReply following) {
            heartbeatReplyReceived(from, following);
        }
    }

    /**
     * Guards against an offer that was meant for an earlier term. The entry VM counts to how many
     * controllers it has offered a job; if a later term took the offer, it would hold the job for a
     * new one, and might refuse it as not run while the earlier term's start is at work.
     */
    private void offered(String from, CellMessage.Offer offer) {
        boolean meant = mController.fence().filter(own -> own == offer.fence()).isPresent();
        if (meant) {
            toController(
                    new CellEvent.Offered(
                            from,
                            offer.request(),
                            offer.ageMs(),
                            offer.budgetMs(),
                            offer.controllers(),
                            offer.number()));
        }
    }

    private void heartbeatReceived(String from, CellMessage.Heartbeat leading) {
        if (isLaterTerm(leading.fence())) {
            deposed(leading.fence());
        }
        if (leading.fence() >= mPendingJobs.fence()) {
            mTiming.periodAnnounced(leading.periodMs());
        }
        toPending(new EntryEvent.ControllerHeard(from, leading.fence()));
        if (mController.fence().isEmpty() && leading.fence() == mPendingJobs.fence()) {
            mSearch.controllerHeard(from, mActions);
        }
        mActions.add(new MemberAction.Send(from, heartbeatReply(leading.sent())));
    }

    private CellMessage.HeartbeatReply heartbeatReply(ClockReading heartbeat) {
        boolean cutOff = mMembership.storeSilent(mClock);
        if (cutOff) {
            mMembership.endorsedController(mClock);
        }
        boolean steady = mMembership.sawNoOutage(mClock);
        long fence = mPendingJobs.fence();
        return new CellMessage.HeartbeatReply(
                fence,
                heartbeat,
                cutOff,
                steady,
                mPredecessors.lastOwnFence(),
                mPredecessors.lastOwnTermEndedAgoMs(mClock.monotonicMs()),
                mTargets.version(fence));
    }

    private void heartbeatReplyReceived(String from, CellMessage.HeartbeatReply following) {
        mFollowers.addPeer(from, mClock.monotonicMs());
        Optional<Long> own = mController.fence();
        if (isLaterTerm(following.fence())) {
            deposed(following.fence());
        } else if (own.filter(fence -> fence > following.fence()).isPresent()) {
            mActions.add(new MemberAction.Send(from, heartbeat(own.get())));
        } else if (mController.fence().filter(f -> f == following.fence()).isPresent()) {
            mFollowers.answered(from, following.storeSilent(), following.heartbeat());
            sendMissedTargets(from, following);
            mPredecessors.answered(from, following);
            checkPredecessors();
        }
    }

    /**
     * Guards against a VM that has missed the list of targets: it came while the list stood, or the
     * message was lost. Should it control the cell next, it could not tell where tasks may be at
     * work, and would start none before all leases are over; callers would wait for a second.
     */
    private void sendMissedTargets(String peer, CellMessage.HeartbeatReply following) {
        mTargets.ifNewerThan(following.fence(), following.targetsVersion())
                .ifPresent(told -> mActions.add(new MemberAction.Send(peer, told)));
    }

    private boolean isLaterTerm(long fence) {
        return mController.fence().filter(own -> own < fence).isPresent();
    }

    private void deposed(long fence) {
        log(Decision.self("deposed", "later_fence=" + fence, "gives the cell up"));
        mMembership.deposed();
        updateTerm();
    }

    // The two halves

    private void toController(CellEvent event) {
        List<CellAction> actions = new ArrayList<>();
        mController.exclusiveUntil(mMembership.exclusiveUntilMs(mClock));
        mController.on(event, mClock, actions);
        actions.forEach(this::run);
    }

    private void run(CellAction action) {
        if (action instanceof CellAction.Answer answer) {
            deliver(
                    answer.entryVm(),
                    new CellMessage.Decided(answer.job(), answer.number(), answer.verdict()));
        } else if (action instanceof CellAction.BroadcastTargets told) {
            broadcastTargets(told.targets());
        } else if (action instanceof CellAction.BroadcastCrash crash) {
            broadcast(new CellMessage.Crashed(crash.task(), crash.target(), crash.evidence()));
        } else if (action instanceof CellAction.Deposed) {
            deposed(mPendingJobs.fence());
        } else if (action instanceof CellAction.Log log) {
            log(log.decision());
        } else {
            mActions.add(new MemberAction.Order(action));
        }
    }

    private void toPending(EntryEvent event) {
        List<EntryAction> actions = new ArrayList<>();
        mPendingJobs.on(event, mClock, actions);
        actions.forEach(this::run);
    }

    private void run(EntryAction action) {
        if (action instanceof EntryAction.Send tell) {
            deliver(tell.address(), tell.message());
        } else if (action instanceof EntryAction.Reply reply) {
            mActions.add(new MemberAction.Reply(reply));
        } else if (action instanceof EntryAction.Log log) {
            log(log.decision());
        }
    }

    private void deliver(String address, CellMessage message) {
        if (address.equals(mSelf)) {
            mLocalEvents.add(new MemberEvent.Received(mSelf, message));
        } else {
            mActions.add(new MemberAction.Send(address, message));
        }
    }

    private void log(Decision decision) {
        mActions.add(new MemberAction.Log(decision));
    }
}
