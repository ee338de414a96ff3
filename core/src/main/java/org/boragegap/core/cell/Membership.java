package org.boragegap.core.cell;

import java.util.Optional;
import org.boragegap.core.ClockReading;

/**
 * Whether this VM controls the cell, as the group of the platform's store has it.
 *
 * <p>The store deals the cell to one member of the group. A member that was not heard of for the
 * lease is dropped, so a VM whose renewals fail must take it that another one controls the cell by
 * then. It may go on only while most other entry VMs follow it and can't join either: the store is
 * away for all then, nobody else can be given the cell, and the tasks at work go on.
 */
public final class Membership {
    /** Terms that one VM can begin under one generation of the group. */
    private static final long TERMS_PER_GENERATION = 1_000;

    /** Difference between two clocks that counts as a pause, in ms; scheduling delays are less. */
    private static final long PAUSE_THRESHOLD_MS = 200;

    /**
     * How long a VM listens for a controller before it asks for the cell, in ms: some hops, on
     * processes that have just started and run their code for the first time. After a loss of all
     * VMs it costs callers nothing, since leases of before last longer. One that hears none for
     * another cause is kept from asking by the others; see Candidacy.
     */
    private static final long LISTEN_MS = 250;

    /** Allows for clocks that run at slightly different rates, and for scheduling, in ms. */
    private static final long OUTAGE_MARGIN_MS = 50;

    private final long mLeaseMs;
    private long mGeneration;
    private long mTermsOfGeneration;
    private long mFence;

    /** When the last join was sent that the store has answered, whoever holds the cell. */
    private ClockReading mLastRenewal;

    /** The same of the last join whose answer named this VM as the holder. */
    private Optional<ClockReading> mLastHeldRenewal = Optional.empty();

    /** The last heartbeat for which most VMs have vouched; its lease runs out by itself. */
    private Optional<ClockReading> mQuorumHeartbeat = Optional.empty();

    private long mJoinedMs = -1;
    private long mLastOutageMs;
    private boolean mResigned;
    private boolean mAssignedElsewhere;

    private Membership(long leaseMs, ClockReading began) {
        mLeaseMs = leaseMs;
        mLastRenewal = began;
        mLastOutageMs = began.monotonicMs();
    }

    /**
     * Makes a membership that has not joined.
     *
     * @param leaseMs what the group grants, in ms
     * @param began when this process began
     */
    public static Membership create(long leaseMs, ClockReading began) {
        return new Membership(leaseMs, began);
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
     * <p>An answer that doesn't name this VM as the holder doesn't end its term. Whenever a VM
     * joins or is dropped the group deals everything anew, and often names the same holder again a
     * moment later; ended and begun again, the term had to wait for a second until leases of before
     * were over. If another VM is dealt the cell, its first heartbeat ends this term. One that is
     * not heard can't do harm: what this VM may do ends a lease after the last answer that named
     * it, and the other one waits for that.
     *
     * @param generation of the group
     * @param holds true when the cell is dealt to this VM
     * @param sent when the join was sent
     * @param now the clock
     * @return true when the join should be sent again at once, so that the store can go on dealing
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
        // A controller may go on after half a lease without the store; see storeSilent.
        boolean missed = sent.wallMs() - mLastRenewal.wallMs() > mLeaseMs / 2 || storeSilent(sent);
        if (mJoinedMs >= 0 && missed) {
            mLastOutageMs = sent.monotonicMs();
        }
        if (mJoinedMs < 0 || leaseExpired(sent)) {
            mJoinedMs = sent.monotonicMs();
        }
        mLastRenewal = sent;
        // An answer that comes after the lease says nothing of now.
        boolean outdated = now.monotonicMs() - sent.monotonicMs() >= mLeaseMs;
        mAssignedElsewhere = !holds;
        if (holds && !outdated && !mResigned) {
            hold(sent);
        }
        return changed;
    }

    private void hold(ClockReading sent) {
        mLastHeldRenewal = Optional.of(sent);
        if (mFence == 0) {
            mFence = mGeneration * TERMS_PER_GENERATION + mTermsOfGeneration++;
        }
    }

    /** Until when the word of the others lets this VM act without the store; 0 for never. */
    private long quorumLeaseEndMs(ClockReading clock) {
        return mQuorumHeartbeat.map(vouched -> leaseEndMs(vouched, clock)).orElse(0L);
    }

    /** This VM leaves the group: it takes the cell no more. */
    public void resign() {
        mResigned = true;
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

    /** Another VM acts with a higher fencing token. */
    public void deposed() {
        mFence = 0;
    }

    /**
     * Ends the term if the membership may have lapsed.
     *
     * @param clock now
     * @param vouched when this VM sent the last heartbeat that most entry VMs have answered as
     *     followers that can't join either; empty if there is none
     */
    public void tick(ClockReading clock, Optional<ClockReading> vouched) {
        if (vouched.isPresent()) {
            mQuorumHeartbeat = vouched;
        }
        if (mFence != 0 && clock.monotonicMs() > exclusiveUntilMs(clock)) {
            mFence = 0;
        }
    }

    /**
     * Until when this VM may take it that nobody else controls the cell, on its monotonic clock.
     * Leases given to targets must not last longer.
     *
     * <p>Guards against a process that was paused: its monotonic clock stands still meanwhile, its
     * lease goes on. A pause shows as a wall clock that has moved further; then nothing is sure
     * until the group has answered again. A wall clock that was set shows the same and costs one
     * join.
     */
    public long exclusiveUntilMs(ClockReading clock) {
        long heldUntilMs = mLastHeldRenewal.map(held -> leaseEndMs(held, clock)).orElse(0L);
        return Math.max(heldUntilMs, quorumLeaseEndMs(clock));
    }

    /** End of a lease that began at {@code since}; now, if this VM may have been paused since. */
    private long leaseEndMs(ClockReading since, ClockReading clock) {
        long passedMs = clock.monotonicMs() - since.monotonicMs();
        long passedOnWallMs = clock.wallMs() - since.wallMs();
        boolean paused = Math.abs(passedOnWallMs - passedMs) > PAUSE_THRESHOLD_MS;
        return paused ? clock.monotonicMs() : since.monotonicMs() + mLeaseMs;
    }

    /** This VM has told a controller to go on without the store. */
    public void endorsedController(ClockReading clock) {
        mLastOutageMs = clock.monotonicMs();
    }

    /**
     * True when this VM, for over a lease, was in touch with the store and has told no controller
     * to go on without it. After an outage of the store an earlier controller may have gone on
     * until just now. The wall clock counts too: a VM that was paused through the outage has not
     * seen it on its monotonic clock. Before its first join a process can only have kept a
     * controller in office by saying so, and its earlier life ended before this one began: what
     * that one said is over a lease after.
     */
    public boolean sawNoOutage(ClockReading clock) {
        return clock.monotonicMs() - mLastOutageMs > mLeaseMs + OUTAGE_MARGIN_MS;
    }

    /**
     * True shortly after the first join, or the first after a time without the store: this VM has
     * not had the time to hear of a controller.
     */
    public boolean recentlyJoined(ClockReading clock) {
        return mJoinedMs < 0 || clock.monotonicMs() - mJoinedMs < LISTEN_MS;
    }

    /**
     * How long no controller was heard of, in ms. A VM that has just come, and has listened, counts
     * as one that has missed the controller for long enough to ask for the cell.
     *
     * @param heardMs when one was last heard of
     * @param lostMs silence after which a controller counts as lost, in ms
     */
    long silentMs(Optional<Long> heardMs, long lostMs, ClockReading clock) {
        long listenedMs = mJoinedMs + LISTEN_MS - lostMs;
        return clock.monotonicMs() - Math.max(heardMs.orElse(listenedMs), listenedMs);
    }

    /**
     * True when no join was answered for half a lease. All VMs lose the store at one moment, and
     * each renews at moments of its own: the controller must learn that the others are cut off too
     * before its own lease is over.
     */
    public boolean storeSilent(ClockReading clock) {
        return clock.monotonicMs() - mLastRenewal.monotonicMs() > mLeaseMs / 2;
    }

    /** True when no join was answered for a whole lease. */
    public boolean leaseExpired(ClockReading clock) {
        return clock.monotonicMs() - mLastRenewal.monotonicMs() > mLeaseMs;
    }
}
