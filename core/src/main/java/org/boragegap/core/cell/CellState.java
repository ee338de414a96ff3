package org.boragegap.core.cell;

/**
 * What a controller has in hand, for metrics and dumps.
 *
 * @param fence fencing token of the term; 0 when this VM controls nothing
 * @param targets targets known
 * @param schedulable targets that may be given work
 * @param jobs jobs taken on and not ended
 * @param runs runs ordered and not known to have ended
 */
public record CellState(long fence, int targets, int schedulable, int jobs, int runs) {
    /** Of a VM that controls nothing. */
    public static final CellState NONE = new CellState(0, 0, 0, 0, 0);

    /** Both together; the fencing token is the higher one. */
    public CellState plus(CellState other) {
        return new CellState(
                Math.max(fence, other.fence),
                targets + other.targets,
                schedulable + other.schedulable,
                jobs + other.jobs,
                runs + other.runs);
    }
}
