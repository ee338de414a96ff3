package org.boragegap.core.cell;

import java.util.Optional;

/** How surely a task was at work on a target when the target crashed. */
public enum CrashEvidence {
    /** Other targets without a task of its job were lost in the same moment. */
    COINCIDENT,
    /** Nobody knows: its order got no answer, or its end may have gone unheard. */
    POSSIBLE,
    /** The target had confirmed the run, and nobody had asked to stop it. */
    CONFIRMED;

    /**
     * What a run that is lost with its target says; empty while the answer to its order is under
     * way: it may never have been taken.
     */
    static Optional<CrashEvidence> of(Run run) {
        return switch (run.state()) {
            case STARTING -> Optional.empty();
            case UNCONFIRMED -> Optional.of(POSSIBLE);
            case RUNNING -> Optional.of(run.stopRequested() ? POSSIBLE : CONFIRMED);
        };
    }

    /** True when the task is more likely to have crashed the target than anything else. */
    boolean implicatesTask() {
        return this != COINCIDENT;
    }

    /** The stronger of two. */
    CrashEvidence stronger(CrashEvidence other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
