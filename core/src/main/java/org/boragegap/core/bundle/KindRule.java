package org.boragegap.core.bundle;

/**
 * A bundle's rule for one kind of task.
 *
 * @param urgent whether jobs of this kind are served before other jobs of the same team
 */
public record KindRule(boolean urgent) {

    /** The rule for kinds that the bundle doesn't name. */
    public static final KindRule DEFAULT = new KindRule(false);
}
