package org.boragegap.core.cell;

import java.util.List;

/**
 * Whether a term knows everything that earlier controllers started, so that it may start tasks.
 *
 * <p>A job that an earlier controller accepted may still run on a target that has not reported;
 * starting its tasks elsewhere would run them twice at the same time. So either each target has
 * reported to this term, and rejects orders of earlier ones from then on, or all leases of earlier
 * controllers have expired. That no VM knows of an earlier controller doesn't replace either: the
 * list of VMs may miss one, and a new process doesn't know what the earlier one at its address did.
 */
final class Settlement {
    /** What proves that nothing of an earlier controller runs unnoticed. */
    private enum Evidence {
        NONE,
        TARGETS_REPORTED,
        LEASES_EXPIRED
    }

    /** Maximum number of targets that a log entry names. */
    private static final int MAX_LOGGED_TARGETS = 8;

    private final Term mTerm;
    private final boolean mTargetsAnnounced;
    private boolean mPredecessorsKnown;
    private Evidence mEvidence = Evidence.NONE;

    /**
     * Creates the settlement of a term that has just begun.
     *
     * @param targetsAnnounced true when the last known controller has announced its targets to this
     *     VM
     */
    Settlement(Term term, boolean targetsAnnounced) {
        mTerm = term;
        mTargetsAnnounced = targetsAnnounced;
    }

    /** See {@link CellEvent.PredecessorsKnown}. */
    void predecessorsKnown() {
        mPredecessorsKnown = true;
    }

    /** True when the term was settled at the last update. */
    boolean settled() {
        return mEvidence != Evidence.NONE;
    }

    /** True when the term can be settled as soon as the group confirms it. */
    boolean awaitsConfirmation() {
        return !settled() && mTerm.awaitsConfirmation();
    }

    /** Settles the term if enough is known now; returns true when it is settled. */
    boolean update() {
        if (!settled()) {
            mEvidence = evidence();
            if (settled()) {
                mTerm.log(Decision.self("settled", inputs(), "tasks may start"));
            }
        }
        return settled();
    }

    private Evidence evidence() {
        if (mTerm.targets().isEmpty()) {
            return Evidence.NONE;
        }
        if (mPredecessorsKnown && allReported()) {
            return Evidence.TARGETS_REPORTED;
        }
        return mTerm.earlierTermsOver() ? Evidence.LEASES_EXPIRED : Evidence.NONE;
    }

    private long ageMs() {
        return mTerm.nowMs() - mTerm.sinceMs();
    }

    /**
     * True when each target has reported in this term: those that the last known controller has
     * announced and those on the platform's list. Either alone may lack targets that an earlier
     * controller has used: the list misses entries for a while, and this VM may not have heard the
     * last controller.
     */
    private boolean allReported() {
        return mTargetsAnnounced
                && mTerm.hasTargetList()
                && mTerm.targets().values().stream().allMatch(Target::reported);
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
                + " evidence="
                + mEvidence
                + " unreported="
                + unreported;
    }
}
