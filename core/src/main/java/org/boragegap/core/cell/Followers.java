package org.boragegap.core.cell;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.boragegap.core.ClockReading;

/**
 * The other entry VMs, and their endorsements of this controller, by which it may act without the
 * store.
 *
 * <p>It may do so while every VM that counts follows it, and a majority can't reach the store
 * either. All must follow, since the store asks no majority before it assigns the cell: a VM that
 * isn't heard may have been assigned it. A VM that has been assigned the cell follows no earlier
 * controller, and waits for a lease of the group before it takes what it hasn't heard of for ended.
 * The majority tells an outage of the store from a controller that has lost it alone, which a VM in
 * touch replaces.
 *
 * <p>Each answer extends the controller's authority for one lease, counted on the controller's
 * clock from the heartbeat that was answered. So a follower knows when its last endorsement has
 * expired, however long the answer took to arrive: one lease after it was given.
 */
final class Followers {
    /**
     * How long a VM that the group no longer lists still counts, in ms. The group drops a silent VM
     * after a lease, though it may only be cut off, and may reach the store again before the
     * controller's VM does.
     */
    private static final long DELISTED_COUNTS_MS = 10_000;

    /** The last heartbeat that each VM has answered as a follower. */
    private final Map<String, ClockReading> mAnswered = new HashMap<>();

    /** The last heartbeat that each VM has answered as a follower without the store. */
    private final Map<String, ClockReading> mEndorsements = new HashMap<>();

    private final Map<String, Long> mLastListedMs = new HashMap<>();

    private SortedSet<String> mPeers = Collections.emptySortedSet();

    /** Sorted, so that the order of broadcasts is the same in each process. */
    private SortedSet<String> mCounted = Collections.emptySortedSet();

    private OptionalLong mFirstListedMs = OptionalLong.empty();

    /** Peer addresses of the other entry VMs, sorted. */
    Set<String> peers() {
        return mPeers;
    }

    /**
     * Time for which this VM has known the members of the group, in ms; empty if it doesn't know
     * them yet.
     */
    OptionalLong knownForMs(long nowMs) {
        return mFirstListedMs.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(nowMs - mFirstListedMs.getAsLong());
    }

    /** Replaces the peers by the members of the group that were read. */
    void updatePeers(Set<String> peers, long nowMs) {
        if (mFirstListedMs.isEmpty()) {
            mFirstListedMs = OptionalLong.of(nowMs);
        }
        mPeers = sorted(peers);
        peers.forEach(peer -> mLastListedMs.put(peer, nowMs));
        mLastListedMs.values().removeIf(ms -> nowMs - ms > DELISTED_COUNTS_MS);
        mCounted = sorted(mLastListedMs.keySet());
        mAnswered.keySet().retainAll(mCounted);
        mEndorsements.keySet().retainAll(mCounted);
    }

    /**
     * Adds a VM that the list of members doesn't contain yet. Without it, that VM would receive no
     * heartbeat until the list is read again, and become a candidate for the cell meanwhile.
     */
    void addPeer(String peer, long nowMs) {
        if (!mPeers.contains(peer)) {
            Set<String> peers = new HashSet<>(mPeers);
            peers.add(peer);
            mPeers = sorted(peers);
        }
        if (mLastListedMs.put(peer, nowMs) == null) {
            mCounted = sorted(mLastListedMs.keySet());
        }
    }

    private static SortedSet<String> sorted(Set<String> peers) {
        return Collections.unmodifiableSortedSet(new TreeSet<>(peers));
    }

    /**
     * Records the answer of a follower to a heartbeat.
     *
     * @param storeSilent true when the follower can't reach the store; otherwise its earlier
     *     endorsement remains valid for its lease
     * @param heartbeat when that heartbeat was sent
     */
    void answered(String peer, boolean storeSilent, ClockReading heartbeat) {
        mAnswered.merge(peer, heartbeat, Followers::later);
        if (storeSilent) {
            mEndorsements.merge(peer, heartbeat, Followers::later);
        }
    }

    private static ClockReading later(ClockReading one, ClockReading other) {
        return one.monotonicMs() >= other.monotonicMs() ? one : other;
    }

    /**
     * The VMs that may be assigned the cell: those listed, heard, or listed until recently. Sorted.
     */
    Set<String> counted() {
        return mCounted;
    }

    /** The counted VMs that have answered no heartbeat sent since a time, sorted. */
    List<String> unansweredSince(long ms) {
        return missingIn(mAnswered, ms);
    }

    /** The counted VMs that have endorsed no heartbeat sent since a time, sorted. */
    List<String> notEndorsedSince(long ms) {
        return missingIn(mEndorsements, ms);
    }

    private List<String> missingIn(Map<String, ClockReading> heartbeats, long sinceMs) {
        return mCounted.stream()
                .filter(
                        peer ->
                                !heartbeats.containsKey(peer)
                                        || heartbeats.get(peer).monotonicMs() < sinceMs)
                .toList();
    }

    /**
     * The latest heartbeat that lets this controller act without the store for a lease.
     *
     * @param now the clock; a VM without peers endorses itself
     */
    Optional<ClockReading> endorsed(ClockReading now) {
        int needed = (mCounted.size() + 1) / 2;
        if (needed == 0) {
            return Optional.of(now);
        }
        if (mAnswered.size() < mCounted.size() || mEndorsements.size() < needed) {
            return Optional.empty();
        }
        ClockReading byMajority = latestFirst(mEndorsements).get(needed - 1);
        ClockReading byAll = latestFirst(mAnswered).get(mCounted.size() - 1);
        return Optional.of(earlier(byMajority, byAll));
    }

    private static List<ClockReading> latestFirst(Map<String, ClockReading> heartbeats) {
        return heartbeats.values().stream()
                .sorted(Comparator.comparingLong(ClockReading::monotonicMs).reversed())
                .toList();
    }

    private static ClockReading earlier(ClockReading one, ClockReading other) {
        return one.monotonicMs() <= other.monotonicMs() ? one : other;
    }
}
