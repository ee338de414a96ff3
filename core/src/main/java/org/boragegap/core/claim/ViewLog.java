package org.boragegap.core.claim;

import java.util.Optional;
import java.util.OptionalLong;
import org.boragegap.core.log.ReadWindow;

/**
 * Follows the view records of one failure domain in log order.
 *
 * <p>All readers reach the same current view: the first proposal that names the current view as its
 * parent takes effect, later ones are ignored. A reader that doesn't have the log from its
 * beginning starts from a statement. It says what the current view was after all records up to an
 * offset, and the reader must have every record after that offset. So a statement whose author had
 * not yet read the next view is harmless: a reader that may use it also has the next view's
 * proposal.
 *
 * <p>A view that isn't stated again within the log's retention expires, and only then may a view
 * without a parent follow. Such a view is numbered by the wall clock, so the numbers of a later
 * chain of views are higher than those of an earlier one, and no reader ever returns to a lower
 * number.
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

    /** True when the current view was read from the log here, not only received from a peer. */
    boolean currentFromLog() {
        return mCurrentFromLog;
    }

    /** Time of the current view's last statement by the log's clock, if it was read here. */
    OptionalLong statedMs() {
        return mLastStatedMs == STATED_TIME_UNKNOWN
                ? OptionalLong.empty()
                : OptionalLong.of(mLastStatedMs);
    }

    /** True when no record that this reader has seen is still retained. */
    boolean empty() {
        return mWindow.isEmpty();
    }

    /**
     * Sets the offset from which everything has been read. After a gap, records were deleted by the
     * log's retention before they were read here, so what followed the current view is unknown.
     */
    void readFrom(long firstOffset, long nowMs) {
        if (mWindow.advanceFirstOffset(firstOffset, nowMs)) {
            mCurrentView = Optional.empty();
            mCurrentFromLog = false;
        }
    }

    /** Removes records that are no longer on the log, so that {@link #empty()} reflects the log. */
    void forgetBefore(long appendedMs) {
        mWindow.removeBefore(appendedMs);
    }

    /** Applies a record; true when it set or confirmed the current view. */
    boolean apply(LoggedView logged) {
        mWindow.add(logged);
        if (logged.record().kind() == ViewRecord.Kind.STATED) {
            return applyStatement(logged);
        }
        return applyProposal(logged);
    }

    /**
     * Adopts a view that a peer has read from the log if it is newer than the current one; true if
     * so.
     */
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
        boolean confirmsCurrent = isCurrent(view) && !expiredAt(logged.appendedMs());
        if (!confirmsCurrent && !follows(view, logged.appendedMs())) {
            return false;
        }
        setCurrent(view, logged.appendedMs());
        mCurrentFromLog = true;
        return true;
    }

    private boolean follows(DomainView view, long appendedMs) {
        if (view.parentUid() == DomainView.NO_PARENT) {
            boolean mayStartChain =
                    mCurrentView.isEmpty() ? mWindow.newestWasOnlyRecord() : expiredAt(appendedMs);
            return mayStartChain
                    && appendedPromptly(view, appendedMs)
                    && view.number() > mLowestNumber;
        }
        return mCurrentView.isPresent()
                && view.parentUid() == mCurrentView.get().uid()
                && view.number() == mCurrentView.get().number() + 1;
    }

    /**
     * True when a view without a parent was appended soon after it was proposed. One that was
     * appended much later must not take effect, because its coverage would miss the claims made in
     * between. The number of such a view is the time of its proposal.
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
        boolean readAllSince = mWindow.isCompleteAfter(logged.record().asOf());
        if (!newer || !readAllSince || !notBelowLowest(view)) {
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

    /**
     * Sets the stated view as the current one after {@code asOf} and applies the later proposals.
     */
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
