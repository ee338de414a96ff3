package org.boragegap.core.claim;

/**
 * A record on the log about a failure domain's view.
 *
 * @param domain the failure domain
 * @param kind whether the view is proposed or stated again
 * @param view the view
 */
public record ViewRecord(String domain, Kind kind, DomainView view) {

    /** How a record takes part in the order. */
    public enum Kind {
        /** Takes effect if its parent is the head when it is read. */
        PROPOSED,
        /** Repeats a view that took effect, so that it outlives the log's retention. */
        STATED
    }
}
