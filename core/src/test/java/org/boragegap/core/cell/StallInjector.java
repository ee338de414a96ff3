package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Holds the entry VMs of a history up by turns, as VMs with next to no processor are. */
final class StallInjector {
    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;

    StallInjector(SimulatedClock clock, SplittableRandom random) {
        mClock = clock;
        mRandom = random;
    }

    void start(List<FakeEntryVm> vms) {
        vms.forEach(vm -> mClock.after(mRandom.nextInt(300), () -> stall(vm)));
    }

    /** Stands still while its clocks go on; what comes in meanwhile waits. */
    private void stall(FakeEntryVm vm) {
        long forMs = 50 + mRandom.nextInt(mRandom.nextBoolean() ? 650 : 100);
        vm.mStalledUntilMs = mClock.nowMs() + forMs;
        mClock.after(forMs, () -> resume(vm));
    }

    private void resume(FakeEntryVm vm) {
        List<Runnable> held = new ArrayList<>(vm.mDeferred);
        vm.mDeferred.clear();
        held.forEach(Runnable::run);
        mClock.after(10 + mRandom.nextInt(30), () -> stall(vm));
    }
}
