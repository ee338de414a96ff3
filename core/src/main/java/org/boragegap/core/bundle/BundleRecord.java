package org.boragegap.core.bundle;

import org.boragegap.core.log.LogRecord;

/**
 * A bundle as read from the log.
 *
 * @param offset its place in the log's order
 * @param appendedMs the log's own time of the append
 * @param kind whether it is published or stated again
 * @param asOf a statement is true of the log up to this offset, which its author had read
 * @param bundle the bundle with the result of the checks
 */
public record BundleRecord(long offset, long appendedMs, Kind kind, long asOf, CheckedBundle bundle)
        implements LogRecord {

    /** How a record takes part in the order. */
    public enum Kind {
        /** Takes effect if its parent is in force when it is read. */
        PUBLISHED,
        /** Repeats the bundle in force, so that it outlives the log's retention. */
        STATED
    }
}
