package org.boragegap.core.cell;

/**
 * Limits that the platform sets for a cell, and which policies are switched on.
 *
 * @param maxLeaseMs longest lease that a target grants, in ms
 * @param farFactor how many times longer a task runs away from its data
 * @param speedPlacement true when placement and waiting times take the targets' speeds into account
 */
public record CellSettings(long maxLeaseMs, double farFactor, boolean speedPlacement) {
    /** Creates settings with all policies switched off. */
    public CellSettings(long maxLeaseMs, double farFactor) {
        this(maxLeaseMs, farFactor, false);
    }
}
