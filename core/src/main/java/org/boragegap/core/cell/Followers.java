package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.boragegap.core.ClockReading;

/**
 * The other entry VMs, and which of them follow this controller although they can't reach the store
 * either.
 *
 * <p>Each such answer extends the controller's authority for a lease, counted from the heartbeat
 * that it answers, by the controller's own clock. So a follower knows when its last word is over: a
 * lease after it was given, however long the answer was on its way.
 */
final class Followers {
    /**
     * How long a VM that the group lists no longer still counts as one of all, in ms. Guards
     * against a cut that leaves the controller with half of the VMs while one of the others
     * restarts: by the list alone its side were most of all, and it went on beside the controller
     * that the store has dealt the cell to meanwhile.
     */
    private static final long DELISTED_COUNTS_MS = 10_000;

    private final Map<String, ClockReading> mEndorsements = new HashMap<>();
    private final Map<String, Long> mLastListedMs = new HashMap<>();
    private Set<String> mPeers = Set.of();
    private OptionalLong mFirstListedMs = OptionalLong.empty();

    /** Peer addresses of the other entry VMs. */
    Set<String> peers() {
        return mPeers;
    }

    /** For how long this VM has known who is in the group, in ms; empty if it doesn't yet. */
    OptionalLong knownForMs(long nowMs) {
        return mFirstListedMs.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(nowMs - mFirstListedMs.getAsLong());
    }

    /** The group's members were read. */
    void updatePeers(Set<String> peers, long nowMs) {
        if (mFirstListedMs.isEmpty()) {
            mFirstListedMs = OptionalLong.of(nowMs);
        }
        mPeers = peers;
        peers.forEach(peer -> mLastListedMs.put(peer, nowMs));
        mLastListedMs.values().removeIf(ms -> nowMs - ms > DELISTED_COUNTS_MS);
        mEndorsements.keySet().retainAll(peers);
    }

    /**
     * Takes a VM that the list of members doesn't name yet for one: it would hear no heartbeat
     * until the list is read again, and ask for the cell meanwhile.
     */
    void addPeer(String peer, long nowMs) {
        if (!mPeers.contains(peer)) {
            Set<String> peers = new HashSet<>(mPeers);
            peers.add(peer);
            mPeers = Set.copyOf(peers);
        }
        mLastListedMs.put(peer, nowMs);
    }

    /**
     * A follower has answered a heartbeat.
     *
     * @param cutOff true when it can't reach the store; what it said before stands for its lease
     * @param heartbeat when that heartbeat was sent
     */
    void answered(String peer, boolean cutOff, ClockReading heartbeat) {
        if (cutOff) {
            mEndorsements.merge(peer, heartbeat, Followers::later);
        }
    }

    private static ClockReading later(ClockReading one, ClockReading other) {
        return one.monotonicMs() >= other.monotonicMs() ? one : other;
    }

    /**
     * The last heartbeat that most VMs, this one counted as one of them, have answered as followers
     * that are cut off from the store.
     *
     * @param now the clock; a VM that is alone vouches for itself
     */
    Optional<ClockReading> endorsed(ClockReading now) {
        Set<String> all = new HashSet<>(mLastListedMs.keySet());
        all.addAll(mPeers);
        int needed = (all.size() + 1) / 2;
        if (needed == 0) {
            return Optional.of(now);
        }
        List<ClockReading> answers = new ArrayList<>(mEndorsements.values());
        if (answers.size() < needed) {
            return Optional.empty();
        }
        answers.sort(Comparator.comparingLong(ClockReading::monotonicMs).reversed());
        return Optional.of(answers.get(needed - 1));
    }
}
