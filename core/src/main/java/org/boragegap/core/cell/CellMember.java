package org.boragegap.core.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;

/**
 * All decisions of one entry VM: its desk, its membership and, while it controls the cell, the
 * controller; and what they say to the other entry VMs.
 */
public final class CellMember {
    /** Time between two heartbeats of a controller, in ms. */
    private static final long HEARTBEAT_MS = 150;

    /** A follower counts this long after its last answer to a heartbeat, in ms. */
    private static final long FOLLOWS_MS = 600;

    private final String mSelf;
    private final EntryDesk mDesk = EntryDesk.create();
    private final CellController mController;
    private final Membership mMembership;

    /** Followers that can't join the group either, and when they said so. */
    private final Map<String, Long> mCutOffFollowers = new HashMap<>();

    private final Deque<MemberEvent> mToSelf = new ArrayDeque<>();
    private Set<String> mPeers = Set.of();
    private Optional<CellMessage.Targets> mTargets = Optional.empty();
    private String mPredecessor = "";
    private long mBeatMs;
    private ClockReading mClock;
    private List<MemberAction> mActions;

    private CellMember(String self, CellSettings settings, long groupLeaseMs) {
        mSelf = self;
        mController = CellController.create(settings);
        mMembership = Membership.create(groupLeaseMs);
    }

    /**
     * Makes a member.
     *
     * @param self peer address of this VM
     * @param settings bounds of the platform
     * @param groupLeaseMs how long the group keeps a silent member, in ms
     */
    public static CellMember create(String self, CellSettings settings, long groupLeaseMs) {
        return new CellMember(self, settings, groupLeaseMs);
    }

    /** What the controller has in hand. */
    public CellState state() {
        return mController.state();
    }

    /** Fencing token, while this VM controls the cell. */
    public Optional<Long> fence() {
        return mController.fence();
    }

    /** How many callers wait here. */
    public int waitingCallers() {
        return mDesk.waiting();
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
            peers(listed.peers());
        } else if (event instanceof MemberEvent.Received received) {
            received(received.from(), received.message());
        } else if (event instanceof MemberEvent.ForController control) {
            control(control.event());
        } else if (event instanceof MemberEvent.ForDesk desk) {
            desk(desk.event());
        } else if (event instanceof MemberEvent.Resigned) {
            resign();
        } else if (event instanceof MemberEvent.Ticked) {
            tick();
        }
    }

    // Membership

    private void joined(MemberEvent.Joined joined) {
        boolean again = mMembership.joined(joined.generation(), joined.holdsCell(), joined.sent());
        followMembership();
        if (again) {
            mActions.add(new MemberAction.JoinAgain());
        }
    }

    private void peers(Set<String> peers) {
        boolean changed = !peers.equals(mPeers);
        mPeers = peers;
        mCutOffFollowers.keySet().retainAll(peers);
        if (mController.fence().isEmpty()) {
            return;
        }
        if (changed) {
            mTargets.ifPresent(this::sendToAll);
        }
        if (!peers.contains(mPredecessor) && mMembership.steady(mClock)) {
            control(new CellEvent.PredecessorLapsed());
        }
    }

    /** Begins or ends the controller's term as the membership says. */
    private void followMembership() {
        Optional<Long> held = mMembership.fence();
        Optional<Long> term = mController.fence();
        if (held.equals(term)) {
            return;
        }
        if (term.isPresent()) {
            control(new CellEvent.TermEnded());
            mActions.add(new MemberAction.FollowTargets(false));
        }
        if (held.isPresent()) {
            mPredecessor = mDesk.lastController();
            control(new CellEvent.TermBegan(held.get(), targetsBefore()));
            mActions.add(new MemberAction.ReadMembers());
            mActions.add(new MemberAction.FollowTargets(true));
            heartbeat();
        }
    }

    /** Targets of the last controller heard of, if it has told them. */
    private Optional<List<TargetInfo>> targetsBefore() {
        return mTargets.filter(told -> told.fence() == mDesk.fence()).map(told -> told.targets());
    }

    private void resign() {
        mMembership.resign();
        followMembership();
        desk(new EntryEvent.Draining());
    }

    private void tick() {
        long nowMs = mClock.monotonicMs();
        mMembership.tick(mClock, storeAway(nowMs));
        followMembership();
        if (mController.fence().isPresent()) {
            control(new CellEvent.Ticked());
            if (nowMs - mBeatMs >= HEARTBEAT_MS) {
                heartbeat();
            }
        }
        desk(new EntryEvent.Ticked());
    }

    private void heartbeat() {
        mBeatMs = mClock.monotonicMs();
        Optional<Long> fence = mController.fence();
        if (fence.isPresent()) {
            sendToAll(new CellMessage.Leading(fence.get()));
            desk(new EntryEvent.ControllerHeard(mSelf, fence.get()));
        }
    }

    private void sendToAll(CellMessage message) {
        for (String peer : mPeers) {
            mActions.add(new MemberAction.Send(peer, message));
        }
    }

    private void tellTargets(List<TargetInfo> targets) {
        long fence = mController.fence().orElseThrow();
        CellMessage.Targets message = new CellMessage.Targets(fence, targets);
        mTargets = Optional.of(message);
        sendToAll(message);
    }

    private boolean storeAway(long nowMs) {
        long followers =
                mCutOffFollowers.values().stream()
                        .filter(atMs -> nowMs - atMs <= FOLLOWS_MS)
                        .count();
        // This VM counts as one of them.
        return mMembership.cutOff(mClock) && 2 * (followers + 1) > mPeers.size() + 1;
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
        } else if (message instanceof CellMessage.Targets targets) {
            targets(targets);
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
                            offer.controllers(),
                            offer.number()));
        }
    }

    private void targets(CellMessage.Targets targets) {
        boolean known = mTargets.filter(told -> told.fence() > targets.fence()).isPresent();
        if (!known) {
            mTargets = Optional.of(targets);
        }
    }

    private void leading(String from, CellMessage.Leading leading) {
        if (isLater(leading.fence())) {
            deposed(leading.fence());
        }
        desk(new EntryEvent.ControllerHeard(from, leading.fence()));
        mActions.add(
                new MemberAction.Send(
                        from,
                        new CellMessage.Following(mDesk.fence(), mMembership.cutOff(mClock))));
    }

    private void following(String from, CellMessage.Following following) {
        if (isLater(following.fence())) {
            deposed(following.fence());
        } else if (mController.fence().filter(f -> f == following.fence()).isPresent()) {
            noteFollower(from, following.cutOff());
        }
    }

    private void noteFollower(String from, boolean cutOff) {
        if (cutOff) {
            mCutOffFollowers.put(from, mClock.monotonicMs());
        } else {
            mCutOffFollowers.remove(from);
        }
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
        mController.actsUntil(mMembership.actsUntilMs(mClock));
        mController.on(event, mClock, actions);
        actions.forEach(this::run);
    }

    private void run(CellAction action) {
        if (action instanceof CellAction.Answer answer) {
            tell(
                    answer.entry(),
                    new CellMessage.Decided(answer.job(), answer.number(), answer.verdict()));
        } else if (action instanceof CellAction.TellTargets told) {
            tellTargets(told.targets());
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
        if (action instanceof EntryAction.Tell tell) {
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
