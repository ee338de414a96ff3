package org.boragegap.core.cell;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * How a deployment is divided into cells. Each job and each target belongs to one cell for good, by
 * the hash of its id, so that a job which is handed in again meets the controller that knows it.
 *
 * <p>A controller's work grows with its cell, not with the deployment. The number of cells is
 * decided once for a deployment and kept in the store: were it to change, two controllers might
 * take the same target or job for theirs. So is the least lease of the group: what one VM says for
 * another counts for a lease, which has to be the same on all.
 *
 * @param cells how many there are
 * @param minLeaseMs least lease that a VM asks the group for, in ms
 */
public record CellLayout(int cells, long minLeaseMs) {
    /**
     * Targets of one cell, about: what the controller of one core bears; smaller cells pool less
     * room, and refuse callers while others have some.
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
     * A controller with less processor than this, in thousandths of a core, needs a longer lease:
     * on an eighth of a core the first second of load, with code that isn't compiled, held it up
     * for longer than a lease of a second, and the cell went on to the next one, to the same end.
     */
    private static final int SLOW_CPU_MILLIS = 300;

    /** That lease, in ms. A lost controller is replaced two seconds later by it. */
    private static final long SLOW_LEASE_MS = 3_000;

    /** Longest lease that a layout may name, in ms; far more than any VM is held up. */
    private static final long MAX_LEASE_MS = 60_000;

    /** Most cells; each has a topic in the store, which has room for 100. */
    private static final int MAX_CELLS = 60;

    /**
     * The layout for a deployment: cells of about fifty targets, or of as many fewer as the VMs
     * that will control them can bear. Two cells of 43 targets on VMs with an eighth of a core
     * served nothing: their controllers were busy with them three times over.
     *
     * @param targets how many targets it has
     * @param cpuMillis processor of each entry VM that is known, in thousandths of a core
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

    /** A layout whose VMs need no longer lease than the platform grants at least. */
    public static CellLayout ofCells(int cells) {
        return new CellLayout(cells, 0);
    }

    /** True when each of the strongest VMs can bear one of so many cells. */
    private static boolean canCarryCells(List<Integer> strongestFirst, int targets, int cells) {
        if (strongestFirst.size() < cells) {
            return true;
        }
        double perCell = (double) CPU_MILLIS_PER_TARGET * targets / cells;
        return strongestFirst.get(cells - 1) * MAX_CELL_CPU_SHARE >= perCell;
    }

    /** Reads what {@link #text} has written; empty if it can't be read. */
    public static Optional<CellLayout> parse(String text) {
        String[] parts = text.split(SEPARATOR, 2);
        try {
            int cells = Integer.parseInt(parts[0]);
            long leaseMs = parts.length == 2 ? Long.parseLong(parts[1]) : 0;
            boolean good = cells >= 1 && cells <= MAX_CELLS;
            good &= leaseMs >= 0 && leaseMs <= MAX_LEASE_MS;
            return good ? Optional.of(new CellLayout(cells, leaseMs)) : Optional.empty();
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

    /** Cell of a target; another incarnation may belong to another cell. */
    public int cellOfTarget(String id) {
        return cellOf(id);
    }

    private int cellOf(String id) {
        byte[] bytes = id.getBytes(StandardCharsets.UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(bytes), cells);
    }
}
