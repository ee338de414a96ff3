package org.boragegap.core.bundle;

/**
 * A bundle on the log.
 *
 * @param kind whether it is published or stated again
 * @param bundle the bundle with the result of the checks
 */
public record BundleRecord(Kind kind, CheckedBundle bundle) {

    /** How a record takes part in the order. */
    public enum Kind {
        /** Takes effect if its parent is in force when it is read. */
        PUBLISHED,
        /** Repeats the bundle in force, so that it outlives the log's retention. */
        STATED
    }
}
