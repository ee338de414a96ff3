package org.boragegap.core.cell;

import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Stops entry VMs of a history as planned: each gives up the cell, answers waiting callers, and
 * leaves the group when allowed.
 */
final class PlannedStops {
    /** Time until a stopped VM starts again, in ms. */
    static final long DOWN_MS = 500;

    private static final long MAX_SERVE_ON_MS = 1_500;
    private static final long CHECK_INTERVAL_MS = 25;

    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;
    private final FakeCallers.Feed mFeed;
    private final Consumer<FakeEntryVm> mLeave;

    /**
     * Creates an instance for the VMs of a history.
     *
     * @param feed passes an event to an incarnation of a VM
     * @param leave ends a VM that has answered all callers
     */
    PlannedStops(
            SimulatedClock clock,
            SplittableRandom random,
            FakeCallers.Feed feed,
            Consumer<FakeEntryVm> leave) {
        mClock = clock;
        mRandom = random;
        mFeed = feed;
        mLeave = leave;
    }

    void stop(FakeEntryVm vm) {
        if (vm.mAlive && mClock.nowMs() >= vm.mPausedUntilMs) {
            int incarnation = vm.mIncarnation;
            mFeed.feed(vm, incarnation, new MemberEvent.Resigned());
            mClock.after(mRandom.nextLong(MAX_SERVE_ON_MS), () -> close(vm, incarnation));
        }
    }

    private void close(FakeEntryVm vm, int incarnation) {
        mFeed.feed(vm, incarnation, new MemberEvent.Draining());
        leaveWhenDrained(vm, incarnation);
    }

    private void leaveWhenDrained(FakeEntryVm vm, int incarnation) {
        vm.inIncarnation(
                incarnation,
                mClock,
                () -> {
                    boolean mayLeave = vm.mMember.mayLeave(vm.clock(mClock.nowMs()));
                    if (vm.mMember.waitingCallers() == 0 && mayLeave) {
                        mLeave.accept(vm);
                    } else {
                        mClock.after(CHECK_INTERVAL_MS, () -> leaveWhenDrained(vm, incarnation));
                    }
                });
    }
}
