package org.boragegap.core.cell;

import org.boragegap.core.ClockReading;

/** Creates this VM's replies to heartbeats. */
final class HeartbeatReplies {
    private final Membership mMembership;
    private final Predecessors mPredecessors;
    private final LatestTargetList mTargets;

    HeartbeatReplies(Membership membership, Predecessors predecessors, LatestTargetList targets) {
        mMembership = membership;
        mPredecessors = predecessors;
        mTargets = targets;
    }

    /**
     * Creates a reply; endorses the controller while the store is silent.
     *
     * @param fence highest fencing token that this VM has seen
     */
    CellMessage reply(CellMessage.Heartbeat heartbeat, long fence, ClockReading clock) {
        boolean storeSilent = mMembership.storeSilent(clock);
        if (storeSilent) {
            mMembership.endorsedController(clock);
        }
        return new CellMessage.HeartbeatReply(
                fence,
                heartbeat.sent(),
                storeSilent,
                mMembership.sawNoOutage(clock),
                mPredecessors.lastOwnFence(),
                mPredecessors.lastOwnTermEndedAgoMs(clock.monotonicMs()),
                mTargets.version(fence),
                mPredecessors.lastOwnTermBorrowed());
    }
}
