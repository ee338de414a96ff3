package org.boragegap.core.cell;

/**
 * Bounds that the platform sets for a cell.
 *
 * @param leaseMaxMs longest lease that a target grants, in ms
 * @param resendMs least time after a failed attempt at which a caller hands a job in again, in ms
 * @param farFactor how many times longer a task runs away from its data
 */
public record CellSettings(long leaseMaxMs, long resendMs, double farFactor) {}
