package org.boragegap.core.log;

/** A record as read from the log. */
public interface LogRecord {

    /** Its offset in the log. */
    long offset();

    /** Time of its append by the log's clock, milliseconds since the Unix epoch. */
    long appendedMs();
}
