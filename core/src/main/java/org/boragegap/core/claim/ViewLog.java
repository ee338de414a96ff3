package org.boragegap.core.claim;

import java.util.Optional;

/**
 * Follows the view records of one failure domain in log order.
 *
 * <p>All readers reach the same head: the first proposal that names the head as its parent wins,
 * later ones are void. A view that isn't stated again within the log's retention lapses; only then
 * may a view without a parent follow. Such a view is numbered by the wall clock, so every later
 * lineage has higher numbers than an earlier one, and a statement of a lapsed view that arrives
 * late is void.
 */
final class ViewLog {
    private static final long UNKNOWN = -1;
    private static final int PROMPT_SHARE_OF_RETENTION = 4;

    private final long mRetentionMs;
    private Optional<DomainView> mHead = Optional.empty();
    private long mStatedMs = UNKNOWN;

    ViewLog(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    Optional<DomainView> head() {
        return mHead;
    }

    /** Applies a record; true when it made or confirmed the head. */
    boolean apply(ViewRecord record, long appendedMs) {
        if (!takesEffect(record, appendedMs)) {
            return false;
        }
        mHead = Optional.of(record.view());
        mStatedMs = appendedMs;
        return true;
    }

    /** Takes a view that a peer has read from the log; true when it is newer than the head. */
    boolean adopt(DomainView view) {
        if (mHead.isPresent() && view.number() <= mHead.get().number()) {
            return false;
        }
        mHead = Optional.of(view);
        mStatedMs = UNKNOWN;
        return true;
    }

    private boolean takesEffect(ViewRecord record, long appendedMs) {
        DomainView view = record.view();
        boolean rootless = view.parentUid() == DomainView.NO_PARENT;
        if (record.kind() == ViewRecord.Kind.PROPOSED && rootless && !prompt(view, appendedMs)) {
            return false;
        }
        if (mHead.isEmpty()) {
            // A proposal with a parent may have lost to a record that is no longer retained.
            return record.kind() == ViewRecord.Kind.STATED || rootless;
        }
        DomainView head = mHead.get();
        boolean lapsed = mStatedMs != UNKNOWN && appendedMs - mStatedMs >= mRetentionMs;
        if (view.uid() == head.uid()) {
            return !lapsed;
        }
        if (record.kind() == ViewRecord.Kind.STATED) {
            return view.number() > head.number();
        }
        if (rootless) {
            return lapsed && view.number() > head.number();
        }
        return view.parentUid() == head.uid() && view.number() == head.number() + 1;
    }

    /**
     * Guards against a first view whose append took effect long after it was written: its coverage
     * would miss the claims made in between. Such a view is numbered by the time it was written.
     */
    private boolean prompt(DomainView view, long appendedMs) {
        return appendedMs - view.number() < mRetentionMs / PROMPT_SHARE_OF_RETENTION;
    }
}
