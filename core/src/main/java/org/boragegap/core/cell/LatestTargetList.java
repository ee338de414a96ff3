package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;

/** The latest list of targets that this VM has received, or has sent as the controller. */
final class LatestTargetList {
    private Optional<CellMessage.Targets> mLatest = Optional.empty();

    /** Takes a received list; an older one doesn't replace a newer one. */
    void received(CellMessage.Targets targets) {
        if (mLatest.isEmpty() || mLatest.get().isOlderThan(targets)) {
            mLatest = Optional.of(targets);
        }
    }

    /** Creates the next list of a term in which this VM controls the cell. */
    CellMessage.Targets createNext(long fence, List<TargetInfo> targets) {
        CellMessage.Targets message = new CellMessage.Targets(fence, version(fence) + 1, targets);
        mLatest = Optional.of(message);
        return message;
    }

    /** The latest list, if it is of this term. */
    Optional<CellMessage.Targets> ofTerm(long fence) {
        return mLatest.filter(latest -> latest.fence() == fence);
    }

    /** Version of the list of a term; 0 for none. */
    long version(long fence) {
        return ofTerm(fence).map(CellMessage.Targets::version).orElse(0L);
    }

    /**
     * The list to send to a VM that joined after it was sent, or lost the message. As the next
     * controller it could not tell where tasks may be running, and would start none before all
     * leases have expired; callers would wait for a second.
     */
    Optional<CellMessage.Targets> missedBy(CellMessage.HeartbeatReply reply) {
        return ofTerm(reply.fence()).filter(latest -> latest.version() > reply.targetsVersion());
    }
}
