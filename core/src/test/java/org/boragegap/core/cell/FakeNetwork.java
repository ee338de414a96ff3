package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.boragegap.core.HistoryTrace;

/**
 * Who reaches whom in a history. Zones are cut off one at a time: their VMs and targets don't reach
 * the others, and their VMs don't reach the store. A zone may hold any number of the VMs.
 */
final class FakeNetwork {
    private static final long MIN_CUT_MS = 1_500;
    private static final long MAX_CUT_MS = 6_100;
    private static final int MAX_CUTS = 3;
    private static final long MIN_OUTAGE_MS = 2_400;
    private static final long MAX_OUTAGE_MS = 6_000;

    private final SimulatedClock mClock;
    private final SplittableRandom mRandom;
    private final HistoryTrace mTrace;
    private final List<String> mAddresses;
    private final Set<String> mCutOff = new HashSet<>();
    private boolean mStoreDown;
    private boolean mCutsFromStore = true;

    /**
     * Creates a network in which all reach each other.
     *
     * @param addresses the addresses of all VMs and targets
     */
    FakeNetwork(
            SimulatedClock clock,
            SplittableRandom random,
            HistoryTrace trace,
            List<String> addresses) {
        mClock = clock;
        mRandom = random;
        mTrace = trace;
        mAddresses = addresses;
    }

    /** Schedules cuts; each begins some time after the end of the last one, or at its end. */
    void scheduleZoneCuts(long fromMs, long untilMs) {
        int cuts = 1 + mRandom.nextInt(MAX_CUTS);
        long beginMs = fromMs + mRandom.nextLong(untilMs - fromMs);
        for (int i = 0; i < cuts && beginMs < untilMs; i++) {
            long endMs = beginMs + MIN_CUT_MS + mRandom.nextLong(MAX_CUT_MS - MIN_CUT_MS);
            mClock.after(beginMs, this::begin);
            mClock.after(endMs, this::end);
            beginMs = endMs + (mRandom.nextBoolean() ? 0 : mRandom.nextLong(2_000));
        }
    }

    private void begin() {
        int percent = 20 + mRandom.nextInt(60);
        mAddresses.stream().filter(address -> mRandom.nextInt(100) < percent).forEach(mCutOff::add);
        mTrace.record(mClock.nowMs(), "network", "cut off: " + new ArrayList<>(mCutOff));
    }

    private void end() {
        mTrace.record(mClock.nowMs(), "network", "connected again");
        mCutOff.clear();
    }

    /** Lets the VMs of a zone that is cut off reach the store. */
    void keepStore() {
        mCutsFromStore = false;
    }

    /**
     * Schedules an outage of the store.
     *
     * @param during receives its begin and its end
     */
    void scheduleOutage(long fromMs, long untilMs, BiConsumer<Long, Long> during) {
        long beginMs = fromMs + mRandom.nextLong(untilMs - fromMs);
        long forMs = MIN_OUTAGE_MS + mRandom.nextLong(MAX_OUTAGE_MS - MIN_OUTAGE_MS);
        mClock.after(beginMs, () -> storeOutage(forMs));
        during.accept(beginMs, beginMs + forMs);
    }

    /** Makes the store unavailable to all for a time. */
    void storeOutage(long forMs) {
        mStoreDown = true;
        mClock.after(forMs, () -> mStoreDown = false);
    }

    /** Makes the store unavailable to one VM for a time. */
    void rejectByStore(FakeEntryVm vm, long forMs) {
        vm.mStoreLost = true;
        mClock.after(forMs, () -> vm.mStoreLost = false);
    }

    /** Disconnects a VM from all other VMs or some, and from some targets, for a time. */
    void disconnect(
            FakeEntryVm vm, List<FakeEntryVm> vms, Supplier<List<String>> targets, long forMs) {
        boolean all = mRandom.nextBoolean();
        for (FakeEntryVm other : vms) {
            if (other != vm && (all || mRandom.nextBoolean())) {
                vm.mDisconnectedFrom.add(other.mAddress);
            }
        }
        vm.mDisconnectedFrom.addAll(targets.get());
        mClock.after(forMs, vm.mDisconnectedFrom::clear);
    }

    boolean reachesStore(FakeEntryVm vm) {
        boolean cutOff = mCutsFromStore && mCutOff.contains(vm.mAddress);
        return !mStoreDown && !vm.mStoreLost && !cutOff;
    }

    boolean connects(FakeEntryVm vm, FakeEntryVm other) {
        return !vm.mDisconnectedFrom.contains(other.mAddress)
                && !other.mDisconnectedFrom.contains(vm.mAddress)
                && !separates(vm.mAddress, other.mAddress);
    }

    boolean connects(FakeEntryVm vm, TargetInfo target) {
        return !vm.mDisconnectedFrom.contains(target.id())
                && !separates(vm.mAddress, target.address());
    }

    /** True when one of them is in the zone that is cut off now, and the other isn't. */
    private boolean separates(String address, String other) {
        return mCutOff.contains(address) != mCutOff.contains(other);
    }
}
