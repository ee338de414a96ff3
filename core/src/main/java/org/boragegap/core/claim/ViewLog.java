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
    private static final long STATED_TIME_UNKNOWN = -1;
    private static final int APPEND_DELAY_DIVISOR = 4;

    private final long mRetentionMs;
    private final ReadWindow<LoggedView> mWindow = ReadWindow.create();
    private Optional<DomainView> mCurrentView = Optional.empty();
    private long mLastStatedMs = STATED_TIME_UNKNOWN;
    private long mLowestNumber = Long.MIN_VALUE;
    private boolean mCurrentFromLog;

    ViewLog(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    Optional<DomainView> currentView() {
        return mCurrentView;
    }

    /** True when the head was read from the log here, and not only told by a peer. */
    boolean currentFromLog() {
        return mCurrentFromLog;
    }

    /** True when no view record at all is left that this reader has seen. */
    boolean empty() {
        return mWindow.isEmpty();
    }

    /**
     * Tells from which offset on everything has been read. A gap means that records were lost to
     * the log's retention before they were read here: what followed the head is unknown.
     */
    void readFrom(long firstOffset, long nowMs) {
        if (mWindow.advanceFirstOffset(firstOffset, nowMs)) {
            mCurrentView = Optional.empty();
            mCurrentFromLog = false;
        }
    }

    /** Forgets records that have left the log, for {@link #empty()}. */
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
        if (!notBelowLowest(view) || isCurrent(view)) {
            return false;
        }
        if (mCurrentView.isPresent() && view.number() <= mCurrentView.get().number()) {
            return false;
        }
        setCurrent(view, STATED_TIME_UNKNOWN);
        mCurrentFromLog = false;
        return true;
    }

    private boolean isCurrent(DomainView view) {
        return mCurrentView.isPresent() && mCurrentView.get().uid() == view.uid();
    }

    private boolean notBelowLowest(DomainView view) {
        return view.number() >= mLowestNumber;
    }

    private void setCurrent(DomainView view, long statedMs) {
        mCurrentView = Optional.of(view);
        mLastStatedMs = statedMs;
        mLowestNumber = view.number();
    }

    private boolean expiredAt(long appendedMs) {
        return mLastStatedMs != STATED_TIME_UNKNOWN && appendedMs - mLastStatedMs >= mRetentionMs;
    }

    private boolean applyProposal(LoggedView logged) {
        DomainView view = logged.record().view();
        boolean confirms = isCurrent(view) && !expiredAt(logged.appendedMs());
        if (!confirms && !follows(view, logged.appendedMs())) {
            return false;
        }
        setCurrent(view, logged.appendedMs());
        mCurrentFromLog = true;
        return true;
    }

    private boolean follows(DomainView view, long appendedMs) {
        if (view.parentUid() == DomainView.NO_PARENT) {
            boolean free =
                    mCurrentView.isEmpty() ? mWindow.newestWasOnlyRecord() : expiredAt(appendedMs);
            return free && appendedPromptly(view, appendedMs) && view.number() > mLowestNumber;
        }
        return mCurrentView.isPresent()
                && view.parentUid() == mCurrentView.get().uid()
                && view.number() == mCurrentView.get().number() + 1;
    }

    /**
     * Guards against a first view whose append took effect long after it was written: its coverage
     * would miss the claims made in between. Such a view is numbered by the time it was written.
     */
    private boolean appendedPromptly(DomainView view, long appendedMs) {
        return appendedMs - view.number() < mRetentionMs / APPEND_DELAY_DIVISOR;
    }

    private boolean applyStatement(LoggedView logged) {
        DomainView view = logged.record().view();
        if (isCurrent(view)) {
            return confirm(logged);
        }
        boolean newer = mCurrentView.isEmpty() || view.number() > mCurrentView.get().number();
        boolean known = mWindow.isCompleteAfter(logged.record().asOf());
        if (!newer || !known || !notBelowLowest(view)) {
            return false;
        }
        restartFrom(logged);
        return true;
    }

    private boolean confirm(LoggedView logged) {
        if (expiredAt(logged.appendedMs())) {
            return false;
        }
        mLastStatedMs = logged.appendedMs();
        mCurrentFromLog = true;
        return true;
    }

    /** Takes the stated view as the head after {@code asOf} and applies what came since. */
    private void restartFrom(LoggedView statement) {
        setCurrent(statement.record().view(), statement.appendedMs());
        mCurrentFromLog = true;
        for (LoggedView logged : mWindow.recordsAfter(statement.record().asOf())) {
            if (logged.record().kind() == ViewRecord.Kind.PROPOSED) {
                applyProposal(logged);
            }
        }
    }
}
