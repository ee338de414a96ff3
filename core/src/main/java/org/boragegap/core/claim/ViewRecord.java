package org.boragegap.core.claim;

/**
 * A record on the log about a failure domain's view.
 *
 * @param domain the failure domain
 * @param kind whether the view is proposed or stated again
 * @param view the view
 * @param asOf offset up to which a statement's author had read the log; -1 for a proposal
 */
public record ViewRecord(String domain, Kind kind, DomainView view, long asOf) {

    /** Creates a proposal; whether it takes effect depends only on its position on the log. */
    public static ViewRecord proposal(String domain, DomainView view) {
        return new ViewRecord(domain, Kind.PROPOSED, view, -1);
    }

    /** Creates a statement whose author has read the log up to an offset. */
    public static ViewRecord statement(String domain, DomainView view, long asOf) {
        return new ViewRecord(domain, Kind.STATED, view, asOf);
    }

    /** Kind of a view record. */
    public enum Kind {
        /** Takes effect if its parent is the current view when it is read. */
        PROPOSED,
        /** Repeats a view that took effect, so that the view outlives the log's retention. */
        STATED
    }
}
