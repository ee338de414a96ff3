package org.boragegap.core.cell;

/**
 * Limits that the platform sets for a cell.
 *
 * @param maxLeaseMs longest lease that a target grants, in ms
 * @param farFactor how many times longer a task runs away from its data
 */
public record CellSettings(long maxLeaseMs, double farFactor) {}
