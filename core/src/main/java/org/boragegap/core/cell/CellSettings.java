package org.boragegap.core.cell;

/**
 * Bounds that the platform sets for a cell.
 *
 * @param leaseMaxMs longest lease that a target grants, in ms
 * @param farFactor how many times longer a task runs away from its data
 */
public record CellSettings(long leaseMaxMs, double farFactor) {}
