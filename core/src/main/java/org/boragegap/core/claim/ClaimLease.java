package org.boragegap.core.claim;

import java.util.List;
import org.boragegap.core.ClockReading;

/**
 * The time for which a member may claim without hearing from the log.
 *
 * <p>A view that replaces members that are presumed dead takes effect on the log, where they would
 * see it. A read of the log that reached its end and showed no such view was sent before that view
 * took effect, so a member whose lease is over a fixed time after it sent its last such read has
 * stopped that time after the view took effect, at the latest.
 */
final class ClaimLease {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final int QUERIES_PER_LEASE = 64;
    private static final int QUERY_AGE_DIVISOR = 8;

    private final Member mSelf;
    private final ClaimLimits mLimits;
    private final SuspensionDetector mSuspensions;
    private long mReadSentMs = NEVER;
    private long mLastQueryMs = NEVER;
    private boolean mLapsed;

    ClaimLease(Member self, ClaimLimits limits, SuspensionDetector suspensions) {
        mSelf = self;
        mLimits = limits;
        mSuspensions = suspensions;
    }

    /**
     * Renews the lease by a read that reached the end of the log.
     *
     * @param sentMs monotonic time at or before which the read was sent
     */
    void renew(long sentMs) {
        if (!mSuspensions.precedesResumption(sentMs)) {
            mReadSentMs = Math.max(mReadSentMs, sentMs);
        }
    }

    boolean valid(ClockReading clock) {
        return !mSuspensions.suspendedSinceTick(clock) && readAgeMs(clock) < mLimits.claimLeaseMs();
    }

    private long readAgeMs(ClockReading clock) {
        return clock.monotonicMs() - mReadSentMs;
    }

    void onTick(ClockReading clock, List<ClaimAction> out) {
        if (mSuspensions.precedesResumption(mReadSentMs)) {
            mReadSentMs = NEVER;
        }
        if (mReadSentMs != NEVER && mLapsed == valid(clock)) {
            mLapsed = !mLapsed;
            String outcome = mLapsed ? "lapsed" : "valid";
            out.add(new ClaimAction.Log("claim-lease", "readAgeMs=" + readAgeMs(clock), outcome));
        }
    }

    /** Asks the other members of the view for their last read if the one known here is old. */
    void queryIfOld(DomainView view, ClockReading clock, List<ClaimAction> out) {
        long intervalMs = valid(clock) ? mLimits.claimLeaseMs() / QUERIES_PER_LEASE : 0;
        boolean old = readAgeMs(clock) >= mLimits.claimLeaseMs() / QUERY_AGE_DIVISOR;
        if (!old || clock.monotonicMs() - mLastQueryMs < Math.max(mLimits.resendMs(), intervalMs)) {
            return;
        }
        mLastQueryMs = clock.monotonicMs();
        ClaimMessage query = new ClaimMessage.LogReadQuery(view.uid(), clock.monotonicMs());
        for (Member member : view.members()) {
            if (!member.equals(mSelf)) {
                out.add(new ClaimAction.Send(member.address(), query));
            }
        }
    }

    /** Answers a query made under the current view. */
    void answer(
            Member from,
            ClaimMessage.LogReadQuery query,
            ClockReading clock,
            List<ClaimAction> out) {
        if (!valid(clock)) {
            return;
        }
        ClaimMessage age =
                new ClaimMessage.LogReadAge(query.viewUid(), query.sentMs(), readAgeMs(clock));
        out.add(new ClaimAction.Send(from.address(), age));
    }

    /**
     * Renews the lease by a peer's read. The peer answered after the query was sent, so subtracting
     * the age from that time never makes the read look younger than it is.
     */
    void onLogReadAge(ClaimMessage.LogReadAge age) {
        renew(age.querySentMs() - age.readAgeMs());
    }
}
