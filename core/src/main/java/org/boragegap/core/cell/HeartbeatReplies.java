package org.boragegap.core.cell;

import org.boragegap.core.ClockReading;

/** Creates replies to heartbeats. */
final class HeartbeatReplies {
    private HeartbeatReplies() {}

    /**
     * Creates the reply of this VM; endorses the controller while the store is silent.
     *
     * @param fence highest fencing token that this VM has seen
     */
    static CellMessage.HeartbeatReply reply(
            Membership membership,
            Predecessors predecessors,
            long fence,
            LatestTargetList targets,
            CellMessage.Heartbeat heartbeat,
            ClockReading clock) {
        boolean storeSilent = membership.storeSilent(clock);
        if (storeSilent) {
            membership.endorsedController(clock);
        }
        return new CellMessage.HeartbeatReply(
                fence,
                heartbeat.sent(),
                storeSilent,
                membership.sawNoOutage(clock),
                predecessors.lastOwnFence(),
                predecessors.lastOwnTermEndedAgoMs(clock.monotonicMs()),
                targets.version(fence),
                predecessors.lastOwnTermBorrowed());
    }
}
