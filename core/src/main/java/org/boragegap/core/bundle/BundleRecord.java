package org.boragegap.core.bundle;

import org.boragegap.core.log.LogRecord;

/**
 * A bundle as read from the log.
 *
 * @param offset its offset in the log
 * @param appendedMs time of the append by the log's clock
 * @param kind whether the bundle is published or restated
 * @param asOf for a statement, the offset up to which its author had read the log: the bundle was
 *     the newest accepted one after the record at this offset
 * @param bundle the bundle with the result of its checks
 */
public record BundleRecord(long offset, long appendedMs, Kind kind, long asOf, CheckedBundle bundle)
        implements LogRecord {

    /** How a record affects the active bundle. */
    public enum Kind {
        /**
         * A publication: accepted if its parent is the newest accepted one when the record is read.
         */
        PUBLISHED,
        /** A statement: repeats the active bundle, so that it outlives the log's retention. */
        STATED
    }
}
