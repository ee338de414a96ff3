package org.boragegap.core.claim;

import org.boragegap.core.log.LogRecord;

/**
 * A view record as read from the log.
 *
 * @param offset its offset on the log
 * @param record the record
 * @param appendedMs time of the append by the log's clock
 * @param ageMs how long before the read it was appended, by the log's clock
 */
public record LoggedView(long offset, ViewRecord record, long appendedMs, long ageMs)
        implements LogRecord {}
