package org.boragegap.core.placement;

/** What kind of work a target runs. */
public enum Role {
    /** Runs tasks of jobs on its processors, memory and accelerators. */
    WORKER,
    /** Serves requests of one service in a fixed number of slots. */
    MINION
}
