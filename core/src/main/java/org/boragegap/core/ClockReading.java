package org.boragegap.core;

/**
 * The clock value that comes with each event; the core reads no clock of its own.
 *
 * @param monotonicMs milliseconds since an arbitrary start, never decreasing
 * @param wallMs milliseconds since the Unix epoch, differing from other VMs' clocks by no more than
 *     the configured clock skew
 */
public record ClockReading(long monotonicMs, long wallMs) {}
