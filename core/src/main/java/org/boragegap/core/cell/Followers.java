package org.boragegap.core.cell;

import java.util.ArrayList;
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
 * The other entry VMs, and their endorsements of this controller. A follower that can't reach the
 * store endorses the controller, so that it may act without the store.
 *
 * <p>Each endorsement extends the controller's authority for one lease, counted on the controller's
 * clock from the heartbeat that was answered. So a follower knows when its last endorsement has
 * expired, however long the answer took to arrive: one lease after it was given.
 */
final class Followers {
    /**
     * How long a VM that the group no longer lists still counts towards the majority, in ms. Guards
     * against a partition that leaves half of the VMs with the controller while one of the other
     * half restarts: by the list alone its side was a majority, and it acted alongside the
     * controller to which the store had assigned the cell meanwhile.
     */
    private static final long DELISTED_COUNTS_MS = 10_000;

    private final Map<String, ClockReading> mEndorsements = new HashMap<>();
    private final Map<String, Long> mLastListedMs = new HashMap<>();

    /** Sorted, so that the order of broadcasts is the same in each process. */
    private SortedSet<String> mPeers = Collections.emptySortedSet();

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
        mEndorsements.keySet().retainAll(peers);
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
        mLastListedMs.put(peer, nowMs);
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
        if (storeSilent) {
            mEndorsements.merge(peer, heartbeat, Followers::later);
        }
    }

    private static ClockReading later(ClockReading one, ClockReading other) {
        return one.monotonicMs() >= other.monotonicMs() ? one : other;
    }

    /** The VMs that count towards the majority, sorted. */
    Set<String> counted() {
        Set<String> all = new TreeSet<>(mLastListedMs.keySet());
        all.addAll(mPeers);
        return all;
    }

    /** The counted VMs that have endorsed no heartbeat sent since a time, sorted. */
    List<String> notEndorsedSince(long ms) {
        return counted().stream()
                .filter(
                        peer ->
                                !mEndorsements.containsKey(peer)
                                        || mEndorsements.get(peer).monotonicMs() < ms)
                .toList();
    }

    /**
     * The latest heartbeat that a majority of all VMs, including this one, has endorsed.
     *
     * @param now the clock; a VM without peers endorses itself
     */
    Optional<ClockReading> endorsed(ClockReading now) {
        int needed = (counted().size() + 1) / 2;
        if (needed == 0) {
            return Optional.of(now);
        }
        List<ClockReading> endorsements = new ArrayList<>(mEndorsements.values());
        if (endorsements.size() < needed) {
            return Optional.empty();
        }
        endorsements.sort(Comparator.comparingLong(ClockReading::monotonicMs).reversed());
        return Optional.of(endorsements.get(needed - 1));
    }
}
