package org.boragegap.core.claim;

/**
 * A record on the log about a failure domain's view.
 *
 * @param domain the failure domain
 * @param kind whether the view is proposed or stated again
 * @param view the view
 * @param asOf a statement is true of the log up to this offset, which its author had read
 */
public record ViewRecord(String domain, Kind kind, DomainView view, long asOf) {

    /** A proposal; it depends on nothing but its place in the order. */
    public static ViewRecord proposal(String domain, DomainView view) {
        return new ViewRecord(domain, Kind.PROPOSED, view, -1);
    }

    /** A statement by an author that has read the log up to an offset. */
    public static ViewRecord statement(String domain, DomainView view, long asOf) {
        return new ViewRecord(domain, Kind.STATED, view, asOf);
    }

    /** How a record takes part in the order. */
    public enum Kind {
        /** Takes effect if its parent is the head when it is read. */
        PROPOSED,
        /** Repeats a view that took effect, so that it outlives the log's retention. */
        STATED
    }
}
