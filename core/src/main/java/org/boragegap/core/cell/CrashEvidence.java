package org.boragegap.core.cell;

import java.util.Optional;

/** How certain it is that a task was running on a target when the target crashed. */
public enum CrashEvidence {
    /** Other targets, which ran no task of its job, were lost at the same time. */
    COINCIDENT,
    /**
     * Unknown: the start order was not answered, or the end of the run may have gone unreported.
     */
    POSSIBLE,
    /** The target had confirmed the run, and no stop had been requested. */
    CONFIRMED;

    /**
     * The evidence given by a run that is lost with its target; empty while the answer to its start
     * order is pending, since the target may never have accepted the order.
     */
    static Optional<CrashEvidence> of(Run run) {
        return switch (run.state()) {
            case STARTING -> Optional.empty();
            case UNCONFIRMED -> Optional.of(POSSIBLE);
            case RUNNING -> Optional.of(run.stopRequested() ? POSSIBLE : CONFIRMED);
        };
    }

    /** True when the task is more likely than anything else to have crashed the target. */
    boolean implicatesTask() {
        return this != COINCIDENT;
    }

    /** The stronger of the two. */
    CrashEvidence stronger(CrashEvidence other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
