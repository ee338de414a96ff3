package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragegap.core.ClockReading;

/** One entry VM of a history, over all its lives. */
final class FakeEntryVm {
    final String mAddress;
    CellMember mMember;
    int mLife;
    boolean mAlive;
    long mFrozenUntilMs;
    long mHeldUpUntilMs;
    long mStoodStillMs;
    boolean mStoreCut;
    boolean mFollowsTargets;
    Set<String> mToldEvacuated;
    final Set<String> mCutFrom = new HashSet<>();
    final List<Runnable> mHeldBack = new ArrayList<>();
    final Map<Long, JobRequest> mCallers = new HashMap<>();

    FakeEntryVm(String address) {
        mAddress = address;
    }

    String member() {
        return mAddress + "/" + mLife;
    }

    /** Its clocks; the steady one doesn't count the time for which it stood still. */
    ClockReading clock(long nowMs) {
        return new ClockReading(nowMs - mStoodStillMs, nowMs);
    }

    /** Runs something in this life of it; if it stands still, when it goes on. */
    void inLife(int life, SimulatedClock clock, Runnable action) {
        if (!mAlive || mLife != life) {
            return;
        }
        if (clock.nowMs() < Math.max(mFrozenUntilMs, mHeldUpUntilMs)) {
            mHeldBack.add(() -> inLife(life, clock, action));
            return;
        }
        action.run();
    }

    /** Stands still: its steady clock doesn't count the time, and what comes in waits. */
    void freeze(SimulatedClock clock, long forMs) {
        if (!mAlive || clock.nowMs() < mFrozenUntilMs) {
            return;
        }
        mFrozenUntilMs = clock.nowMs() + forMs;
        int life = mLife;
        clock.after(forMs, () -> wake(life, forMs));
    }

    private void wake(int life, long stoodStillMs) {
        mFrozenUntilMs = 0;
        if (mAlive && mLife == life) {
            mStoodStillMs += stoodStillMs;
            List<Runnable> held = new ArrayList<>(mHeldBack);
            mHeldBack.clear();
            held.forEach(Runnable::run);
        }
    }
}
