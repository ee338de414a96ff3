package org.boragegap.standin;

/** Behaviour of the log stand-in on one of its listeners. */
public enum LogMode {
    /** Answers without delay. */
    UP,
    /** Closes every connection without an answer. */
    DOWN,
    /** Answers after a delay. */
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
