package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntFunction;
import org.boragegap.core.cell.CellEvent;
import org.boragegap.core.cell.CellLayout;
import org.boragegap.core.cell.CellState;
import org.boragegap.core.cell.EntryEvent;
import org.boragegap.core.cell.MemberEvent;
import org.boragegap.core.cell.TargetInfo;

/**
 * This VM's members of all cells of the deployment. Used by the {@link ControlThread} only, except
 * where noted.
 */
final class Cells {
    /** How long a new process is slow, in ms, while much of its code isn't compiled yet. */
    private static final long WARM_UP_MS = 2_000;

    /**
     * Interval between ticks while some cell needs short ticks, in ms: less than half of the
     * shortest timeout that a tick checks.
     */
    private static final long SHORT_TICK_MS = 10;

    /** Interval between ticks while no layout is known, in ms: there is no timeout to check. */
    private static final long NO_LAYOUT_TICK_MS = 100;

    private final Optional<CellLayout> mLayout;
    private final List<CellMemberDriver> mDrivers = new ArrayList<>();
    private final Set<Integer> mWatchingTargets = ConcurrentHashMap.newKeySet();
    private final int mCpuMillis;
    private final long mBeganMs;

    private Cells(Optional<CellLayout> layout, int cpuMillis, long beganMs) {
        mLayout = layout;
        mCpuMillis = cpuMillis;
        mBeganMs = beganMs;
    }

    /** Creates an instance without cells, for a process that doesn't know the layout yet. */
    static Cells none() {
        return new Cells(Optional.empty(), 0, 0);
    }

    /**
     * Creates this VM's members of the cells of a layout.
     *
     * @param cpuMillis CPU capacity of this VM, in thousandths of a core
     * @param beganMs when this process began, on the monotonic clock, in ms
     * @param createDriver creates the driver for the cell of a given number
     */
    static Cells create(
            CellLayout layout,
            int cpuMillis,
            long beganMs,
            IntFunction<CellMemberDriver> createDriver) {
        Cells cells = new Cells(Optional.of(layout), cpuMillis, beganMs);
        for (int cell = 0; cell < layout.cells(); cell++) {
            cells.mDrivers.add(createDriver.apply(cell));
        }
        return cells;
    }

    /** True when the layout is known. May be called on any thread. */
    boolean layoutKnown() {
        return mLayout.isPresent();
    }

    /** Number of cells; 0 while the layout isn't known. */
    int count() {
        return mDrivers.size();
    }

    /** Cell of a job. May be called on any thread, once the layout is known. */
    int cellOfJob(String id) {
        return mLayout.orElseThrow().cellOfJob(id);
    }

    /** Passes an event to a cell; an event for a cell that the layout doesn't have is dropped. */
    void on(int cell, MemberEvent event) {
        if (cell >= 0 && cell < mDrivers.size()) {
            mDrivers.get(cell).on(event);
        }
    }

    void on(int cell, CellEvent event) {
        on(cell, new MemberEvent.ForController(event));
    }

    void on(int cell, EntryEvent event) {
        on(cell, new MemberEvent.ForPendingJobs(event));
    }

    /** Passes an event to all cells. */
    void onAll(MemberEvent event) {
        mDrivers.forEach(driver -> driver.on(event));
    }

    /**
     * Ticks all cells, and updates this VM's strength for each. The strength is lower while this VM
     * controls other cells or asks for them, and when it has just started: its code isn't compiled
     * yet, and in a rolling restart a cell that such a VM controlled served no caller for a second.
     */
    void tick() {
        long nowMs = ControlThread.clock().monotonicMs();
        int warmingUp = nowMs - mBeganMs < WARM_UP_MS ? 1 : 0;
        for (CellMemberDriver driver : mDrivers) {
            // Counted again for each cell, since this VM may just have asked for another one and is
            // weaker for this one then. Counted once a tick, one weak VM of 18 took three of ten
            // cells.
            driver.strength(mCpuMillis / (1 + otherWantedCells(driver) + warmingUp));
            driver.tick(nowMs);
        }
    }

    private int otherWantedCells(CellMemberDriver driver) {
        int wanted = 0;
        for (CellMemberDriver other : mDrivers) {
            wanted += other != driver && other.wantsCell() ? 1 : 0;
        }
        return wanted;
    }

    /** Interval to the next tick, in ms; short if some cell needs short ticks. */
    long tickIntervalMs() {
        long intervalMs = NO_LAYOUT_TICK_MS;
        for (CellMemberDriver driver : mDrivers) {
            intervalMs =
                    Math.min(
                            intervalMs,
                            driver.needsShortTicks() ? SHORT_TICK_MS : driver.idleTickMs());
        }
        return intervalMs;
    }

    /** Passes to each cell that watches the list of targets those that belong to the cell. */
    void targetsListed(List<TargetInfo> targets) {
        for (int cell : mWatchingTargets) {
            List<TargetInfo> own = new ArrayList<>();
            for (TargetInfo target : targets) {
                if (mLayout.orElseThrow().cellOfTarget(target.id()) == cell) {
                    own.add(target);
                }
            }
            on(cell, new CellEvent.TargetsListed(own));
        }
    }

    /** Passes the failure domains to be evacuated to all cells. */
    void domainsEvacuated(Set<String> domains) {
        for (int cell = 0; cell < mDrivers.size(); cell++) {
            on(cell, new CellEvent.DomainsEvacuated(domains));
        }
    }

    /** Starts or stops watching the list for a cell; returns true while any cell watches it. */
    boolean watchTargets(int cell, boolean watch) {
        if (watch) {
            mWatchingTargets.add(cell);
        } else {
            mWatchingTargets.remove(cell);
        }
        return !mWatchingTargets.isEmpty();
    }

    /** True when the target's cell watches the list of targets. May be called on any thread. */
    boolean watchesTarget(String id) {
        return mLayout.filter(l -> mWatchingTargets.contains(l.cellOfTarget(id))).isPresent();
    }

    /** Cells that this VM asks the group for. May be called on any thread. */
    Set<Integer> wantedCells() {
        Set<Integer> wanted = new HashSet<>();
        for (int cell = 0; cell < mDrivers.size(); cell++) {
            if (mDrivers.get(cell).wantsCell()) {
                wanted.add(cell);
            }
        }
        return wanted;
    }

    /** True when this VM can serve callers of some cell. May be called on any thread. */
    boolean canServeCallers() {
        return mDrivers.stream().anyMatch(CellMemberDriver::canServeCallers);
    }

    int waitingCallers() {
        return mDrivers.stream().mapToInt(CellMemberDriver::waitingCallers).sum();
    }

    boolean mayLeave() {
        return mDrivers.stream().allMatch(CellMemberDriver::mayLeave);
    }

    /** Sums up what this VM controls in all cells. */
    CellState state() {
        CellState sum = CellState.NONE;
        for (CellMemberDriver driver : mDrivers) {
            sum = sum.plus(driver.state());
        }
        return sum;
    }
}
