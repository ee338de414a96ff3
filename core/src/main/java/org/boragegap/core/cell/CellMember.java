package org.boragegap.core.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.boragegap.core.ClockReading;
import org.boragegap.core.loan.LenderDirectory;
import org.boragegap.core.records.KnownRecords;

/**
 * All decisions of one entry VM about a cell: its pending jobs, its membership in the group, the
 * controller while it controls the cell, and its messages to the other entry VMs.
 */
public final class CellMember {
    /** Time between two reads of the group's members until the predecessors are known, in ms. */
    private static final long UNSETTLED_READ_INTERVAL_MS = 100;

    /** Same, while no controller is heard; the group drops a silent member after a second. */
    private static final long MISSING_READ_INTERVAL_MS = 400;

    private final String mSelf;
    private final int mCell;
    private final HeardLenders mLenders;
    private final HeartbeatTiming mTiming = new HeartbeatTiming();
    private final HeartbeatSchedule mHeartbeats = new HeartbeatSchedule();
    private final PendingJobs mPendingJobs;
    private final CellController mController;
    private final Membership mMembership;

    private final Deque<MemberEvent> mLocalEvents = new ArrayDeque<>();
    private final Followers mFollowers = new Followers();
    private final ControllerAuthority mAuthority;
    private final LatestTargetList mTargets = new LatestTargetList();
    private final Predecessors mPredecessors = new Predecessors();
    private final HeartbeatReplies mReplies;
    private final ControllerSearch mSearch;
    private final StartRecordExchange mRecords;
    private final HoldProofs mProofs;
    private long mMembersReadMs;
    private ClockReading mClock;
    private List<MemberAction> mActions;

    private CellMember(
            String self, int cell, CellSettings settings, long groupLeaseMs, ClockReading start) {
        mSelf = self;
        mCell = cell;
        mLenders = new HeardLenders(cell);
        mPendingJobs = PendingJobs.create(mTiming, start);
        KnownRecords known = KnownRecords.create();
        mController = CellController.create(settings, known);
        mController.groupLeaseMs(groupLeaseMs);
        mRecords = new StartRecordExchange(self, mPendingJobs, mController, known, start);
        mMembership = Membership.create(groupLeaseMs, start);
        mAuthority = new ControllerAuthority(mMembership, mFollowers);
        mProofs = new HoldProofs(mMembership, mController);
        mReplies = new HeartbeatReplies(mMembership, mPredecessors, mTargets);
        mSearch = new ControllerSearch(self, cell, mMembership, mPendingJobs, mFollowers, mTiming);
    }

    /**
     * Creates a member.
     *
     * @param self peer address of this VM
     * @param cell number of the cell
     * @param settings limits set by the platform
     * @param groupLeaseMs how long the group keeps a silent member, in ms
     * @param start when this process started
     */
    public static CellMember create(
            String self, int cell, CellSettings settings, long groupLeaseMs, ClockReading start) {
        return new CellMember(self, cell, settings, groupLeaseMs, start);
    }

    /**
     * Declares that all VMs of the deployment start for the first time: no job can have started
     * before this process.
     */
    public void firstStart() {
        mRecords.firstStart();
    }

    /**
     * Sets the size of the deployment, on which the period of heartbeats depends, and which jobs
     * belong to the cell.
     *
     * @param cells number of cells in the deployment
     * @param cpuMillis processor of this VM, in thousandths of a core
     */
    public void deployment(int cells, int cpuMillis) {
        mHeartbeats.deployment(cells, cpuMillis);
        mController.partOf(CellLayout.ofCells(cells), mCell);
    }

    /**
     * Lends targets to other cells and borrows from them.
     *
     * @param directory controllers of all cells, shared by this VM's members of all cells
     */
    public void lendAndBorrow(LenderDirectory directory) {
        mLenders.recordIn(directory);
        mController.lendAndBorrow(directory);
        mPredecessors.targetsMayBeBorrowed();
    }

    /**
     * Sets the processor that this VM has for the cell, in thousandths of a core; the strongest VM
     * takes the cell. Other cells that it controls, and stalls by its own work, reduce it.
     */
    public void strength(int strength) {
        mSearch.strength(mHeartbeats.strength(strength));
    }

    /** State of the controller, for metrics. */
    public CellState state() {
        return mController.state();
    }

    /** Fencing token, while this VM controls the cell. */
    public Optional<Long> fence() {
        return mController.fence();
    }

    /**
     * True when this VM may leave the group. After giving up the cell it has to stay until its
     * leases have expired, so that the next controller learns of its term.
     */
    public boolean mayLeave(ClockReading clock) {
        return mPredecessors.ownLeasesExpired(clock.monotonicMs());
    }

    /**
     * True when timeouts of some ten ms have to be checked: this VM controls the cell, or is a
     * candidate for it. A follower only waits for heartbeats and for its callers, with timeouts of
     * hundreds of ms.
     */
    public boolean needsShortTicks() {
        return wantsCell();
    }

    /** Time between two ticks while no short ticks are needed, in ms. */
    public long idleTickMs() {
        return mTiming.tickMs();
    }

    /** Number of callers that wait at this VM. */
    public int waitingCallers() {
        return mPendingJobs.waitingCallers();
    }

    /** Generation of the group to send with the next join. */
    public long generation() {
        return mMembership.generation();
    }

    /** Handles an event and adds the resulting actions to {@code actions}. */
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
        } else if (event instanceof MemberEvent.HoldChecked checked) {
            mProofs.checked(checked, mClock).ifPresent(this::log);
            updateTerm();
        } else if (event instanceof MemberEvent.PeerProcessorKnown known) {
            mHeartbeats.peerCpuMillis(known.medianCpuMillis());
        } else if (event instanceof MemberEvent.PeersListed listed) {
            peersListed(listed);
        } else if (event instanceof MemberEvent.Received received) {
            received(received.from(), received.message());
        } else if (event instanceof MemberEvent.ForController control) {
            toController(control.event());
        } else if (event instanceof MemberEvent.ForPendingJobs pending) {
            toPending(pending.event());
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
        boolean holds =
                joined.holdsCell()
                        && !mSearch.hearsAnotherController(wantsCell(), mClock.monotonicMs());
        boolean again = mMembership.joined(joined.generation(), holds, joined.sent(), mClock);
        updateTerm();
        mProofs.joined(mActions);
        if (mMembership.recentlyJoined(mClock)) {
            readMembers();
        }
        if (again) {
            mActions.add(new MemberAction.Rejoin());
        }
    }

    private void peersListed(MemberEvent.PeersListed listed) {
        mFollowers.updatePeers(listed.peers(), mClock.monotonicMs());
        mRecords.membersListed(listed, mClock.monotonicMs());
        if (mController.fence().isPresent()) {
            mPredecessors.membersListed(listed.peers(), listed.askedMs());
            checkPredecessors();
        }
    }

    /** Begins or ends the controller's term according to the membership. */
    private void updateTerm() {
        Optional<Long> held = mMembership.fence();
        Optional<Long> term = mController.fence();
        if (held.equals(term)) {
            return;
        }
        if (term.isPresent()) {
            if (!mController.hasAffectedNoTarget()) {
                boolean borrowed = mController.hasBorrowed();
                mPredecessors.ownTermEnded(term.get(), borrowed, mClock.monotonicMs());
                mRecords.termEnded(term.get(), mMembership.lastHeld());
            }
            toController(new CellEvent.TermEnded());
            if (held.isEmpty() && !mMembership.assignedElsewhere()) {
                // On this message another VM becomes a candidate at once. If the group has named
                // another holder already, a further candidate would only cause another rebalance.
                broadcast(new CellMessage.Leaving(term.get()));
            }
            mActions.add(new MemberAction.WatchTargets(false));
        }
        if (held.isPresent()) {
            // The targets of the last controller that was heard, if it has sent them.
            Optional<CellMessage.Targets> inherited = mTargets.ofTerm(mPendingJobs.fence());
            long inheritedFence = inherited.map(CellMessage.Targets::fence).orElse(0L);
            mPredecessors.termBegan(inheritedFence, mClock.monotonicMs());
            mRecords.termBegan(mClock);
            toController(
                    new CellEvent.TermBegan(
                            held.get(), inherited.map(CellMessage.Targets::targets)));
            readMembers();
            mActions.add(new MemberAction.WatchTargets(true));
            sendHeartbeat();
        }
    }

    /** Searches for a controller while none is heard, and updates the candidacy of this VM. */
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

    /** Checks whether tasks of an earlier controller may still be running. */
    private void checkPredecessors() {
        if (!mPredecessors.update(mMembership.sawNoOutage(mClock), mClock.monotonicMs())) {
            return;
        }
        long fence = mController.fence().orElse(0L);
        log(mPredecessors.decision(fence, mFollowers.peers(), mClock.monotonicMs()));
        if (mPredecessors.known().isSufficient()) {
            toController(new CellEvent.PredecessorsKnown());
        }
    }

    /** Whether this VM requests the cell from the group: it is a candidate or controls the cell. */
    public boolean wantsCell() {
        return mSearch.isCandidate() || mController.fence().isPresent();
    }

    /**
     * Whether callers should be sent to this VM. A VM that hears neither the store nor a controller
     * can't serve them; when told so, the platform sends them to other failure domains.
     */
    public boolean canServeCallers(ClockReading clock) {
        boolean isolated = mMembership.storeSilent(clock);
        return !isolated || mPendingJobs.controller(clock.monotonicMs()).isPresent();
    }

    /** Another VM misses the controller; it may be new and unknown here. */
    private void controllerMissing(String from, CellMessage.ControllerMissing missing) {
        mFollowers.addPeer(from, mClock.monotonicMs());
        mSearch.recordMissingNotice(from, missing.strength(), mClock);
        if (isLaterTerm(missing.fence())) {
            deposed(missing.fence(), from);
        }
        mController
                .fence()
                .ifPresent(own -> mActions.add(new MemberAction.Send(from, heartbeat(own))));
    }

    private void resign() {
        mMembership.resign();
        updateTerm();
        mActions.add(new MemberAction.Rejoin());
    }

    private void tick() {
        long nowMs = mClock.monotonicMs();
        mPendingJobs.compensateForStall(mHeartbeats.recordTick(nowMs, mTiming.tickMs()), nowMs);
        mAuthority.update(mController.fence(), mClock).ifPresent(this::log);
        updateTerm();
        searchController();
        if (mController.fence().isPresent()) {
            toController(new CellEvent.Ticked());
            boolean predecessorsKnown = mPredecessors.known().isSufficient();
            if (!predecessorsKnown && nowMs - mMembersReadMs >= UNSETTLED_READ_INTERVAL_MS) {
                readMembers();
            }
            mProofs.tick(nowMs, mActions);
            if (mHeartbeats.isDue(predecessorsKnown, mFollowers.peers().size(), nowMs)) {
                sendHeartbeat();
            }
        }
        toPending(new EntryEvent.Ticked());
    }

    private void sendHeartbeat() {
        mHeartbeats.recordSent(mClock.monotonicMs());
        Optional<Long> fence = mController.fence();
        if (fence.isPresent()) {
            CellMessage.Heartbeat heartbeat = heartbeat(fence.get());
            mTiming.periodAnnounced(heartbeat.periodMs());
            broadcast(heartbeat);
            mLenders.heard(mSelf, heartbeat, mClock);
            toPending(new EntryEvent.ControllerHeard(mSelf, fence.get()));
        }
    }

    private void broadcast(CellMessage message) {
        for (String peer : mFollowers.counted()) {
            mActions.add(new MemberAction.Send(peer, message));
        }
    }

    private CellMessage.Heartbeat heartbeat(long fence) {
        long periodMs = mHeartbeats.periodMs(mFollowers.peers().size());
        return new CellMessage.Heartbeat(fence, mClock, periodMs, mController.lendableTargets());
    }

    // Messages

    private void received(String from, CellMessage message) {
        mRecords.received(from, message, mClock.monotonicMs())
                .ifPresent(receipt -> mActions.add(new MemberAction.Send(from, receipt)));
        if (message instanceof CellMessage.Offer offer) {
            offered(from, offer);
        } else if (message instanceof CellMessage.Withdraw withdraw) {
            toController(new CellEvent.Withdrawn(from, withdraw.job()));
        } else if (message instanceof CellMessage.Decided decided) {
            toPending(new EntryEvent.Decided(decided.job(), decided.number(), decided.verdict()));
        } else if (message instanceof CellMessage.Heartbeat heartbeat) {
            heartbeatReceived(from, heartbeat);
        } else if (message instanceof CellMessage.Leaving leaving) {
            toPending(new EntryEvent.ControllerLeft(leaving.fence()));
            searchController();
        } else if (message instanceof CellMessage.ControllerMissing missing) {
            controllerMissing(from, missing);
        } else if (message instanceof CellMessage.Targets targets) {
            mTargets.received(targets);
        } else if (message instanceof CellMessage.Crashed crash) {
            toController(
                    new CellEvent.CrashReported(crash.task(), crash.target(), crash.evidence()));
        } else if (message instanceof CellMessage.HeartbeatReply reply) {
            heartbeatReplyReceived(from, reply);
        } else if (!StartRecordExchange.handles(message)) {
            toController(new CellEvent.LoanMessageReceived(from, message));
        }
    }

    /**
     * Guards against an offer that was meant for an earlier term. The entry VM counts the
     * controllers to which it has offered a job. A later term that accepted the offer would take
     * the job for a new one, and might refuse it as not run while an earlier run of it is active.
     */
    private void offered(String from, CellMessage.Offer offer) {
        boolean currentTerm = mController.fence().filter(own -> own == offer.fence()).isPresent();
        if (currentTerm) {
            toController(CellEvent.Offered.of(from, offer));
        }
    }

    private void heartbeatReceived(String from, CellMessage.Heartbeat heartbeat) {
        if (isLaterTerm(heartbeat.fence())) {
            deposed(heartbeat.fence(), from);
        }
        mLenders.heard(from, heartbeat, mClock);
        for (CellMessage records : mRecords.toController(heartbeat.fence(), mClock)) {
            mActions.add(new MemberAction.Send(from, records));
        }
        if (heartbeat.fence() >= mPendingJobs.fence()) {
            mTiming.periodAnnounced(heartbeat.periodMs());
        }
        toPending(new EntryEvent.ControllerHeard(from, heartbeat.fence()));
        if (mController.fence().isEmpty() && heartbeat.fence() == mPendingJobs.fence()) {
            mSearch.controllerHeard(from, mActions);
        }
        CellMessage reply = mReplies.reply(heartbeat, mPendingJobs.fence(), mClock);
        mActions.add(new MemberAction.Send(from, reply));
    }

    private void heartbeatReplyReceived(String from, CellMessage.HeartbeatReply reply) {
        mFollowers.addPeer(from, mClock.monotonicMs());
        Optional<Long> own = mController.fence();
        if (isLaterTerm(reply.fence())) {
            deposed(reply.fence(), from);
        } else if (own.filter(fence -> fence > reply.fence()).isPresent()) {
            mActions.add(new MemberAction.Send(from, heartbeat(own.get())));
        } else if (mController.fence().filter(f -> f == reply.fence()).isPresent()) {
            mFollowers.answered(from, reply.storeSilent(), reply.heartbeat());
            mTargets.missedBy(reply)
                    .ifPresent(list -> mActions.add(new MemberAction.Send(from, list)));
            mPredecessors.answered(from, reply);
            checkPredecessors();
        }
    }

    private boolean isLaterTerm(long fence) {
        return mController.fence().filter(own -> own < fence).isPresent();
    }

    /** Ends the term; see {@link ControllerAuthority#deposed}. */
    private void deposed(long highest, String from) {
        log(ControllerAuthority.deposed(mController.fence().orElse(0L), highest, from));
        mMembership.deposed();
        updateTerm();
    }

    // Controller and pending jobs

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
        } else if (action instanceof CellAction.BroadcastTargets list) {
            broadcast(mTargets.createNext(mController.fence().orElseThrow(), list.targets()));
        } else if (action instanceof CellAction.BroadcastCrash crash) {
            broadcast(new CellMessage.Crashed(crash.task(), crash.target(), crash.evidence()));
        } else if (action instanceof CellAction.SendLoan loan) {
            mActions.add(new MemberAction.SendToCell(loan.address(), loan.cell(), loan.message()));
        } else if (action instanceof CellAction.Deposed deposed) {
            deposed(mPendingJobs.fence(), deposed.target());
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
        if (action instanceof EntryAction.Send send) {
            deliver(send.address(), send.message());
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
