package org.boragegap.core.log;

/** A record with its place on the log. */
public interface LogRecord {

    /** Its place in the log's order. */
    long offset();

    /** The log's own time of its append, milliseconds since the Unix epoch. */
    long appendedMs();
}
