package org.boragegap.core.cell;

import java.util.Optional;

/**
 * Whether this VM controls the cell, as the group of the platform's store has it.
 *
 * <p>The store deals the cell to one member of the group. A member that was not heard of for the
 * lease is dropped, so a VM whose renewals fail must take it that another one controls the cell by
 * then, unless most other entry VMs still follow it: while the store is away for all, nobody else
 * can be given the cell, and the tasks at work go on.
 */
public final class Membership {
    /** Terms that one VM can begin under one generation of the group. */
    private static final long TERMS_PER_GENERATION = 1_000;

    private final long mLeaseMs;
    private long mGeneration;
    private long mTermsOfGeneration;
    private long mFence;
    private long mRenewedMs;

    private Membership(long leaseMs) {
        mLeaseMs = leaseMs;
    }

    /** Makes a membership that has not joined; the lease is what the group grants, in ms. */
    public static Membership create(long leaseMs) {
        return new Membership(leaseMs);
    }

    /** Generation to name when joining again; 0 at first. */
    public long generation() {
        return mGeneration;
    }

    /** Fencing token of the term that has begun; empty while another VM controls the cell. */
    public Optional<Long> fence() {
        return mFence == 0 ? Optional.empty() : Optional.of(mFence);
    }

    /**
     * Takes the store's answer to a join.
     *
     * @param generation of the group
     * @param holds true when the cell is dealt to this VM
     * @param sentMs when the join was sent, on the monotonic clock
     * @return true when the join should be sent again at once, so that the store can go on dealing
     */
    public boolean joined(long generation, boolean holds, long sentMs) {
        if (generation < mGeneration) {
            return false;
        }
        boolean changed = generation > mGeneration;
        if (changed) {
            mTermsOfGeneration = 0;
        }
        mGeneration = generation;
        mRenewedMs = sentMs;
        if (!holds) {
            mFence = 0;
        } else if (mFence == 0) {
            mFence = generation * TERMS_PER_GENERATION + mTermsOfGeneration++;
        }
        return changed;
    }

    /** Another VM acts with a higher fencing token. */
    public void deposed() {
        mFence = 0;
    }

    /**
     * Ends the term if the membership may have lapsed.
     *
     * @param nowMs the monotonic clock
     * @param followed true when most other entry VMs have confirmed this controller lately
     */
    public void tick(long nowMs, boolean followed) {
        if (mFence != 0 && nowMs - mRenewedMs > mLeaseMs && !followed) {
            mFence = 0;
        }
    }
}
