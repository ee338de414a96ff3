package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Stalls the entry VMs of a history repeatedly, as happens to VMs with very little processor. */
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

    /** Stalls the VM: its clocks continue, and arriving events wait. */
    private void stall(FakeEntryVm vm) {
        long forMs = 50 + mRandom.nextInt(mRandom.nextBoolean() ? 650 : 100);
        vm.mStalledUntilMs = mClock.nowMs() + forMs;
        mClock.after(forMs, () -> resume(vm));
    }

    private void resume(FakeEntryVm vm) {
        List<Runnable> deferred = new ArrayList<>(vm.mDeferred);
        vm.mDeferred.clear();
        deferred.forEach(Runnable::run);
        mClock.after(10 + mRandom.nextInt(30), () -> stall(vm));
    }
}
