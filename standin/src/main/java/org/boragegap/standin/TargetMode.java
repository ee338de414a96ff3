package org.boragegap.standin;

/** Behaviour of a worker or minion stand-in. */
public enum TargetMode {
    /** Runs every task. */
    NORMAL,
    /** Starts every task and reports at once that it failed. */
    FAIL_ALL,
    /** Starts every task and never answers. */
    FREEZE,
    /** Starts every task and closes the connection without an answer. */
    DROP,
    /** Refuses every task because it is leaving. */
    LEAVING,
    /** Refuses every task because it is at capacity. */
    BUSY,
    /** Runs every task and answers with the report of another task. */
    MIX_UP,
    /** Runs every task and truncates the answer. */
    CUT_SHORT;

    boolean startsTasks() {
        return this != LEAVING && this != BUSY;
    }
}
