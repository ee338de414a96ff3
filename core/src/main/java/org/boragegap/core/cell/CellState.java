package org.boragegap.core.cell;

/**
 * State of a controller, for metrics and dumps.
 *
 * @param fence fencing token of the term; 0 when this VM controls nothing
 * @param targets number of known targets
 * @param schedulable number of targets that may be given work
 * @param jobs number of accepted jobs that have not ended
 * @param runs number of runs that were ordered and are not known to have ended
 * @param lent number of targets that are lent to other cells
 * @param borrowed number of targets that are borrowed from other cells; also counted as known
 */
public record CellState(
        long fence, int targets, int schedulable, int jobs, int runs, int lent, int borrowed) {
    /** State of a VM that controls nothing. */
    public static final CellState NONE = new CellState(0, 0, 0, 0, 0, 0, 0);

    /** Sum of both states; the fencing token is the higher one. */
    public CellState plus(CellState other) {
        return new CellState(
                Math.max(fence, other.fence),
                targets + other.targets,
                schedulable + other.schedulable,
                jobs + other.jobs,
                runs + other.runs,
                lent + other.lent,
                borrowed + other.borrowed);
    }
}
