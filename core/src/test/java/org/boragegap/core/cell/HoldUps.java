package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Holds the entry VMs of a history up by turns, as VMs with next to no processor are. */
final class HoldUps {
    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;

    HoldUps(SimulatedClock clock, SplittableRandom random) {
        mClock = clock;
        mRandom = random;
    }

    void begin(List<FakeEntryVm> vms) {
        vms.forEach(vm -> mClock.after(mRandom.nextInt(300), () -> holdUp(vm)));
    }

    /** Stands still while its clocks go on; what comes in meanwhile waits. */
    private void holdUp(FakeEntryVm vm) {
        long forMs = 50 + mRandom.nextInt(mRandom.nextBoolean() ? 650 : 100);
        vm.mHeldUpUntilMs = mClock.nowMs() + forMs;
        mClock.after(forMs, () -> goOn(vm));
    }

    private void goOn(FakeEntryVm vm) {
        List<Runnable> held = new ArrayList<>(vm.mHeldBack);
        vm.mHeldBack.clear();
        held.forEach(Runnable::run);
        mClock.after(10 + mRandom.nextInt(30), () -> holdUp(vm));
    }
}
