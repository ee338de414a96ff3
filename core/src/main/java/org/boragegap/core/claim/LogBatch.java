package org.boragegap.core.claim;

import java.util.List;

/**
 * What one read of the log brought.
 *
 * @param views view records in log order, this failure domain's and others'
 * @param wholeHistory whether the log has been read from its very first record
 * @param atEnd whether the read reached the end of the log
 * @param startedMs monotonic time at which the read was sent
 */
public record LogBatch(
        List<LoggedView> views, boolean wholeHistory, boolean atEnd, long startedMs) {}
