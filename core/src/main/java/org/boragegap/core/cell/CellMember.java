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
    private static final long READ_AGAIN_MS = 100;

    /** The same while no controller is heard; the group drops a silent member after a second. */
    private static final long READ_WHILE_MISSING_MS = 400;

    private final String mSelf;
    private final HeartbeatPace mPace = new HeartbeatPace();
    private final Heartbeats mHeartbeats = new Heartbeats();
    private final PendingJobs mDesk;
    private final CellController mController;
    private final Membership mMembership;

    private final Deque<MemberEvent> mToSelf = new ArrayDeque<>();
    private final Followers mFollowers = new Followers();
    private final KnownTargets mTargets = new KnownTargets();
    private final Predecessors mBefore = new Predecessors();
    private final ControllerSearch mSearch;
    private long mMembersReadMs;
    private ClockReading mClock;
    private List<MemberAction> mActions;

    private CellMember(
            String self, int cell, CellSettings settings, long groupLeaseMs, ClockReading began) {
        mSelf = self;
        mDesk = PendingJobs.create(mPace, began);
        mController = CellController.create(settings);
        mMembership = Membership.create(groupLeaseMs, began);
        mSearch = new ControllerSearch(self, cell, mMembership, mDesk, mFollowers, mPace);
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
        return mBefore.ownOver(clock.monotonicMs());
    }

    /**
     * True when timeouts of some ten ms are to be watched over: this VM controls the cell, or asks
     * for it. One that follows a controller has heartbeats to miss and callers to watch, whose
     * times are counted in hundreds of ms.
     */
    public boolean busy() {
        return wantsCell();
    }

    /** Time between two ticks while it isn't busy, in ms. */
    public long idleTickMs() {
        return mPace.tickMs();
    }

    /** How many callers wait here. */
    public int waitingCallers() {
        return mDesk.waitingCallers();
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
        while (!mToSelf.isEmpty()) {
            handle(mToSelf.poll());
        }
    }

    private void handle(MemberEvent event) {
        if (event instanceof MemberEvent.Joined joined) {
            joined(joined);
        } else if (event instanceof MemberEvent.PeersListed listed) {
            peers(listed);
        } else if (event instanceof MemberEvent.Received received) {
            received(received.from(), received.message());
        } else if (event instanceof MemberEvent.ForController control) {
            control(control.event());
        } else if (event instanceof MemberEvent.ForDesk desk) {
            desk(desk.event());
        } else if (event instanceof MemberEvent.Resigned) {
            resign();
        } else if (event instanceof MemberEvent.Closed) {
            desk(new EntryEvent.Draining());
        } else if (event instanceof MemberEvent.Ticked) {
            tick();
        }
    }

    // Membership

    private void joined(MemberEvent.Joined joined) {
        boolean holds = joined.holdsCell() && !followsAnother();
        boolean again = mMembership.joined(joined.generation(), holds, joined.sent(), mClock);
        followMembership();
        if (mMembership.justCame(mClock)) {
            readMembers();
        }
        if (again) {
            mActions.add(new MemberAction.JoinAgain());
        }
    }

    /**
     * Guards against a cell that is dealt to a VM which asks for it no longer: it has heard the
     * controller meanwhile, and would depose it in good health. The group hears of it with the next
     * join. What this VM has heard of itself, before its own term ended, doesn't count.
     */
    private boolean followsAnother() {
        Optional<String> heard = mDesk.controller(mClock.monotonicMs());
        return !wantsCell() && heard.filter(address -> !address.equals(mSelf)).isPresent();
    }

    private void peers(MemberEvent.PeersListed listed) {
        mFollowers.listed(listed.peers(), mClock.monotonicMs());
        if (mController.fence().isEmpty()) {
            return;
        }
        mBefore.membersListed(listed.peers(), listed.askedMs());
        settle();
    }

    /** Begins or ends the controller's term as the membership says. */
    private void followMembership() {
        Optional<Long> held = mMembership.fence();
        Optional<Long> term = mController.fence();
        if (held.equals(term)) {
            return;
        }
        if (term.isPresent()) {
            if (!mController.hasAffectedNoTarget()) {
                mBefore.ownTermEnded(term.get(), mClock.monotonicMs());
            }
            control(new CellEvent.TermEnded());
            if (!mMembership.dealtAway()) {
                // Told so, another VM asks for the cell at once. Where the group names another
                // holder already, one more that asks would only make it deal the cell again.
                sendToAll(new CellMessage.Leaving(term.get()));
            }
            mActions.add(new MemberAction.FollowTargets(false));
        }
        if (held.isPresent()) {
            Optional<CellMessage.Targets> inherited = targetsBefore();
            long inheritedFence = inherited.map(CellMessage.Targets::fence).orElse(0L);
            mBefore.termBegan(inheritedFence, mClock.monotonicMs());
            control(
                    new CellEvent.TermBegan(
                            held.get(), inherited.map(CellMessage.Targets::targets)));
            readMembers();
            mActions.add(new MemberAction.FollowTargets(true));
            heartbeat();
        }
    }

    /** Looks for a controller while none is heard, and asks for the cell when it is its turn. */
    private void search() {
        boolean controls = mController.fence().isPresent();
        boolean able = mController.knowsEvacuations();
        boolean read = mSearch.look(controls, able, mClock, mActions);
        if (read && mClock.monotonicMs() - mMembersReadMs >= READ_WHILE_MISSING_MS) {
            readMembers();
        }
    }

    private void readMembers() {
        mMembersReadMs = mClock.monotonicMs();
        mActions.add(new MemberAction.ReadMembers());
    }

    /** Finds out whether an earlier controller's tasks may still be at work. */
    private void settle() {
        Set<String> vms = mFollowers.peers();
        if (!mBefore.learn(vms, mMembership.steady(mClock), mClock.monotonicMs())) {
            return;
        }
        Predecessors.Knowledge known = mBefore.known();
        log(Decision.self("predecessors", "vms=" + vms.size(), known.name()));
        if (known.enough()) {
            boolean over = known == Predecessors.Knowledge.OVER;
            control(new CellEvent.PredecessorsKnown(over));
        }
    }

    /** Whether this VM asks the group for the cell. */
    public boolean wantsCell() {
        return mSearch.asks() || mController.fence().isPresent();
    }

    /**
     * Whether callers do well to come here. A VM that hears neither the store nor a controller
     * can't serve them; told so, the platform sends them to other failure domains.
     */
    public boolean servesCallers(ClockReading clock) {
        boolean isolated = mMembership.storeSilent(clock);
        return !isolated || mDesk.controller(clock.monotonicMs()).isPresent();
    }

    /** Another VM misses the controller; it may have come just now, and be unknown here. */
    private void missing(String from, CellMessage.Missing missing) {
        mFollowers.met(from, mClock.monotonicMs());
        mSearch.missedBy(from, missing.strength(), mClock);
        if (isLater(missing.fence())) {
            deposed(missing.fence());
        }
        mController
                .fence()
                .ifPresent(own -> mActions.add(new MemberAction.Send(from, leading(own))));
    }

    /** Targets of the last controller heard of, if it has told them. */
    private Optional<CellMessage.Targets> targetsBefore() {
        return mTargets.ofTerm(mDesk.fence());
    }

    private void resign() {
        mMembership.resign();
        followMembership();
        mActions.add(new MemberAction.JoinAgain());
    }

    private void tick() {
        long nowMs = mClock.monotonicMs();
        mDesk.compensateForStall(mHeartbeats.ticked(nowMs, mPace.tickMs()), nowMs);
        mMembership.tick(mClock, vouched());
        followMembership();
        search();
        if (mController.fence().isPresent()) {
            control(new CellEvent.Ticked());
            boolean settled = mBefore.known().enough();
            if (!settled && nowMs - mMembersReadMs >= READ_AGAIN_MS) {
                readMembers();
            }
            if (mHeartbeats.due(settled, mFollowers.peers().size(), nowMs)) {
                heartbeat();
            }
        }
        desk(new EntryEvent.Ticked());
    }

    private void heartbeat() {
        mHeartbeats.sent(mClock.monotonicMs());
        Optional<Long> fence = mController.fence();
        if (fence.isPresent()) {
            CellMessage.Leading leading = leading(fence.get());
            mPace.stated(leading.periodMs());
            sendToAll(leading);
            desk(new EntryEvent.ControllerHeard(mSelf, fence.get()));
        }
    }

    private void sendToAll(CellMessage message) {
        for (String peer : mFollowers.peers()) {
            mActions.add(new MemberAction.Send(peer, message));
        }
    }

    private void tellTargets(List<TargetInfo> targets) {
        sendToAll(mTargets.next(mController.fence().orElseThrow(), targets));
    }

    private CellMessage.Leading leading(long fence) {
        long periodMs = mHeartbeats.periodMs(mFollowers.peers().size());
        return new CellMessage.Leading(fence, mClock, periodMs);
    }

    /** Since when most others follow this VM without the store, while it hears nothing of it. */
    private Optional<ClockReading> vouched() {
        return mMembership.storeSilent(mClock) ? mFollowers.vouched(mClock) : Optional.empty();
    }

    // Messages

    private void received(String from, CellMessage message) {
        if (message instanceof CellMessage.Offer offer) {
            offered(from, offer);
        } else if (message instanceof CellMessage.Withdraw withdraw) {
            control(new CellEvent.Withdrawn(from, withdraw.job()));
        } else if (message instanceof CellMessage.Decided decided) {
            desk(new EntryEvent.Decided(decided.job(), decided.number(), decided.verdict()));
        } else if (message instanceof CellMessage.Leading leading) {
            leading(from, leading);
        } else if (message instanceof CellMessage.Leaving leaving) {
            desk(new EntryEvent.ControllerLeft(leaving.fence()));
            search();
        } else if (message instanceof CellMessage.Missing missing) {
            missing(from, missing);
        } else if (message instanceof CellMessage.Targets targets) {
            mTargets.told(targets);
        } else if (message instanceof CellMessage.Crashed crashed) {
            control(
                    new CellEvent.CrashReported(
                            crashed.task(), crashed.target(), crashed.evidence()));
        } else if (message instanceof CellMessage.Following following) {
            following(from, following);
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
            control(
                    new CellEvent.Offered(
                            from,
                            offer.request(),
                            offer.ageMs(),
                            offer.budgetMs(),
                            offer.controllers(),
                            offer.number()));
        }
    }

    private void leading(String from, CellMessage.Leading leading) {
        if (isLater(leading.fence())) {
            deposed(leading.fence());
        }
        if (leading.fence() >= mDesk.fence()) {
            mPace.stated(leading.periodMs());
        }
        desk(new EntryEvent.ControllerHeard(from, leading.fence()));
        if (mController.fence().isEmpty() && leading.fence() == mDesk.fence()) {
            mSearch.controllerHeard(from, mActions);
        }
        mActions.add(new MemberAction.Send(from, following(leading.sent())));
    }

    private CellMessage.Following following(ClockReading heartbeat) {
        boolean cutOff = mMembership.storeSilent(mClock);
        if (cutOff) {
            mMembership.vouched(mClock);
        }
        boolean steady = mMembership.steady(mClock);
        long fence = mDesk.fence();
        return new CellMessage.Following(
                fence,
                heartbeat,
                cutOff,
                steady,
                mBefore.ownFence(),
                mBefore.ownEndedAgoMs(mClock.monotonicMs()),
                mTargets.version(fence));
    }

    private void following(String from, CellMessage.Following following) {
        mFollowers.met(from, mClock.monotonicMs());
        Optional<Long> own = mController.fence();
        if (isLater(following.fence())) {
            deposed(following.fence());
        } else if (own.filter(fence -> fence > following.fence()).isPresent()) {
            mActions.add(new MemberAction.Send(from, leading(own.get())));
        } else if (mController.fence().filter(f -> f == following.fence()).isPresent()) {
            mFollowers.answered(from, following.cutOff(), following.heartbeat());
            bringUpToDate(from, following);
            mBefore.answered(from, following);
            settle();
        }
    }

    /**
     * Guards against a VM that has missed the list of targets: it came while the list stood, or the
     * message was lost. Should it control the cell next, it could not tell where tasks may be at
     * work, and would start none before all leases are over; callers would wait for a second.
     */
    private void bringUpToDate(String peer, CellMessage.Following following) {
        mTargets.newerThan(following.fence(), following.targetsVersion())
                .ifPresent(told -> mActions.add(new MemberAction.Send(peer, told)));
    }

    private boolean isLater(long fence) {
        return mController.fence().filter(own -> own < fence).isPresent();
    }

    private void deposed(long fence) {
        log(Decision.self("deposed", "later_fence=" + fence, "gives the cell up"));
        mMembership.deposed();
        followMembership();
    }

    // The two halves

    private void control(CellEvent event) {
        List<CellAction> actions = new ArrayList<>();
        mController.exclusiveUntil(mMembership.actsUntilMs(mClock));
        mController.on(event, mClock, actions);
        actions.forEach(this::run);
    }

    private void run(CellAction action) {
        if (action instanceof CellAction.Answer answer) {
            tell(
                    answer.entryVm(),
                    new CellMessage.Decided(answer.job(), answer.number(), answer.verdict()));
        } else if (action instanceof CellAction.BroadcastTargets told) {
            tellTargets(told.targets());
        } else if (action instanceof CellAction.BroadcastCrash crash) {
            sendToAll(new CellMessage.Crashed(crash.task(), crash.target(), crash.evidence()));
        } else if (action instanceof CellAction.Deposed) {
            deposed(mDesk.fence());
        } else if (action instanceof CellAction.Log log) {
            log(log.decision());
        } else {
            mActions.add(new MemberAction.Order(action));
        }
    }

    private void desk(EntryEvent event) {
        List<EntryAction> actions = new ArrayList<>();
        mDesk.on(event, mClock, actions);
        actions.forEach(this::run);
    }

    private void run(EntryAction action) {
        if (action instanceof EntryAction.Send tell) {
            tell(tell.address(), tell.message());
        } else if (action instanceof EntryAction.Reply reply) {
            mActions.add(new MemberAction.Reply(reply));
        } else if (action instanceof EntryAction.Log log) {
            log(log.decision());
        }
    }

    private void tell(String address, CellMessage message) {
        if (address.equals(mSelf)) {
            mToSelf.add(new MemberEvent.Received(mSelf, message));
        } else {
            mActions.add(new MemberAction.Send(address, message));
        }
    }

    private void log(Decision decision) {
        mActions.add(new MemberAction.Log(decision));
    }
}
