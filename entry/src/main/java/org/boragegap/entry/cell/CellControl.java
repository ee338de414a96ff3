package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellController;
import org.boragegap.core.cell.CellEvent;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.cell.CellSettings;
import org.boragegap.core.cell.CellState;
import org.boragegap.core.cell.Decision;
import org.boragegap.core.cell.EntryAction;
import org.boragegap.core.cell.EntryDesk;
import org.boragegap.core.cell.EntryEvent;
import org.boragegap.core.cell.Membership;
import org.boragegap.core.cell.TargetInfo;
import org.boragegap.http.HttpCaller;

/**
 * The control state of an entry process: its desk, its membership and, while it controls the cell,
 * the controller. To be used on the control thread alone.
 */
final class CellControl {
    /** Time between two heartbeats of a controller, in ms. */
    private static final long HEARTBEAT_MS = 150;

    /** A follower counts this long after its last answer to a heartbeat, in ms. */
    private static final long FOLLOWS_MS = 600;

    private final String mSelf;
    private final EntryDesk mDesk = EntryDesk.create();
    private final CellController mController;
    private final Membership mMembership;
    private final CellOutput mOutput;
    private final Map<String, Long> mFollowers = new HashMap<>();
    private Set<String> mPeers = Set.of();
    private long mBeatMs;
    private Optional<CellMessage.Targets> mTargets = Optional.empty();

    CellControl(String self, CellSettings settings, long groupLeaseMs, CellOutput output) {
        mSelf = self;
        mController = CellController.create(settings);
        mMembership = Membership.create(groupLeaseMs);
        mOutput = output;
    }

    CellState state() {
        return mController.state();
    }

    int waitingCallers() {
        return mDesk.waiting();
    }

    Optional<String> controller() {
        return mDesk.controller(HttpCaller.nowMs());
    }

    // Membership

    void peers(Set<String> peers) {
        boolean changed = !peers.equals(mPeers);
        mPeers = peers;
        if (changed && mController.fence().isPresent()) {
            mTargets.ifPresent(this::sendToAll);
        }
        mFollowers.keySet().retainAll(peers);
    }

    void joined(GroupKeeper.Joined joined) {
        boolean again =
                mMembership.joined(joined.generation(), joined.holdsCell(), joined.sentMs());
        followMembership();
        if (again) {
            mOutput.joinAgain();
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
            mOutput.followTargets(false);
        }
        if (held.isPresent()) {
            control(new CellEvent.TermBegan(held.get(), targetsBefore()));
            mOutput.followTargets(true);
            heartbeat();
        }
    }

    /** Targets of the last controller heard of, if it has told them. */
    private Optional<List<TargetInfo>> targetsBefore() {
        return mTargets.filter(told -> told.fence() == mDesk.fence()).map(told -> told.targets());
    }

    /** Gives the cell up, on a planned stop. */
    void resign() {
        mMembership.deposed();
        followMembership();
        desk(new EntryEvent.Draining());
    }

    void tick() {
        long nowMs = HttpCaller.nowMs();
        mMembership.tick(nowMs, followed(nowMs));
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
        mBeatMs = HttpCaller.nowMs();
        mController.fence().ifPresent(fence -> beat(new CellMessage.Leading(fence)));
    }

    private void beat(CellMessage.Leading leading) {
        sendToAll(leading);
        desk(new EntryEvent.ControllerHeard(mSelf, leading.fence()));
    }

    private void sendToAll(CellMessage message) {
        for (String peer : mPeers) {
            mOutput.send(peer, message);
        }
    }

    private void tellTargets(List<TargetInfo> targets) {
        long fence = mController.fence().orElseThrow();
        CellMessage.Targets message = new CellMessage.Targets(fence, targets);
        mTargets = Optional.of(message);
        sendToAll(message);
    }

    private boolean followed(long nowMs) {
        long followers =
                mFollowers.values().stream().filter(atMs -> nowMs - atMs <= FOLLOWS_MS).count();
        // This VM counts as one of them.
        return 2 * (followers + 1) > mPeers.size() + 1;
    }

    // Messages

    void message(String from, CellMessage message) {
        if (message instanceof CellMessage.Offer offer) {
            control(
                    new CellEvent.Offered(
                            from,
                            offer.request(),
                            offer.ageMs(),
                            offer.controllers(),
                            offer.number()));
        } else if (message instanceof CellMessage.Withdraw withdraw) {
            control(new CellEvent.Withdrawn(from, withdraw.job()));
        } else if (message instanceof CellMessage.Decided decided) {
            desk(new EntryEvent.Decided(decided.job(), decided.number(), decided.verdict()));
        } else if (message instanceof CellMessage.Leading leading) {
            leading(from, leading);
        } else if (message instanceof CellMessage.Targets targets) {
            if (mTargets.filter(known -> known.fence() > targets.fence()).isEmpty()) {
                mTargets = Optional.of(targets);
            }
        } else if (message instanceof CellMessage.Following following) {
            following(from, following);
        }
    }

    private void leading(String from, CellMessage.Leading leading) {
        if (isLater(leading.fence())) {
            deposed(leading.fence());
        }
        desk(new EntryEvent.ControllerHeard(from, leading.fence()));
        mOutput.send(from, new CellMessage.Following(mDesk.fence()));
    }

    private void following(String from, CellMessage.Following following) {
        if (isLater(following.fence())) {
            deposed(following.fence());
        } else if (mController.fence().filter(f -> f == following.fence()).isPresent()) {
            mFollowers.put(from, HttpCaller.nowMs());
        }
    }

    private boolean isLater(long fence) {
        return mController.fence().filter(own -> own < fence).isPresent();
    }

    private void deposed(long fence) {
        DecisionLog.write(Decision.self("deposed", "later_fence=" + fence, "gives the cell up"));
        mMembership.deposed();
        followMembership();
    }

    // The two halves

    void control(CellEvent event) {
        List<CellAction> actions = new ArrayList<>();
        mController.on(event, ControlThread.clock(), actions);
        actions.forEach(this::run);
    }

    private void run(CellAction action) {
        if (action instanceof CellAction.ExtendLease order) {
            mOutput.extend(order);
        } else if (action instanceof CellAction.StartRun order) {
            mOutput.start(order);
        } else if (action instanceof CellAction.StopRun order) {
            mOutput.stop(order);
        } else if (action instanceof CellAction.Answer answer) {
            tell(
                    answer.entry(),
                    new CellMessage.Decided(answer.job(), answer.number(), answer.verdict()));
        } else if (action instanceof CellAction.TellTargets told) {
            tellTargets(told.targets());
        } else if (action instanceof CellAction.Deposed) {
            deposed(mDesk.fence());
        } else if (action instanceof CellAction.Log log) {
            DecisionLog.write(log.decision());
        }
    }

    void desk(EntryEvent event) {
        List<EntryAction> actions = new ArrayList<>();
        mDesk.on(event, ControlThread.clock(), actions);
        actions.forEach(this::run);
    }

    private void run(EntryAction action) {
        if (action instanceof EntryAction.Tell tell) {
            tell(tell.address(), tell.message());
        } else if (action instanceof EntryAction.Reply reply) {
            mOutput.reply(reply);
        } else if (action instanceof EntryAction.Log log) {
            DecisionLog.write(log.decision());
        }
    }

    private void tell(String address, CellMessage message) {
        if (address.equals(mSelf)) {
            mOutput.deliverLater(message);
        } else {
            mOutput.send(address, message);
        }
    }
}
