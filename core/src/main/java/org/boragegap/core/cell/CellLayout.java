package org.boragegap.core.cell;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The division of a deployment into cells. Each job and each target belongs permanently to one
 * cell, by the hash of its id, so that a job that is submitted again reaches the controller that
 * knows it.
 *
 * <p>A controller's work grows with its cell, not with the deployment. The number of cells is
 * decided once for a deployment and kept in the store: if it changed, two controllers might claim
 * the same target or job. The minimum lease of the group is kept there too: a VM's endorsement of
 * another is valid for one lease, which has to be the same on all VMs.
 *
 * @param cells number of cells
 * @param minLeaseMs minimum lease that a VM requests from the group, in ms
 */
public record CellLayout(int cells, long minLeaseMs) {
    /**
     * Approximate number of targets in a cell: as many as a controller with one core can handle.
     * Smaller cells pool less capacity, and refuse callers while others have some free.
     */
    private static final int TARGETS_PER_CELL = 50;

    /**
     * Processor that a controller uses for each of its targets under load, in thousandths of a
     * core.
     */
    private static final int CPU_MILLIS_PER_TARGET = 7;

    private static final String SEPARATOR = " ";

    /** Share of its processor that a VM may use for a cell; the rest is for its own callers. */
    private static final double MAX_CELL_CPU_SHARE = 0.5;

    /**
     * A controller with less processor than this, in thousandths of a core, needs a longer lease.
     * With an eighth of a core, the first second of load, running code that isn't compiled yet,
     * stalled a controller for longer than a lease of a second, and the cell moved to the next VM,
     * which failed in the same way.
     */
    private static final int SLOW_CPU_MILLIS = 300;

    /** The longer lease, in ms. With it, a lost controller is replaced two seconds later. */
    private static final long SLOW_LEASE_MS = 3_000;

    /** Longest lease that a layout may specify, in ms; far longer than any stall of a VM. */
    private static final long MAX_LEASE_MS = 60_000;

    /** Maximum number of cells; each has a topic in the store, which allows 100 topics. */
    private static final int MAX_CELLS = 60;

    /**
     * Returns the layout for a deployment: cells of about fifty targets, or of fewer if the VMs
     * that will control them can't handle as many. Two cells of 43 targets on VMs with an eighth of
     * a core served nothing: they needed three times the processor that their controllers had.
     *
     * @param targets number of targets in the deployment
     * @param cpuMillis processor of each known entry VM, in thousandths of a core
     */
    public static CellLayout forDeployment(int targets, List<Integer> cpuMillis) {
        int fewest = Math.max(1, (targets + TARGETS_PER_CELL - 1) / TARGETS_PER_CELL);
        int most = Math.min(MAX_CELLS, Math.max(fewest, cpuMillis.size()));
        List<Integer> strongestFirst = new ArrayList<>(cpuMillis);
        strongestFirst.sort(Comparator.reverseOrder());
        int cells = Math.min(MAX_CELLS, fewest);
        while (cells < most && !canCarryCells(strongestFirst, targets, cells)) {
            cells++;
        }
        return new CellLayout(cells, minLeaseMs(strongestFirst, cells));
    }

    private static long minLeaseMs(List<Integer> strongestFirst, int cells) {
        int last = Math.min(cells, strongestFirst.size()) - 1;
        boolean slow = last >= 0 && strongestFirst.get(last) < SLOW_CPU_MILLIS;
        return slow ? SLOW_LEASE_MS : 0;
    }

    /** A layout whose VMs need no longer lease than the minimum that the platform grants. */
    public static CellLayout ofCells(int cells) {
        return new CellLayout(cells, 0);
    }

    /** True when each of the strongest VMs, one for each cell, can control a cell of this size. */
    private static boolean canCarryCells(List<Integer> strongestFirst, int targets, int cells) {
        if (strongestFirst.size() < cells) {
            return true;
        }
        double perCell = (double) CPU_MILLIS_PER_TARGET * targets / cells;
        return strongestFirst.get(cells - 1) * MAX_CELL_CPU_SHARE >= perCell;
    }

    /** Parses what {@link #text} returns; empty if the text is invalid. */
    public static Optional<CellLayout> parse(String text) {
        String[] parts = text.split(SEPARATOR, 2);
        try {
            int cells = Integer.parseInt(parts[0]);
            long leaseMs = parts.length == 2 ? Long.parseLong(parts[1]) : 0;
            boolean valid = cells >= 1 && cells <= MAX_CELLS;
            valid &= leaseMs >= 0 && leaseMs <= MAX_LEASE_MS;
            return valid ? Optional.of(new CellLayout(cells, leaseMs)) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** The layout as text, for the store. */
    public String text() {
        return minLeaseMs == 0 ? Integer.toString(cells) : cells + SEPARATOR + minLeaseMs;
    }

    /** Cell of a job. */
    public int cellOfJob(String id) {
        return cellOf(id);
    }

    /** Cell of a target; another incarnation of it may belong to another cell. */
    public int cellOfTarget(String id) {
        return cellOf(id);
    }

    private int cellOf(String id) {
        byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(bytes), cells);
    }
}
