package org.boragegap.core.cell;

/** What became of the order to start a run. */
public enum StartResult {
    /** It runs, or has run. */
    STARTED,
    /** Not sent, or rejected for a passing cause; surely not run. */
    NOT_RUN,
    /** Rejected: the target has seen this run number or a higher one. */
    OLD_RUN,
    /** Rejected: the target has seen a later controller. */
    FENCED,
    /** Rejected: there is no room on the target. */
    NO_ROOM,
    /** Another incarnation answers at the address. */
    OTHER_INCARNATION,
    /** No answer; it may run now or seconds later. */
    UNKNOWN
}
