package org.boragegap.standin;

/** How the log stand-in behaves on one of its listeners. */
public enum LogMode {
    /** Answers at once. */
    UP,
    /** Closes every connection without an answer. */
    DOWN,
    /** Answers late. */
    SLOW,
    /** Appends, then closes the connection without an answer. */
    LOSE_REPLIES;

    boolean appends() {
        return this != DOWN;
    }

    boolean replies() {
        return this == UP || this == SLOW;
    }
}
