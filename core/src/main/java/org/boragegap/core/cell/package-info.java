/**
 * A cell: targets and the jobs that run on them, scheduled by one controller at a time.
 *
 * <p>Any entry VM may be the controller; the platform's store deals that duty. {@link
 * org.boragegap.core.cell.CellController} decides for the cell, {@link
 * org.boragegap.core.cell.PendingJobs} keeps what one entry VM's callers wait for. Both are pure:
 * events and a clock value in, actions out.
 */
package org.boragegap.core.cell;
