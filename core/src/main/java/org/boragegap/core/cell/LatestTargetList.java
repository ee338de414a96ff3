package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;

/** The newest list of targets that this VM has been told, or has told the others itself. */
final class LatestTargetList {
    private Optional<CellMessage.Targets> mLatest = Optional.empty();

    /** Takes a list that was told; an older one doesn't replace a newer one. */
    void received(CellMessage.Targets targets) {
        if (mLatest.isEmpty() || mLatest.get().isOlderThan(targets)) {
            mLatest = Optional.of(targets);
        }
    }

    /** The next list of a term that this VM controls. */
    CellMessage.Targets createNext(long fence, List<TargetInfo> targets) {
        CellMessage.Targets message = new CellMessage.Targets(fence, version(fence) + 1, targets);
        mLatest = Optional.of(message);
        return message;
    }

    /** The list of a term. */
    Optional<CellMessage.Targets> ofTerm(long fence) {
        return mLatest.filter(told -> told.fence() == fence);
    }

    /** Version of the list of a term; 0 for none. */
    long version(long fence) {
        return ofTerm(fence).map(CellMessage.Targets::version).orElse(0L);
    }

    /** The list of a term, for a VM that has an earlier version of it. */
    Optional<CellMessage.Targets> ifNewerThan(long fence, long version) {
        return ofTerm(fence).filter(told -> told.version() > version);
    }
}
