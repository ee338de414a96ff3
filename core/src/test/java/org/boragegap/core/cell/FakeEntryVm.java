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
    int mIncarnation;
    boolean mAlive;
    long mPausedUntilMs;
    long mStalledUntilMs;
    long mPausedMs;
    boolean mStoreLost;
    boolean mWatchesTargets;
    Set<String> mLastEvacuated;
    final Set<String> mDisconnectedFrom = new HashSet<>();
    final List<Runnable> mDeferred = new ArrayList<>();
    final Map<Long, JobRequest> mCallers = new HashMap<>();

    FakeEntryVm(String address) {
        mAddress = address;
    }

    String member() {
        return mAddress + "/" + mIncarnation;
    }

    /** Its clocks; the steady one doesn't count the time for which it stood still. */
    ClockReading clock(long nowMs) {
        return new ClockReading(nowMs - mPausedMs, nowMs);
    }

    /** Runs something in this life of it; if it stands still, when it goes on. */
    void inIncarnation(int life, SimulatedClock clock, Runnable action) {
        if (!mAlive || mIncarnation != life) {
            return;
        }
        if (clock.nowMs() < Math.max(mPausedUntilMs, mStalledUntilMs)) {
            mDeferred.add(() -> inIncarnation(life, clock, action));
            return;
        }
        action.run();
    }

    /** Stands still: its steady clock doesn't count the time, and what comes in waits. */
    void pause(SimulatedClock clock, long forMs) {
        if (!mAlive || clock.nowMs() < mPausedUntilMs) {
            return;
        }
        mPausedUntilMs = clock.nowMs() + forMs;
        int life = mIncarnation;
        clock.after(forMs, () -> resume(life, forMs));
    }

    private void resume(int life, long stoodStillMs) {
        mPausedUntilMs = 0;
        if (mAlive && mIncarnation == life) {
            mPausedMs += stoodStillMs;
            List<Runnable> held = new ArrayList<>(mDeferred);
            mDeferred.clear();
            held.forEach(Runnable::run);
        }
    }
}
