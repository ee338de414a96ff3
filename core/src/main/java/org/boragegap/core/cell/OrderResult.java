package org.boragegap.core.cell;

/** What became of an order to a target: a start, a stop or a lease call. */
public enum OrderResult {
    /** Carried out. */
    DONE,
    /** Rejected for a passing cause; surely not run. */
    NOT_RUN,
    /** Not sent, since no connection could be had: nothing is known of the target. */
    NOT_SENT,
    /** Rejected: the target has seen this run number or a higher one. */
    OLD_RUN,
    /** Rejected: the target has seen a later controller. */
    FENCED,
    /** Rejected: there is no room on the target. */
    NO_ROOM,
    /** Another incarnation answers at the address. */
    OTHER_INCARNATION,
    /** No answer, or one that proves nothing; it may run now or seconds later. */
    UNKNOWN;

    /** True when the target that the order was for has answered it. */
    boolean answeredByTarget() {
        return this != UNKNOWN && this != NOT_SENT && this != OTHER_INCARNATION;
    }
}
