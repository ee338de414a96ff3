package org.boragegap.core.records;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** When each of the other VMs may last have been in the group. */
final class GroupPresence {
    private final long mRetentionMs;
    private final Map<String, Long> mLastPresentMs = new HashMap<>();
    private final Set<String> mPresent = new HashSet<>();
    private long mKnownSinceMs = Long.MAX_VALUE;

    /** Creates an instance that forgets a VM when it has been absent for the given time. */
    GroupPresence(long retentionMs) {
        mRetentionMs = retentionMs;
    }

    /**
     * The members of the group were read. A VM that is missing for the first time may have been in
     * the group until just now, because the members are read every few seconds only.
     */
    void listed(Set<String> peers, long nowMs) {
        mKnownSinceMs = Math.min(mKnownSinceMs, nowMs);
        mPresent.addAll(peers);
        mPresent.forEach(peer -> mLastPresentMs.put(peer, nowMs));
        mPresent.retainAll(peers);
        mLastPresentMs.values().removeIf(ms -> nowMs - ms > mRetentionMs);
    }

    /** A message of a VM has arrived, which the last list may not contain yet. */
    void heard(String peer, long nowMs) {
        mPresent.add(peer);
        mLastPresentMs.put(peer, nowMs);
    }

    /** When the members of the group were first read. */
    long knownSinceMs() {
        return mKnownSinceMs;
    }

    boolean isPresent(String peer) {
        return mPresent.contains(peer);
    }

    /** VMs that are in the group, or were within the retention. */
    Map<String, Long> recent(long nowMs) {
        Map<String, Long> recent = new HashMap<>(mLastPresentMs);
        recent.values().removeIf(ms -> nowMs - ms > mRetentionMs);
        mPresent.forEach(peer -> recent.put(peer, nowMs));
        return recent;
    }

    /** When the VM may last have been in the group; empty once forgotten. */
    Optional<Long> lastPresentMs(String peer) {
        return Optional.ofNullable(mLastPresentMs.get(peer));
    }
}
