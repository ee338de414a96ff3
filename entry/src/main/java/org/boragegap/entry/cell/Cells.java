package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import org.boragegap.core.cell.CellEvent;
import org.boragegap.core.cell.CellLayout;
import org.boragegap.core.cell.CellState;
import org.boragegap.core.cell.EntryEvent;
import org.boragegap.core.cell.MemberEvent;
import org.boragegap.core.cell.TargetInfo;

/**
 * This VM's part in each cell of the deployment. For the control thread, but for what is said to be
 * read on any thread.
 */
final class Cells {
    /** A process that is younger than this, in ms, is slow: it compiles its code as it runs. */
    private static final long WARM_UP_MS = 2_000;

    /**
     * Time between two ticks while some cell is busy, in ms: less than half of the shortest timeout
     * that they watch over.
     */
    private static final long SHORT_TICK_MS = 10;

    /** Time between two ticks while no cell is known, in ms: there is nothing to watch over. */
    private static final long NO_LAYOUT_TICK_MS = 100;

    private final Optional<CellLayout> mLayout;
    private final List<CellMemberDriver> mDrivers = new ArrayList<>();
    private final Set<Integer> mWatchingTargets = new HashSet<>();
    private final int mCpuMillis;
    private final long mBeganMs;

    private Cells(Optional<CellLayout> layout, int cpuMillis, long beganMs) {
        mLayout = layout;
        mCpuMillis = cpuMillis;
        mBeganMs = beganMs;
    }

    /** Of a process that doesn't know the layout yet. */
    static Cells none() {
        return new Cells(Optional.empty(), 0, 0);
    }

    /**
     * Makes the cells of a layout.
     *
     * @param cpuMillis processor of this VM, in thousandths of a core
     * @param beganMs when this process began, on the monotonic clock, in ms
     * @param control makes this VM's part in the cell of a number
     */
    static Cells create(
            CellLayout layout, int cpuMillis, long beganMs, IntFunction<CellMemberDriver> control) {
        Cells cells = new Cells(Optional.of(layout), cpuMillis, beganMs);
        for (int cell = 0; cell < layout.cells(); cell++) {
            cells.mDrivers.add(control.apply(cell));
        }
        return cells;
    }

    /** True when the layout is known; to be read on any thread. */
    boolean layoutKnown() {
        return mLayout.isPresent();
    }

    /** How many there are; 0 while the layout isn't known. */
    int count() {
        return mDrivers.size();
    }

    /** Cell of a job; to be called on any thread once the layout is known. */
    int cellOfJob(String id) {
        return mLayout.orElseThrow().cellOfJob(id);
    }

    /** Passes an event on; one for a cell that the layout doesn't have is dropped. */
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

    /** Passes an event on to all cells. */
    void onAll(MemberEvent event) {
        mDrivers.forEach(control -> control.on(event));
    }

    /**
     * Time has passed. A VM that controls some cells, or asks for them, has less for others; so has
     * one that has just started: its code isn't compiled yet, and a cell that it controlled in a
     * rolling restart served nobody for a second.
     */
    void tick() {
        long nowMs = ControlThread.clock().monotonicMs();
        int youth = nowMs - mBeganMs < WARM_UP_MS ? 1 : 0;
        for (CellMemberDriver control : mDrivers) {
            // Counted anew for each: one that has just asked for a cell is not the strongest VM for
            // the next one. Counted once a tick, one weak VM of 18 took three of ten cells.
            control.strength(mCpuMillis / (1 + otherWantedCells(control) + youth));
            control.tick(nowMs);
        }
    }

    private int otherWantedCells(CellMemberDriver control) {
        int wanted = 0;
        for (CellMemberDriver other : mDrivers) {
            wanted += other != control && other.wantsCell() ? 1 : 0;
        }
        return wanted;
    }

    /** Time to the next tick, in ms: soon if some cell has something that can't wait. */
    long tickIntervalMs() {
        long tickMs = NO_LAYOUT_TICK_MS;
        for (CellMemberDriver control : mDrivers) {
            tickMs =
                    Math.min(
                            tickMs,
                            control.needsShortTicks() ? SHORT_TICK_MS : control.idleTickMs());
        }
        return tickMs;
    }

    /** Tells each cell that follows the list of targets which of them are its own. */
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

    /** Tells all cells which failure domains operators want emptied. */
    void domainsEvacuated(Set<String> domains) {
        for (int cell = 0; cell < mDrivers.size(); cell++) {
            on(cell, new CellEvent.DomainsEvacuated(domains));
        }
    }

    /** A cell begins or ends following the list; true when any cell does. */
    boolean watchTargets(int cell, boolean follow) {
        if (follow) {
            mWatchingTargets.add(cell);
        } else {
            mWatchingTargets.remove(cell);
        }
        return !mWatchingTargets.isEmpty();
    }

    /** Cells that this VM asks the group for; to be read on any thread. */
    Set<Integer> wantedCells() {
        Set<Integer> wanted = new HashSet<>();
        for (int cell = 0; cell < mDrivers.size(); cell++) {
            if (mDrivers.get(cell).wantsCell()) {
                wanted.add(cell);
            }
        }
        return wanted;
    }

    /** Whether callers do well to come to this VM; to be read on any thread. */
    boolean canServeCallers() {
        return mDrivers.stream().anyMatch(CellMemberDriver::canServeCallers);
    }

    int waitingCallers() {
        return mDrivers.stream().mapToInt(CellMemberDriver::waitingCallers).sum();
    }

    boolean mayLeave() {
        return mDrivers.stream().allMatch(CellMemberDriver::mayLeave);
    }

    /** What this VM controls, over all cells. */
    CellState state() {
        CellState sum = CellState.NONE;
        for (CellMemberDriver control : mDrivers) {
            sum = sum.plus(control.state());
        }
        return sum;
    }
}
