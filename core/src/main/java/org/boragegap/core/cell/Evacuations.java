package org.boragegap.core.cell;

import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The failure domains that operators are evacuating: nothing more is started on their targets, and
 * what runs there may finish. Kept across the terms of a controller.
 *
 * <p>Until the store has answered for the first time nothing is known, and every domain counts as
 * evacuated. Guards against a process that starts in the middle of an evacuation: if it were
 * assigned a cell before it has read the evacuations, it would start tasks in a domain that is
 * about to lose its power.
 */
final class Evacuations {
    private boolean mKnown;
    private SortedSet<String> mDomains = Collections.emptySortedSet();

    /** True when the evacuations have been read from the store. */
    boolean known() {
        return mKnown;
    }

    /**
     * Takes the current evacuations from the store.
     *
     * @param domains all failure domains to be evacuated
     * @return true when they were unknown before or have changed
     */
    boolean update(Set<String> domains) {
        boolean changed = !mKnown || !mDomains.equals(domains);
        mKnown = true;
        mDomains = Collections.unmodifiableSortedSet(new TreeSet<>(domains));
        return changed;
    }

    /** True when no evacuation keeps tasks from being started on the target. */
    boolean allows(TargetInfo target) {
        return mKnown && !mDomains.contains(target.failureDomain());
    }

    @Override
    public String toString() {
        return mKnown ? mDomains.toString() : "unknown";
    }
}
