package org.boragegap.core.claim;

import java.util.List;

/**
 * What one read of the log brought.
 *
 * @param views view records in log order, this failure domain's and others'
 * @param firstOffset offset from which on this reader has read everything without a gap
 * @param nextOffset offset after the last record that was read
 * @param nowMs the log's own time of the read
 * @param atEnd whether the read reached the end of the log
 */
public record LogBatch(
        List<LoggedView> views, long firstOffset, long nextOffset, long nowMs, boolean atEnd) {}
