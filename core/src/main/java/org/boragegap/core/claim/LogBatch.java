package org.boragegap.core.claim;

import java.util.List;

/**
 * Result of one read of the log.
 *
 * @param views view records of all failure domains in log order
 * @param firstOffset offset from which this reader has read everything without a gap
 * @param nextOffset offset after that of the last record that was read
 * @param nowMs time of the read by the log's clock
 * @param atEnd whether the read reached the end of the log
 * @param sentMs this reader's monotonic time when the read was sent
 */
public record LogBatch(
        List<LoggedView> views,
        long firstOffset,
        long nextOffset,
        long nowMs,
        boolean atEnd,
        long sentMs) {
    private static final long WHEN_HANDLED = Long.MAX_VALUE;

    /** Creates the result of a read that is handled in the moment in which it was sent. */
    public LogBatch(
            List<LoggedView> views, long firstOffset, long nextOffset, long nowMs, boolean atEnd) {
        this(views, firstOffset, nextOffset, nowMs, atEnd, WHEN_HANDLED);
    }
}
