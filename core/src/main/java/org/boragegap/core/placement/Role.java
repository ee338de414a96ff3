package org.boragegap.core.placement;

/** What a target is. */
public enum Role {
    /** Runs tasks of jobs and has processors, memory and accelerators. */
    WORKER,
    /** Serves requests of one service in a fixed number of slots. */
    MINION
}
