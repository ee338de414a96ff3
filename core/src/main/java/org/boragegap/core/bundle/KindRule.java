package org.boragegap.core.bundle;

/**
 * What the bundle says of a kind of task.
 *
 * @param urgent whether the kind goes before others of its team
 */
public record KindRule(boolean urgent) {

    /** For kinds that the bundle doesn't name. */
    public static final KindRule DEFAULT = new KindRule(false);
}
