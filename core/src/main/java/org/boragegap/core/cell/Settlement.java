package org.boragegap.core.cell;

import java.util.List;

/**
 * Whether a term knows everything that earlier controllers started, so that it may start tasks.
 *
 * <p>A job that an earlier controller accepted may still run on a target that has not reported;
 * starting its tasks elsewhere would run them twice at the same time. So either the leases of
 * earlier controllers have expired, or each target of the last controller has reported.
 *
 * <p>Expired leases prove less for a target that may have restarted under the same id: an order of
 * an earlier term that is carried out late may have extended the lease of its new incarnation, or
 * may start a task there until that has seen this term's fencing token. Such targets are asked in
 * any case.
 */
final class Settlement {
    /**
     * Added to the longest lease, as measured by a clock that is 2% slow, in ms. After that time in
     * a term, nothing that an earlier controller started can still run on a target that has not
     * reported. The margin covers an order that was in flight when the earlier controller gave up
     * the cell.
     */
    private static final long SETTLE_MARGIN_MS = 100;

    /**
     * How long a term waits for the first reports of targets that may restart under the same id, in
     * ms: as long as an order may take.
     */
    private static final long FIRST_REPORT_WAIT_MS = 250;

    /** Maximum number of targets that a log entry names. */
    private static final int MAX_LOGGED_TARGETS = 8;

    private final Term mTerm;
    private final CellSettings mSettings;
    private boolean mPredecessorsKnown;
    private boolean mPredecessorLeasesExpired;
    private boolean mSettled;

    Settlement(Term term, CellSettings settings) {
        mTerm = term;
        mSettings = settings;
    }

    /** See {@link CellEvent.PredecessorsKnown}. */
    void predecessorsKnown(boolean leasesExpired) {
        mPredecessorsKnown = true;
        mPredecessorLeasesExpired = leasesExpired;
    }

    /** True when the term was settled at the last update. */
    boolean settled() {
        return mSettled;
    }

    /** Settles the term if enough is known now; returns true when it is settled. */
    boolean update() {
        if (!mSettled && restartableTargetsAsked() && (leasesExpired() || predecessorsReported())) {
            mSettled = true;
            mTerm.log(Decision.self("settled", inputs(), "tasks may start"));
        }
        return mSettled;
    }

    private long ageMs() {
        return mTerm.nowMs() - mTerm.sinceMs();
    }

    private boolean leasesExpired() {
        // Controllers never request a longer lease than this, even if a target would grant one.
        long leaseMs = Math.min(mSettings.maxLeaseMs(), LeaseManager.LEASE_MS);
        long settledAfterMs = (long) (leaseMs / Target.MIN_CLOCK_RATE) + SETTLE_MARGIN_MS;
        return ageMs() > settledAfterMs && !mTerm.targets().isEmpty();
    }

    private boolean predecessorsReported() {
        return mPredecessorsKnown && (mPredecessorLeasesExpired || allReported());
    }

    /** True when there are targets and each of them has reported in this term. */
    private boolean allReported() {
        return !mTerm.targets().isEmpty()
                && mTerm.targets().values().stream().allMatch(Target::reported);
    }

    /**
     * True when each target that may restart under the same id has reported in this term, could not
     * be called, or has had the time for an answer.
     */
    private boolean restartableTargetsAsked() {
        return ageMs() > FIRST_REPORT_WAIT_MS
                || mTerm.targets().values().stream()
                        .filter(Target::mayRestart)
                        .allMatch(target -> target.reported() || target.calls().lastCallNotSent());
    }

    private String inputs() {
        long reported = mTerm.targets().values().stream().filter(Target::reported).count();
        List<String> unreported =
                mTerm.targets().values().stream()
                        .filter(target -> !target.reported())
                        .map(Target::id)
                        .limit(MAX_LOGGED_TARGETS)
                        .toList();
        return "fence="
                + mTerm.fence()
                + " term_age_ms="
                + ageMs()
                + " targets="
                + mTerm.targets().size()
                + " reported="
                + reported
                + " leases_expired="
                + (mPredecessorLeasesExpired || leasesExpired())
                + " unreported="
                + unreported;
    }
}
