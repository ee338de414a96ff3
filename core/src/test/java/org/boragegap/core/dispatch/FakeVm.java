package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.ClockReading;
import org.boragegap.core.claim.Member;

/**
 * One entry VM of a {@link History}: a dispatcher, its clocks, and whether it is running, paused or
 * dead.
 */
final class FakeVm {
    private static final long MONOTONIC_START = 1_000_000;

    final Member mMember;
    final int mDomain;
    final Dispatcher mDispatcher;
    final long mSkewMs;
    final List<Runnable> mDeferred = new ArrayList<>();
    boolean mAlive = true;
    boolean mPaused;
    int mLogOffset;
    int mFirstOffset;
    long mSuspendedMs;

    FakeVm(Member member, int domain, Dispatcher dispatcher, long skewMs) {
        mMember = member;
        mDomain = domain;
        mDispatcher = dispatcher;
        mSkewMs = skewMs;
    }

    ClockReading clock(long nowMs) {
        return new ClockReading(MONOTONIC_START + nowMs - mSuspendedMs, nowMs + mSkewMs);
    }
}
