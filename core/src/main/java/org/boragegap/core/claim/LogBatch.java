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
 */
public record LogBatch(
        List<LoggedView> views, long firstOffset, long nextOffset, long nowMs, boolean atEnd) {}
