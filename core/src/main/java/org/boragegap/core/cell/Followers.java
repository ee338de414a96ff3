package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The other entry VMs in the group, and which of them can't reach the store either. */
final class Followers {
    /** A follower counts this long after its last answer to a heartbeat, in ms; four heartbeats. */
    private static final long FOLLOWS_MS = 600;

    private final Map<String, Long> mCutOffMs = new HashMap<>();
    private Set<String> mPeers = Set.of();

    /** Peer addresses of the other entry VMs. */
    Set<String> peers() {
        return mPeers;
    }

    /** The group's members were read. */
    void listed(Set<String> peers) {
        mPeers = peers;
        mCutOffMs.keySet().retainAll(peers);
    }

    /**
     * Takes a VM that the list of members doesn't name yet for one: it would hear no heartbeat
     * until the list is read again, and ask for the cell meanwhile.
     */
    void met(String peer) {
        if (!mPeers.contains(peer)) {
            Set<String> peers = new HashSet<>(mPeers);
            peers.add(peer);
            mPeers = Set.copyOf(peers);
        }
    }

    /** A follower has answered a heartbeat. */
    void answered(String peer, boolean cutOff, long nowMs) {
        if (cutOff) {
            mCutOffMs.put(peer, nowMs);
        } else {
            mCutOffMs.remove(peer);
        }
    }

    /** True when most VMs, this one counted as one of them, are cut off from the store. */
    boolean mostCutOff(long nowMs) {
        long cutOff = mCutOffMs.values().stream().filter(ms -> nowMs - ms <= FOLLOWS_MS).count();
        return 2 * (cutOff + 1) > mPeers.size() + 1;
    }
}
