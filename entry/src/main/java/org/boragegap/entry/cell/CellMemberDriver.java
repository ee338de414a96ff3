package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellMember;
import org.boragegap.core.cell.CellState;
import org.boragegap.core.cell.MemberAction;
import org.boragegap.core.cell.MemberEvent;
import org.boragegap.entry.DecisionLog;

/**
 * Passes events to the {@link CellMember} of one cell and executes the actions that it returns.
 * Used by the control thread only, except where noted.
 */
final class CellMemberDriver {
    private final int mCell;
    private final CellMember mMember;
    private final CellOutput mOutput;
    private final CellMetrics mMetrics;
    private long mLastTickMs;
    private volatile boolean mWantsCell;
    private volatile boolean mCanServeCallers = true;

    CellMemberDriver(int cell, CellMember member, CellOutput output, CellMetrics metrics) {
        mCell = cell;
        mMember = member;
        mOutput = output;
        mMetrics = metrics;
    }

    CellState state() {
        return mMember.state();
    }

    boolean mayLeave() {
        return mMember.mayLeave(ControlThread.clock());
    }

    /** See {@link CellMember#needsShortTicks}. */
    boolean needsShortTicks() {
        return mMember.needsShortTicks();
    }

    /** Interval between ticks while {@link #needsShortTicks} is false, in ms. */
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

    /** Ticks the member; without short timeouts, only once its idle interval has passed. */
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

    /** {@link CellMember#wantsCell} as of the last event. May be called on any thread. */
    boolean wantsCell() {
        return mWantsCell;
    }

    /** {@link CellMember#canServeCallers} as of the last event. May be called on any thread. */
    boolean canServeCallers() {
        return mCanServeCallers;
    }

    private void execute(MemberAction action) {
        if (action instanceof MemberAction.Send send) {
            mOutput.send(send.address(), send.message());
        } else if (action instanceof MemberAction.SendToCell send) {
            mOutput.sendToCell(send.address(), send.cell(), send.message());
        } else if (action instanceof MemberAction.Order order) {
            execute(order.order());
        } else if (action instanceof MemberAction.Reply reply) {
            mOutput.reply(reply.reply());
        } else if (action instanceof MemberAction.WatchTargets watch) {
            mOutput.watchTargets(watch.watch());
        } else if (action instanceof MemberAction.ReadMembers) {
            mOutput.readMembers();
        } else if (action instanceof MemberAction.CheckHold check) {
            mOutput.checkHold(check.check());
        } else if (action instanceof MemberAction.Rejoin) {
            mOutput.rejoin();
        } else if (action instanceof MemberAction.Log log) {
            DecisionLog.write(mCell, log.decision());
            mMetrics.decided(log.decision());
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
