package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellMember;
import org.boragegap.core.cell.CellState;
import org.boragegap.core.cell.MemberAction;
import org.boragegap.core.cell.MemberEvent;

/** Feeds the member of one cell its events and carries its actions out. For the control thread. */
final class CellMemberDriver {
    private final CellMember mMember;
    private final CellOutput mOutput;
    private long mLastTickMs;
    private volatile boolean mWantsCell;
    private volatile boolean mCanServeCallers = true;

    CellMemberDriver(CellMember member, CellOutput output) {
        mMember = member;
        mOutput = output;
    }

    CellState state() {
        return mMember.state();
    }

    boolean mayLeave() {
        return mMember.mayLeave(ControlThread.clock());
    }

    /** True when timeouts of some ten ms are to be watched over. */
    boolean needsShortTicks() {
        return mMember.needsShortTicks();
    }

    /** Time between two ticks while it isn't busy, in ms. */
    long idleTickMs() {
        return mMember.idleTickMs();
    }

    int waitingCallers() {
        return mMember.waitingCallers();
    }

    /** See {@link CellMember#strength}. */
    void strength(int strength) {
        mMember.strength(strength);
    }

    /** Time has passed; a cell without anything that can't wait is ticked less often. */
    void tick(long nowMs) {
        if (mMember.needsShortTicks() || nowMs - mLastTickMs >= mMember.idleTickMs()) {
            mLastTickMs = nowMs;
            on(new MemberEvent.Ticked());
        }
    }

    void on(MemberEvent event) {
        List<MemberAction> actions = new ArrayList<>();
        mMember.on(event, ControlThread.clock(), actions);
        mWantsCell = mMember.wantsCell();
        mCanServeCallers = mMember.canServeCallers(ControlThread.clock());
        actions.forEach(this::execute);
    }

    /** Whether this VM should ask the group for the cell; to be read on any thread. */
    boolean wantsCell() {
        return mWantsCell;
    }

    /** Whether callers do well to come to this VM; to be read on any thread. */
    boolean canServeCallers() {
        return mCanServeCallers;
    }

    private void execute(MemberAction action) {
        if (action instanceof MemberAction.Send send) {
            mOutput.send(send.address(), send.message());
        } else if (action instanceof MemberAction.Order order) {
            execute(order.order());
        } else if (action instanceof MemberAction.Reply reply) {
            mOutput.reply(reply.reply());
        } else if (action instanceof MemberAction.WatchTargets follow) {
            mOutput.watchTargets(follow.watch());
        } else if (action instanceof MemberAction.ReadMembers) {
            mOutput.readMembers();
        } else if (action instanceof MemberAction.Rejoin) {
            mOutput.rejoin();
        } else if (action instanceof MemberAction.Log log) {
            DecisionLog.write(log.decision());
        }
    }

    private void execute(CellAction order) {
        if (order instanceof CellAction.ExtendLease extend) {
            mOutput.extend(extend);
        } else if (order instanceof CellAction.StartRun start) {
            mOutput.start(start);
        } else if (order instanceof CellAction.StopRun stop) {
            mOutput.stop(stop);
        }
    }
}
