package org.boragegap.app;

import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.boragegap.standin.CellTargetStandin;

/** Injects a series of each kind of fault; the series overlap. */
final class FaultSeries {
    private static final int MAX_CUT_TARGETS = 4;
    private static final int MAX_CUT_MS = 1_500;

    /** Kinds of faults, with the shortest and the longest time to the next of the kind, in ms. */
    private enum Fault {
        KILL_CONTROLLER(1_500, 4_000, FaultSeries::killController),
        TERMINATE_CONTROLLER(1_500, 4_000, FaultSeries::terminateController),
        KILL_ANY(5_000, 12_000, (processes, random) -> processes.anyEntryVm(random).kill()),
        TERMINATE_ANY(
                5_000, 12_000, (processes, random) -> processes.anyEntryVm(random).terminate()),
        REASSIGN(50, 400, (processes, random) -> processes.store().reassignAtOnce(random)),
        CUT_TARGETS(300, 900, FaultSeries::cutTargets);

        private final int mMinGapMs;
        private final int mMaxGapMs;
        private final BiConsumer<CellProcesses, SplittableRandom> mEffect;

        Fault(int minGapMs, int maxGapMs, BiConsumer<CellProcesses, SplittableRandom> effect) {
            mMinGapMs = minGapMs;
            mMaxGapMs = maxGapMs;
            mEffect = effect;
        }
    }

    private final CellProcesses mProcesses;
    private final SplittableRandom mRandom;
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(1);

    private FaultSeries(CellProcesses processes, SplittableRandom random) {
        mProcesses = processes;
        mRandom = random;
    }

    static FaultSeries create(CellProcesses processes, SplittableRandom random) {
        return new FaultSeries(processes, random);
    }

    /** Schedules all faults within a time, in ms. */
    void start(long durationMs) {
        for (Fault fault : Fault.values()) {
            long atMs = mRandom.nextInt(fault.mMaxGapMs);
            while (atMs < durationMs) {
                SplittableRandom random = mRandom.split();
                mTimer.schedule(() -> inject(fault, random), atMs, TimeUnit.MILLISECONDS);
                atMs += mRandom.nextInt(fault.mMinGapMs, fault.mMaxGapMs);
            }
        }
    }

    private void inject(Fault fault, SplittableRandom random) {
        System.out.println(System.currentTimeMillis() + " fault " + fault);
        fault.mEffect.accept(mProcesses, random);
    }

    void stop() {
        mTimer.shutdownNow();
        mProcesses.targets().forEach(target -> target.unreachable(false));
    }

    private static CellProcesses.EntryVm controller(
            CellProcesses processes, SplittableRandom random) {
        return processes.controller().orElseGet(() -> processes.anyEntryVm(random));
    }

    private static void killController(CellProcesses processes, SplittableRandom random) {
        cutTargets(processes, random);
        controller(processes, random).kill();
    }

    private static void terminateController(CellProcesses processes, SplittableRandom random) {
        cutTargets(processes, random);
        controller(processes, random).terminate();
    }

    private static void cutTargets(CellProcesses processes, SplittableRandom random) {
        int count = 1 + random.nextInt(MAX_CUT_TARGETS);
        for (int i = 0; i < count; i++) {
            int number = random.nextInt(processes.targets().size());
            CellTargetStandin target = processes.targets().get(number);
            target.unreachable(true);
            processes.later(() -> target.unreachable(false), random.nextInt(MAX_CUT_MS));
        }
    }
}
