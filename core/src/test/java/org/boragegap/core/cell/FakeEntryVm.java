package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragegap.core.ClockReading;

/** An entry VM of a history, across its restarts. */
final class FakeEntryVm {
    final String mAddress;
    CellMember mMember;
    int mIncarnation;
    boolean mAlive;

    /** True while the VM has no power; otherwise it refuses connections while it isn't alive. */
    boolean mDark;

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

    /** Begins another process, which knows nothing of the earlier one. */
    void beginIncarnation() {
        mIncarnation++;
        mAlive = true;
        mDark = false;
        mWatchesTargets = false;
        mPausedMs = 0;
        mDeferred.clear();
        mCallers.clear();
        mLastEvacuated = null;
    }

    String member() {
        return mAddress + "/" + mIncarnation;
    }

    /** Its clocks; the monotonic one doesn't count the time for which it was paused. */
    ClockReading clock(long nowMs) {
        return new ClockReading(nowMs - mPausedMs, nowMs);
    }

    /** Runs an action if this incarnation is alive; after a pause or stall, once that ends. */
    void inIncarnation(int incarnation, SimulatedClock clock, Runnable action) {
        if (!mAlive || mIncarnation != incarnation) {
            return;
        }
        if (clock.nowMs() < Math.max(mPausedUntilMs, mStalledUntilMs)) {
            mDeferred.add(() -> inIncarnation(incarnation, clock, action));
            return;
        }
        action.run();
    }

    /** Pauses the VM: its monotonic clock stands still meanwhile, and arriving events wait. */
    void pause(SimulatedClock clock, long forMs) {
        if (!mAlive || clock.nowMs() < mPausedUntilMs) {
            return;
        }
        mPausedUntilMs = clock.nowMs() + forMs;
        int incarnation = mIncarnation;
        clock.after(forMs, () -> resume(incarnation, forMs));
    }

    private void resume(int incarnation, long pausedMs) {
        mPausedUntilMs = 0;
        if (mAlive && mIncarnation == incarnation) {
            mPausedMs += pausedMs;
            List<Runnable> deferred = new ArrayList<>(mDeferred);
            mDeferred.clear();
            deferred.forEach(Runnable::run);
        }
    }
}
