package org.boragegap.standin;

/** How a worker or minion stand-in behaves. */
public enum TargetMode {
    /** Runs what it is given. */
    NORMAL,
    /** Fails everything at once. */
    FAIL_ALL,
    /** Starts what it is given and never answers. */
    FREEZE,
    /** Starts what it is given and closes the connection without an answer. */
    DROP,
    /** Refuses what it is given, since it is going away. */
    LEAVING,
    /** Refuses what it is given, since it has no room. */
    BUSY,
    /** Runs what it is given and answers for another task. */
    MIX_UP,
    /** Runs what it is given and cuts the answer short. */
    CUT_SHORT;

    boolean startsTasks() {
        return this != LEAVING && this != BUSY;
    }
}
