package org.boragegap.core.dispatch;

import java.util.EnumMap;
import java.util.Map;

/** Counts what a dispatcher did, for metrics and dumps. */
public final class Counters {

    /** What is counted. */
    public enum Name {
        /** Submissions taken in, with those that were forwarded here. */
        SUBMISSIONS,
        /** Submissions answered with a complete result. */
        COMPLETE,
        /** Submissions refused or failed with nothing run. */
        NOT_RUN,
        /** Submissions failed with work that may have run. */
        MAY_HAVE_RUN,
        /** Submissions whose work ran and failed. */
        FAILED,
        /** Attempts sent to targets. */
        STARTS,
        /** Attempts that a target refused. */
        REFUSED_STARTS,
        /** Attempts that may have run and whose result was lost. */
        LOST_STARTS,
        /** Requests sent again after they may have run. */
        RETRIES,
        /** Results for attempts that were no longer waited for. */
        LATE_RESULTS,
        /** Submissions handed to another VM. */
        FORWARDS,
        /** Messages about claims and views sent to peers. */
        CLAIM_MESSAGES,
        /** Messages about room on targets sent to siblings. */
        LOAN_MESSAGES,
        /** Bundles passed to peers. */
        BUNDLES_PASSED,
        /** Records appended to the platform's log. */
        APPENDS
    }

    private final Map<Name, Long> mCounts = new EnumMap<>(Name.class);

    /** Adds one. */
    public void increment(Name name) {
        mCounts.merge(name, 1L, Long::sum);
    }

    /** The count so far. */
    public long count(Name name) {
        return mCounts.getOrDefault(name, 0L);
    }

    /** All counts. */
    public Map<Name, Long> all() {
        return new EnumMap<>(mCounts);
    }
}
