package org.boragegap.core.cell;

import java.util.Optional;
import org.boragegap.core.ClockReading;

/**
 * Whether this VM controls the cell, according to the group in the platform's store.
 *
 * <p>The store assigns the cell to one member of the group. A member that was not heard for a lease
 * is dropped, so a VM whose renewals fail must assume that another VM controls the cell by then. It
 * may continue only while all other VMs follow it, so that none of them has been assigned the cell,
 * and a majority can't join either; see {@link Followers}.
 */
public final class Membership {
    /** Number of terms that one VM can begin under one generation of the group. */
    private static final long TERMS_PER_GENERATION = 1_000;

    /**
     * Difference between the advance of two clocks that counts as a pause, in ms; scheduling delays
     * are shorter.
     */
    private static final long PAUSE_THRESHOLD_MS = 200;

    /**
     * How long a VM listens for a controller before it may become a candidate, in ms: some network
     * delays, in processes that have just started and run their code for the first time. After a
     * loss of all VMs this delays no caller, since earlier leases last longer. A VM that hears no
     * controller for another reason is kept from becoming a candidate by the majority rule; see
     * {@link Candidacy}.
     */
    private static final long LISTEN_MS = 250;

    /** Shortest time between two checks of the same hold, in ms; answers may be lost. */
    private static final long MIN_CHECK_INTERVAL_MS = 150;

    /** Allowance for clocks that run at slightly different rates, and for scheduling, in ms. */
    private static final long OUTAGE_MARGIN_MS = 50;

    private final long mLeaseMs;
    private long mGeneration;
    private long mTermsOfGeneration;
    private long mFence;

    /** When the last join was sent that the store has answered, whoever holds the cell. */
    private ClockReading mLastRenewal;

    /**
     * When the last call was sent whose answer proved that this VM has held the cell since its term
     * began.
     */
    private Optional<ClockReading> mLastHeldRenewal = Optional.empty();

    /** The last generation for which that was proven. */
    private long mProvenGeneration;

    /** The last answer to a join if it named this VM as the holder. */
    private Optional<Naming> mNaming = Optional.empty();

    /** The last check, and whether it has to be sent. */
    private Optional<HoldCheck> mCheck = Optional.empty();

    private boolean mCheckDue;
    private long mCheckedMs;

    /** The last heartbeat that the other VMs have endorsed; its lease expires by itself. */
    private Optional<ClockReading> mEndorsedHeartbeat = Optional.empty();

    private long mJoinedMs = -1;
    private long mLastOutageMs;
    private boolean mResigned;
    private boolean mAssignedElsewhere;

    private record Naming(long generation, ClockReading sent) {}

    /**
     * A question to the group: whether this VM has held the cell without a break since a
     * generation.
     *
     * @param fence fencing token of the term
     * @param since the last generation for which that is known
     * @param named the generation in which the group has named this VM
     */
    public record HoldCheck(long fence, long since, long named) {}

    private Membership(long leaseMs, ClockReading start) {
        mLeaseMs = leaseMs;
        mLastRenewal = start;
        mLastOutageMs = start.monotonicMs();
    }

    /**
     * Creates a membership that has not joined.
     *
     * @param leaseMs lease that the group grants, in ms
     * @param start when this process started
     */
    public static Membership create(long leaseMs, ClockReading start) {
        return new Membership(leaseMs, start);
    }

    /** Generation to send with the next join; 0 at first. */
    public long generation() {
        return mGeneration;
    }

    /** Fencing token of the current term; empty while this VM doesn't control the cell. */
    public Optional<Long> fence() {
        return mFence == 0 ? Optional.empty() : Optional.of(mFence);
    }

    /**
     * Takes the store's answer to a join.
     *
     * <p>An answer that names this VM renews its authority only in the generation for which its
     * hold is proven. In a later one another VM may have held the cell in between, and may have
     * extended leases; then {@link #takeHoldCheck} asks the group. An answer that doesn't name this
     * VM doesn't end its term: whenever a VM joins or is dropped the group rebalances, and often
     * names the same holder again a moment later. If another VM is assigned the cell, its first
     * heartbeat ends this term. If that VM is not heard, the authority of this VM ends one lease
     * after the last proof, and the other VM waits for that.
     *
     * @param generation generation of the group
     * @param holds true when the cell is assigned to this VM
     * @param sent when the join was sent
     * @param now the clock
     * @return true when the join should be sent again at once, so that the store can continue its
     *     rebalance
     */
    public boolean joined(long generation, boolean holds, ClockReading sent, ClockReading now) {
        if (generation < mGeneration) {
            return false;
        }
        boolean changed = generation > mGeneration;
        if (changed) {
            mTermsOfGeneration = 0;
        }
        mGeneration = generation;
        // A controller may continue after half a lease without the store; see storeSilent.
        boolean interrupted =
                sent.wallMs() - mLastRenewal.wallMs() > mLeaseMs / 2 || storeSilent(sent);
        if (mJoinedMs >= 0 && interrupted) {
            mLastOutageMs = sent.monotonicMs();
        }
        if (mJoinedMs < 0 || leaseExpired(sent)) {
            mJoinedMs = sent.monotonicMs();
        }
        mLastRenewal = sent;
        // An answer that arrives after the lease doesn't describe the present.
        boolean outdated = now.monotonicMs() - sent.monotonicMs() >= mLeaseMs;
        mAssignedElsewhere = !holds;
        mNaming = Optional.empty();
        if (holds && !outdated && !mResigned) {
            mNaming = Optional.of(new Naming(generation, sent));
            named(generation, sent, now);
        }
        return changed;
    }

    private void named(long generation, ClockReading sent, ClockReading now) {
        if (mFence == 0) {
            beginTerm(now);
        } else if (generation == mProvenGeneration) {
            mLastHeldRenewal = Optional.of(sent);
        } else {
            HoldCheck check = new HoldCheck(mFence, mProvenGeneration, generation);
            boolean repeated = mCheck.filter(check::equals).isPresent();
            if (!repeated || now.monotonicMs() - mCheckedMs >= MIN_CHECK_INTERVAL_MS) {
                mCheck = Optional.of(check);
                mCheckedMs = now.monotonicMs();
                mCheckDue = true;
            }
        }
    }

    /**
     * Begins a term if the group has just named this VM. The authority of an earlier term, and what
     * others have endorsed in it, don't count.
     */
    private void beginTerm(ClockReading now) {
        mFence = 0;
        mCheck = Optional.empty();
        mCheckDue = false;
        mEndorsedHeartbeat = Optional.empty();
        if (mNaming.filter(naming -> ageMs(naming.sent(), now) < mLeaseMs).isEmpty()) {
            return;
        }
        mProvenGeneration = mNaming.get().generation();
        mLastHeldRenewal = Optional.of(mNaming.get().sent());
        mFence = mGeneration * TERMS_PER_GENERATION + mTermsOfGeneration++;
    }

    private static long ageMs(ClockReading since, ClockReading now) {
        return now.monotonicMs() - since.monotonicMs();
    }

    /** Returns once what the group has to be asked now. */
    Optional<HoldCheck> takeHoldCheck() {
        boolean due = mCheckDue;
        mCheckDue = false;
        return due ? mCheck : Optional.empty();
    }

    /**
     * Takes the group's answer to a check. No answer proves nothing: the authority then ends by its
     * lease.
     *
     * @param unbroken true when this VM has held the cell since the generation that was asked for;
     *     otherwise the term ends, and another one begins if the group names this VM now
     * @param sent when the check was sent
     * @return true when the answer concerns the current term
     */
    public boolean holdChecked(
            HoldCheck check, boolean unbroken, ClockReading sent, ClockReading now) {
        if (mFence == 0 || check.fence() != mFence || check.since() < mProvenGeneration) {
            return false;
        }
        if (!unbroken) {
            beginTerm(now);
        } else if (ageMs(sent, now) < mLeaseMs) {
            mProvenGeneration = check.named();
            mLastHeldRenewal = Optional.of(sent);
        }
        return true;
    }

    /** When the last call was sent whose answer proved that this VM holds the cell. */
    Optional<ClockReading> lastHeld() {
        return mLastHeldRenewal;
    }

    /**
     * Until when the endorsements of others let this VM act without the store, in ms; 0 if they
     * don't.
     */
    private long endorsementEndMs(ClockReading clock) {
        return mEndorsedHeartbeat.map(heartbeat -> leaseEndMs(heartbeat, clock)).orElse(0L);
    }

    /** This VM leaves the group and no longer takes the cell. */
    public void resign() {
        mResigned = true;
        mNaming = Optional.empty();
        mFence = 0;
    }

    /** True when this VM leaves the group. */
    public boolean resigned() {
        return mResigned;
    }

    /** True when the group's last answer didn't name this VM as the holder. */
    boolean assignedElsewhere() {
        return mAssignedElsewhere;
    }

    /** Ends the term, because another VM acts with a higher fencing token. */
    public void deposed() {
        mNaming = Optional.empty();
        mFence = 0;
    }

    /**
     * Ends the term if the membership may have expired. Another one begins if the group names this
     * VM, and has only not told whether its hold was unbroken.
     *
     * @param clock the current time
     * @param endorsedHeartbeat when this VM sent the last heartbeat by which the other VMs let it
     *     act without the store; empty if there is none
     */
    public void tick(ClockReading clock, Optional<ClockReading> endorsedHeartbeat) {
        if (endorsedHeartbeat.isPresent()) {
            mEndorsedHeartbeat = endorsedHeartbeat;
        }
        if (mFence != 0 && clock.monotonicMs() > exclusiveUntilMs(clock)) {
            beginTerm(clock);
        }
    }

    /**
     * Until when this VM may assume that no other VM controls the cell, on its monotonic clock.
     * Leases granted to targets must not last longer.
     *
     * <p>Guards against a process that was paused: its monotonic clock stands still meanwhile, but
     * its lease continues. A pause shows as a wall clock that has advanced further; then nothing is
     * certain until the group has answered again. A wall clock that was set looks the same and
     * costs one join.
     */
    public long exclusiveUntilMs(ClockReading clock) {
        return Math.max(heldUntilMs(clock), endorsementEndMs(clock));
    }

    /** Who makes sure that no other VM controls the cell. */
    enum Authority {
        /** The store has proven within a lease that this VM holds the cell. */
        STORE,

        /** The other VMs have endorsed this VM within a lease. */
        FOLLOWERS,

        /** Nobody; another VM may control the cell. */
        NONE
    }

    /** What this VM's control of the cell rests on now. */
    Authority authority(ClockReading clock) {
        if (clock.monotonicMs() <= heldUntilMs(clock)) {
            return Authority.STORE;
        }
        boolean endorsed = clock.monotonicMs() <= endorsementEndMs(clock);
        return endorsed ? Authority.FOLLOWERS : Authority.NONE;
    }

    private long heldUntilMs(ClockReading clock) {
        return mLastHeldRenewal.map(held -> leaseEndMs(held, clock)).orElse(0L);
    }

    /**
     * End of a lease that began at {@code since}; the current time if this VM may have been paused
     * since.
     */
    private long leaseEndMs(ClockReading since, ClockReading clock) {
        long passedMs = clock.monotonicMs() - since.monotonicMs();
        long passedOnWallMs = clock.wallMs() - since.wallMs();
        boolean paused = Math.abs(passedOnWallMs - passedMs) > PAUSE_THRESHOLD_MS;
        return paused ? clock.monotonicMs() : since.monotonicMs() + mLeaseMs;
    }

    /** Records that this VM has endorsed a controller, which may then act without the store. */
    public void endorsedController(ClockReading clock) {
        mLastOutageMs = clock.monotonicMs();
    }

    /**
     * True when this VM has been in touch with the store for more than a lease, and has endorsed no
     * controller in that time. After an outage of the store an earlier controller may have acted
     * until just now. The wall clock counts too: a VM that was paused during the outage has not
     * seen it on its monotonic clock. Before its first join a process can have let a controller act
     * without the store only by an endorsement. Its earlier incarnation ended before this process
     * started, and the endorsements of that one expire a lease later.
     */
    public boolean sawNoOutage(ClockReading clock) {
        return clock.monotonicMs() - mLastOutageMs > mLeaseMs + OUTAGE_MARGIN_MS;
    }

    /**
     * True shortly after the first join, or the first one after a time without the store: this VM
     * has not had time to hear a controller.
     */
    public boolean recentlyJoined(ClockReading clock) {
        return mJoinedMs < 0 || clock.monotonicMs() - mJoinedMs < LISTEN_MS;
    }

    /**
     * How long no controller was heard, in ms. A VM that has just joined, and has listened, counts
     * as one that has missed the controller for long enough to become a candidate.
     *
     * @param heardMs when one was last heard
     * @param lostMs silence after which a controller counts as lost, in ms
     */
    long silentMs(Optional<Long> heardMs, long lostMs, ClockReading clock) {
        long listenedMs = mJoinedMs + LISTEN_MS - lostMs;
        return clock.monotonicMs() - Math.max(heardMs.orElse(listenedMs), listenedMs);
    }

    /**
     * True when no join was answered for half a lease. All VMs lose the store at the same moment,
     * but each renews at its own times: the controller must learn before its own lease expires that
     * the others can't reach the store either.
     */
    public boolean storeSilent(ClockReading clock) {
        return clock.monotonicMs() - mLastRenewal.monotonicMs() > mLeaseMs / 2;
    }

    /** True when no join was answered for a whole lease. */
    public boolean leaseExpired(ClockReading clock) {
        return clock.monotonicMs() - mLastRenewal.monotonicMs() > mLeaseMs;
    }
}
