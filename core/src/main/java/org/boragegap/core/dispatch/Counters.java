package org.boragegap.core.dispatch;

import java.util.EnumMap;
import java.util.Map;

/** Counters of a dispatcher, for metrics and dumps. */
public final class Counters {

    /** The counters. */
    public enum Name {
        /** Submissions received, including those that were forwarded here. */
        SUBMISSIONS,
        /** Submissions answered with a complete result. */
        COMPLETE,
        /** Submissions rejected or failed of which nothing was run. */
        NOT_RUN,
        /** Submissions failed of which something may have run. */
        MAY_HAVE_RUN,
        /**
         * Submissions that failed because a task ran and failed, or that were cancelled after a
         * start.
         */
        FAILED,
        /** Attempts sent to targets. */
        STARTS,
        /** Attempts that a target refused. */
        REFUSED_STARTS,
        /** Attempts that may have run and whose result was lost. */
        LOST_STARTS,
        /** Requests sent again after they may have run. */
        RETRIES,
        /** Results and answers that came for an attempt or forward that is no longer known. */
        LATE_RESULTS,
        /** Submissions forwarded to another VM. */
        FORWARDS,
        /** Messages about claims and views sent to peers. */
        CLAIM_MESSAGES,
        /**
         * Messages about loans of slots on targets sent to other entry VMs of the failure domain.
         */
        LOAN_MESSAGES,
        /** Bundles sent to peers. */
        BUNDLES_PASSED,
        /** Records appended to the platform's log. */
        APPENDS
    }

    private final Map<Name, Long> mCounts = new EnumMap<>(Name.class);

    /** Adds one to a counter. */
    public void increment(Name name) {
        mCounts.merge(name, 1L, Long::sum);
    }

    /** The value of a counter. */
    public long count(Name name) {
        return mCounts.getOrDefault(name, 0L);
    }

    /** A copy of all counters that aren't zero. */
    public Map<Name, Long> all() {
        return new EnumMap<>(mCounts);
    }
}
