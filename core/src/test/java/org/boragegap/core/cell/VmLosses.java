package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Losses of several entry VMs of a history: their processes are killed, or they lose power. */
final class VmLosses {
    private static final long MIN_DOWN_MS = 300;
    private static final long MAX_DOWN_MS = 4_000;

    /** Ends a VM's process, which starts again after a time. */
    @FunctionalInterface
    interface Kill {
        void kill(FakeEntryVm vm, long downMs);
    }

    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;
    private final List<FakeEntryVm> mVms;
    private final Kill mKill;

    VmLosses(SimulatedClock clock, SplittableRandom random, List<FakeEntryVm> vms, Kill kill) {
        mClock = clock;
        mRandom = random;
        mVms = vms;
        mKill = kill;
    }

    /** Schedules the loss of one or two VMs, each at a time of its own. */
    void scheduleFew(long fromMs, long untilMs) {
        int lost = 1 + mRandom.nextInt(2);
        for (FakeEntryVm vm : shuffled().subList(0, lost)) {
            mClock.after(fromMs + mRandom.nextLong(untilMs - fromMs), () -> lose(vm));
        }
    }

    /** Schedules the loss of most VMs at once. */
    void scheduleMost(long fromMs, long untilMs) {
        int most = mVms.size() / 2 + 1;
        List<FakeEntryVm> lost = shuffled().subList(0, most);
        mClock.after(fromMs + mRandom.nextLong(untilMs - fromMs), () -> lost.forEach(this::lose));
    }

    private List<FakeEntryVm> shuffled() {
        List<FakeEntryVm> vms = new ArrayList<>(mVms);
        for (int i = vms.size() - 1; i > 0; i--) {
            int other = mRandom.nextInt(i + 1);
            vms.set(i, vms.set(other, vms.get(i)));
        }
        return vms;
    }

    private void lose(FakeEntryVm vm) {
        vm.mDark = mRandom.nextBoolean();
        mKill.kill(vm, MIN_DOWN_MS + mRandom.nextLong(MAX_DOWN_MS - MIN_DOWN_MS));
    }
}
