package org.boragegap.core.cell;

import java.util.Set;

/**
 * Which failure domains operators want emptied: nothing more is started on their targets, and what
 * runs there ends in peace. Outlives the terms of a controller.
 *
 * <p>Until the first answer of the store nothing is known, and every domain counts as evacuated.
 * Guards against a process that starts in the middle of an evacuation: dealt a cell before it has
 * read what operators ask for, it would start tasks in a domain that is about to lose its power.
 */
final class Evacuations {
    private boolean mKnown;
    private Set<String> mDomains = Set.of();

    /** True when the store has told what operators ask for. */
    boolean known() {
        return mKnown;
    }

    /**
     * Takes what the store says now.
     *
     * @param domains all failure domains that are to be empty
     * @return true when it says something else than before
     */
    boolean update(Set<String> domains) {
        boolean changed = !mKnown || !mDomains.equals(domains);
        mKnown = true;
        mDomains = Set.copyOf(domains);
        return changed;
    }

    /** True when tasks may be started on the target, as far as operators are concerned. */
    boolean allows(TargetInfo target) {
        return mKnown && !mDomains.contains(target.failureDomain());
    }

    @Override
    public String toString() {
        return mKnown ? mDomains.toString() : "unknown";
    }
}
