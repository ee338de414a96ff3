package org.boragegap.core.claim;

import java.util.Optional;
import org.boragegap.core.log.ReadWindow;

/**
 * Follows the view records of one failure domain in log order.
 *
 * <p>All readers reach the same head: the first proposal that names the head as its parent wins,
 * later ones are void. A reader that doesn't know the log from its beginning starts from a
 * statement: it says what the head was after all records up to an offset, and the reader must have
 * every record after that one. A statement by an author that had not yet read of the next view is
 * harmless so: whoever has the records after its offset sees the next view too.
 *
 * <p>A view that isn't stated again within the log's retention lapses, and only then may a view
 * without a parent follow. Such a view is numbered by the wall clock, so every later lineage has
 * higher numbers than an earlier one, and no reader ever goes back to a lower number.
 */
final class ViewLog {
    private static final long UNKNOWN = -1;
    private static final int PROMPT_SHARE_OF_RETENTION = 4;

    private final long mRetentionMs;
    private final ReadWindow<LoggedView> mWindow = ReadWindow.create();
    private Optional<DomainView> mHead = Optional.empty();
    private long mStatedMs = UNKNOWN;
    private long mFloor = Long.MIN_VALUE;
    private boolean mHeadFromLog;

    ViewLog(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    Optional<DomainView> head() {
        return mHead;
    }

    /** True when the head was read from the log here, and not only told by a peer. */
    boolean headFromLog() {
        return mHeadFromLog;
    }

    /** True when no view record at all is left that this reader has seen. */
    boolean blank() {
        return mWindow.isEmpty();
    }

    /**
     * Tells from which offset on everything has been read. A gap means that records were lost to
     * the log's retention before they were read here: what followed the head is unknown.
     */
    void readFrom(long firstOffset, long nowMs) {
        if (mWindow.advanceFirstOffset(firstOffset, nowMs)) {
            mHead = Optional.empty();
            mHeadFromLog = false;
        }
    }

    /** Forgets records that have left the log, for {@link #blank()}. */
    void forgetBefore(long appendedMs) {
        mWindow.removeBefore(appendedMs);
    }

    /** Applies a record; true when it made or confirmed the head. */
    boolean apply(LoggedView logged) {
        mWindow.add(logged);
        if (logged.record().kind() == ViewRecord.Kind.STATED) {
            return applyStatement(logged);
        }
        return applyProposal(logged);
    }

    /** Takes a view that a peer has read from the log; true when it is newer than the head. */
    boolean adopt(DomainView view) {
        if (!mayFollowFloor(view) || isHead(view)) {
            return false;
        }
        if (mHead.isPresent() && view.number() <= mHead.get().number()) {
            return false;
        }
        install(view, UNKNOWN);
        mHeadFromLog = false;
        return true;
    }

    private boolean isHead(DomainView view) {
        return mHead.isPresent() && mHead.get().uid() == view.uid();
    }

    private boolean mayFollowFloor(DomainView view) {
        return view.number() >= mFloor;
    }

    private void install(DomainView view, long statedMs) {
        mHead = Optional.of(view);
        mStatedMs = statedMs;
        mFloor = view.number();
    }

    private boolean lapsedAt(long appendedMs) {
        return mStatedMs != UNKNOWN && appendedMs - mStatedMs >= mRetentionMs;
    }

    private boolean applyProposal(LoggedView logged) {
        DomainView view = logged.record().view();
        boolean confirms = isHead(view) && !lapsedAt(logged.appendedMs());
        if (!confirms && !follows(view, logged.appendedMs())) {
            return false;
        }
        install(view, logged.appendedMs());
        mHeadFromLog = true;
        return true;
    }

    private boolean follows(DomainView view, long appendedMs) {
        if (view.parentUid() == DomainView.NO_PARENT) {
            boolean free = mHead.isEmpty() ? mWindow.newestWasOnlyRecord() : lapsedAt(appendedMs);
            return free && prompt(view, appendedMs) && view.number() > mFloor;
        }
        return mHead.isPresent()
                && view.parentUid() == mHead.get().uid()
                && view.number() == mHead.get().number() + 1;
    }

    /**
     * Guards against a first view whose append took effect long after it was written: its coverage
     * would miss the claims made in between. Such a view is numbered by the time it was written.
     */
    private boolean prompt(DomainView view, long appendedMs) {
        return appendedMs - view.number() < mRetentionMs / PROMPT_SHARE_OF_RETENTION;
    }

    private boolean applyStatement(LoggedView logged) {
        DomainView view = logged.record().view();
        if (isHead(view)) {
            return confirm(logged);
        }
        boolean newer = mHead.isEmpty() || view.number() > mHead.get().number();
        boolean known = mWindow.isCompleteAfter(logged.record().asOf());
        if (!newer || !known || !mayFollowFloor(view)) {
            return false;
        }
        restartFrom(logged);
        return true;
    }

    private boolean confirm(LoggedView logged) {
        if (lapsedAt(logged.appendedMs())) {
            return false;
        }
        mStatedMs = logged.appendedMs();
        mHeadFromLog = true;
        return true;
    }

    /** Takes the stated view as the head after {@code asOf} and applies what came since. */
    private void restartFrom(LoggedView statement) {
        install(statement.record().view(), statement.appendedMs());
        mHeadFromLog = true;
        for (LoggedView logged : mWindow.recordsAfter(statement.record().asOf())) {
            if (logged.record().kind() == ViewRecord.Kind.PROPOSED) {
                applyProposal(logged);
            }
        }
    }
}
