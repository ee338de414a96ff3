/**
 * Cells: each consists of targets and the jobs that run on them, scheduled by one controller at a
 * time.
 *
 * <p>Any entry VM may be the controller; the platform's store assigns that role. {@link
 * org.boragegap.core.cell.CellController} decides for the cell, {@link
 * org.boragegap.core.cell.PendingJobs} holds the jobs for which one entry VM's callers wait. Both
 * are pure: they take events and a clock value and return actions.
 */
package org.boragegap.core.cell;
