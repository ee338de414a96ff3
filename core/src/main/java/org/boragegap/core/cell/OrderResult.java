package org.boragegap.core.cell;

/** The result of an order to a target: a start, a stop or a lease call. */
public enum OrderResult {
    /** Carried out. */
    DONE,
    /** Rejected for a temporary reason; certainly not run. */
    NOT_RUN,
    /** Not sent, since no connection could be established; nothing is known of the target. */
    NOT_SENT,
    /** Rejected: the target has seen this run number or a higher one. */
    OLD_RUN,
    /** Rejected: the target has seen a later controller. */
    FENCED,
    /** Rejected: the target does not have enough free capacity. */
    NO_ROOM,
    /** Another incarnation answers at the address. */
    OTHER_INCARNATION,
    /** No answer, or one that proves nothing; the order may be carried out now or seconds later. */
    UNKNOWN;

    /** True when the target that the order was sent to has answered it. */
    boolean answeredByTarget() {
        return this != UNKNOWN && this != NOT_SENT && this != OTHER_INCARNATION;
    }
}
