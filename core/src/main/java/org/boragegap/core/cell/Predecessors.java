package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a new controller learns of the controllers before it: whether their tasks may still be at
 * work.
 *
 * <p>A controller that fell silent is dropped by the group, and its leases end with its membership;
 * so only those in the group count, and they are asked. After an outage of the store that is not
 * so: a controller may have gone on without the store until just now.
 */
final class Predecessors {
    /**
     * After this many ms a lease that an earlier controller gave is over: a second, on a clock that
     * is 2% slow, and as much again for what may be under way.
     */
    private static final long LEASE_EXPIRED_AFTER_MS = 1_100;

    /** What is known. */
    enum Knowledge {
        /** Not all entry VMs in the group have answered yet. */
        AWAITS_ANSWERS,

        /** Most entry VMs can't say that no controller has gone on without the store. */
        STORE_WAS_AWAY,

        /** A controller has just ended whose list of targets isn't known. */
        TARGETS_UNKNOWN,

        /** The last controller's list of targets is known: they tell what is at work. */
        TARGETS_KNOWN,

        /** All leases of earlier controllers are over. */
        OVER;

        /** True when nothing more has to be learnt from entry VMs. */
        boolean isSufficient() {
            return this == TARGETS_KNOWN || this == OVER;
        }
    }

    private final Map<String, CellMessage.HeartbeatReply> mAnswered = new HashMap<>();
    private long mInheritedFence;
    private long mTermBeganMs;

    /** Who was in the group when its members were first read in this term; empty before. */
    private Optional<Set<String>> mFirstMembers = Optional.empty();

    private Knowledge mKnown = Knowledge.AWAITS_ANSWERS;

    /** Fencing token of this VM's own last term, and when that ended. */
    private long mLastOwnFence;

    private long mLastOwnTermEndedMs;

    /**
     * A term begins.
     *
     * @param inheritedFence token of the term whose targets this one has taken over; 0 for none
     */
    void termBegan(long inheritedFence, long nowMs) {
        mTermBeganMs = nowMs;
        mAnswered.clear();
        mFirstMembers = Optional.empty();
        mKnown = Knowledge.AWAITS_ANSWERS;
        mInheritedFence = inheritedFence;
    }

    /** This VM's own term has ended. */
    void ownTermEnded(long fence, long nowMs) {
        mLastOwnFence = fence;
        mLastOwnTermEndedMs = nowMs;
    }

    long lastOwnFence() {
        return mLastOwnFence;
    }

    long lastOwnTermEndedAgoMs(long nowMs) {
        return nowMs - mLastOwnTermEndedMs;
    }

    /** True when no lease of this VM's own last term can still last. */
    boolean ownLeasesExpired(long nowMs) {
        return leasesExpired(mLastOwnFence, lastOwnTermEndedAgoMs(nowMs));
    }

    /**
     * The group's members were read. The first reading that was asked for in this term counts: who
     * joins later was in the group at no moment of an earlier term, or has been dropped from it
     * since, and then its leases are over. Were all waited for that come meanwhile, callers would
     * wait after a loss of all VMs until the slowest of them has started.
     *
     * @param askedMs when the store was asked, on the monotonic clock, in ms
     */
    void membersListed(Set<String> peers, long askedMs) {
        if (mFirstMembers.isEmpty() && askedMs >= mTermBeganMs) {
            mFirstMembers = Optional.of(Set.copyOf(peers));
        }
    }

    void answered(String peer, CellMessage.HeartbeatReply answer) {
        mAnswered.put(peer, answer);
    }

    /** What is known. */
    Knowledge known() {
        return mKnown;
    }

    /**
     * Looks whether more is known now; what is enough stays so for the term.
     *
     * @param peers the other entry VMs in the group
     * @param steady whether this VM was in touch with the store all the time lately
     * @return true when something else is known than before
     */
    boolean update(Set<String> peers, boolean steady, long nowMs) {
        Knowledge before = mKnown;
        if (!before.isSufficient()) {
            mKnown = assess(peers, steady, nowMs);
        }
        return mKnown != before;
    }

    /**
     * What is known now.
     *
     * @param peers the other entry VMs in the group
     * @param steady whether this VM was in touch with the store all the time lately
     */
    Knowledge assess(Set<String> peers, boolean steady, long nowMs) {
        if (mFirstMembers.isEmpty()) {
            return Knowledge.AWAITS_ANSWERS;
        }
        Set<String> asked = new HashSet<>(mFirstMembers.get());
        asked.retainAll(peers);
        if (!mAnswered.keySet().containsAll(asked)) {
            return Knowledge.AWAITS_ANSWERS;
        }
        asked.addAll(mAnswered.keySet());
        asked.retainAll(peers);
        if (!majoritySawNoOutage(asked, steady)) {
            return Knowledge.STORE_WAS_AWAY;
        }
        boolean over = ownLeasesExpired(nowMs);
        boolean known = over || mLastOwnFence == mInheritedFence;
        for (String peer : asked) {
            CellMessage.HeartbeatReply answer = mAnswered.get(peer);
            boolean peerOver = leasesExpired(answer.lastOwnFence(), answer.endedAgoMs());
            over &= peerOver;
            known &= peerOver || answer.lastOwnFence() == mInheritedFence;
        }
        if (over) {
            return Knowledge.OVER;
        }
        return known ? Knowledge.TARGETS_KNOWN : Knowledge.TARGETS_UNKNOWN;
    }

    private boolean majoritySawNoOutage(Set<String> peers, boolean self) {
        int steady = self ? 1 : 0;
        for (String peer : peers) {
            steady += mAnswered.get(peer).sawNoOutage() ? 1 : 0;
        }
        return 2 * steady > peers.size() + 1;
    }

    private static boolean leasesExpired(long fence, long endedAgoMs) {
        return fence == 0 || endedAgoMs > LEASE_EXPIRED_AFTER_MS;
    }
}
