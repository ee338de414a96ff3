package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Draws the failures of a {@link History} and holds the cuts that are in effect. */
final class HistoryFailures {
    private static final long LIST_LAG_MS = 2_000;
    private static final long DRAIN_MS = 4_000;

    private final History mHistory;
    private final boolean mListUnreliable;
    private final FakeVmList mList = new FakeVmList();
    private final Set<String> mCutPairs = new HashSet<>();
    private final Set<String> mCutFromLog = new HashSet<>();

    HistoryFailures(History history, boolean listUnreliable) {
        mHistory = history;
        mListUnreliable = listUnreliable;
    }

    boolean cut(FakeVm from, String to) {
        String one = from.mMember.address();
        return mCutPairs.contains(one + to) || mCutPairs.contains(to + one);
    }

    boolean cutFromLog(FakeVm vm) {
        return mCutFromLog.contains(vm.mMember.address());
    }

    boolean lists(FakeVm reader, FakeVm vm) {
        return mList.lists(reader.mMember.address(), vm.mMember.address());
    }

    private int randomDomain() {
        return mHistory.randomIndex(mHistory.domains());
    }

    void schedule() {
        int failures = mHistory.randomIndex(9);
        for (int i = 0; i < failures; i++) {
            mHistory.at(mHistory.random(History.LENGTH_MS - 12_000), this::injectFailure);
        }
    }

    private void injectFailure() {
        int kind = mHistory.randomIndex(mListUnreliable ? 11 : 6);
        switch (kind) {
            case 0 -> replace(mHistory.randomVm());
            case 1 -> pause(mHistory.randomVm());
            case 2 -> cutPair(mHistory.randomVm(), mHistory.randomVm());
            case 3 -> cutLog(List.of(mHistory.randomVm()), 2_000 + mHistory.random(15_000));
            case 4 ->
                    cutLog(
                            new ArrayList<>(mHistory.vms().values()),
                            2_000 + mHistory.random(25_000));
            case 5 -> cutLog(new ArrayList<>(mHistory.vms().values()), 40_000);
            case 6 -> omit(List.of(mHistory.randomVm()), 6_000 + mHistory.random(20_000));
            case 7 -> omitAndCut(mHistory.randomVm(), mHistory.randomVm());
            case 8 -> isolate(randomDomain());
            case 9 -> replaceAll(randomDomain());
            default -> drainAll(randomDomain());
        }
    }

    /** Leaves VMs out of the lists of most other VMs for a while. */
    private void omit(List<FakeVm> vms, long lengthMs) {
        for (FakeVm vm : vms) {
            for (FakeVm reader : mHistory.vms().values()) {
                if (reader != vm && mHistory.chance(80)) {
                    String readerAddress = reader.mMember.address();
                    String address = vm.mMember.address();
                    mList.omit(readerAddress, address);
                    mHistory.at(lengthMs, () -> mList.restore(readerAddress, address));
                }
            }
        }
    }

    private void omitAndCut(FakeVm vm, FakeVm other) {
        omit(List.of(vm), 6_000 + mHistory.random(20_000));
        cutPair(vm, other);
    }

    private List<FakeVm> vmsOf(int domain) {
        return mHistory.vms().values().stream()
                .filter(vm -> vm.mDomain == domain && vm.mAlive)
                .sorted(Comparator.comparing(vm -> vm.mMember.address()))
                .toList();
    }

    /**
     * Cuts the VMs of a failure domain off from the log and from all other VMs, and then leaves
     * them out of the list, while another VM starts in that domain.
     */
    private void isolate(int domain) {
        List<FakeVm> isolated = vmsOf(domain);
        mHistory.startVm("vm" + domain + "x" + mHistory.nextNumber() + ":1", domain);
        long lengthMs = 10_000 + mHistory.random(25_000);
        cutLog(isolated, lengthMs);
        for (FakeVm vm : isolated) {
            for (FakeVm other : mHistory.vms().values()) {
                if (!isolated.contains(other)) {
                    cutPairFor(vm, other, lengthMs);
                }
            }
        }
        mHistory.at(LIST_LAG_MS, () -> omit(isolated, lengthMs));
    }

    /** Ends all VMs of a failure domain for good and starts others at other addresses. */
    private void replaceAll(int domain) {
        List<FakeVm> ended = vmsOf(domain);
        mHistory.startVm("vm" + domain + "y" + mHistory.nextNumber() + ":1", domain);
        ended.forEach(vm -> vm.mAlive = false);
        mHistory.at(LIST_LAG_MS, () -> ended.forEach(vm -> mList.remove(vm.mMember.address())));
    }

    /** Makes all VMs of a failure domain leave and starts one at another address. */
    private void drainAll(int domain) {
        List<FakeVm> leaving = vmsOf(domain);
        for (FakeVm vm : leaving) {
            long delayMs = mHistory.random(3_000);
            mHistory.at(delayMs, () -> mHistory.deliver(vm, new Event.DrainRequested(DRAIN_MS)));
        }
        long startMs = mHistory.random(6_000);
        mHistory.at(
                startMs,
                () -> mHistory.startVm("vm" + domain + "z" + mHistory.nextNumber() + ":1", domain));
    }

    /** Ends a VM that has left. */
    void drained(FakeVm vm) {
        vm.mAlive = false;
        mHistory.at(LIST_LAG_MS, () -> mList.remove(vm.mMember.address()));
    }

    /** Kills the VM's process and starts a new one at the same address later. */
    private void replace(FakeVm vm) {
        vm.mAlive = false;
        mHistory.at(
                mHistory.random(4_000), () -> mHistory.startVm(vm.mMember.address(), vm.mDomain));
    }

    void pause(FakeVm vm) {
        if (vm.mPaused) {
            return;
        }
        vm.mPaused = true;
        long lengthMs = 200 + mHistory.random(mHistory.chance(30) ? 40_000 : 6_000);
        boolean suspended = mListUnreliable && mHistory.chance(30);
        mHistory.at(lengthMs, () -> resume(vm, suspended ? lengthMs : 0));
    }

    private void resume(FakeVm vm, long suspendedMs) {
        vm.mSuspendedMs += suspendedMs;
        vm.mPaused = false;
        List<Runnable> deferred = new ArrayList<>(vm.mDeferred);
        vm.mDeferred.clear();
        if (vm.mAlive) {
            deferred.forEach(Runnable::run);
        }
    }

    private void cutPair(FakeVm one, FakeVm other) {
        cutPairFor(one, other, 1_000 + mHistory.random(20_000));
    }

    private void cutPairFor(FakeVm one, FakeVm other, long lengthMs) {
        String pair = one.mMember.address() + other.mMember.address();
        mCutPairs.add(pair);
        mHistory.at(lengthMs, () -> mCutPairs.remove(pair));
    }

    private void cutLog(List<FakeVm> vms, long lengthMs) {
        for (FakeVm vm : vms) {
            String address = vm.mMember.address();
            if (mCutFromLog.add(address)) {
                mHistory.at(lengthMs, () -> mCutFromLog.remove(address));
            }
        }
    }
}
