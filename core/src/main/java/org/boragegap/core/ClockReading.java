package org.boragegap.core;

/**
 * The clock value that comes with each event; the core reads no clock of its own.
 *
 * @param monotonicMs milliseconds since an arbitrary start, never going back
 * @param wallMs milliseconds since the Unix epoch, within the stated bound of other VMs
 */
public record ClockReading(long monotonicMs, long wallMs) {}
