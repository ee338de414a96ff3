package org.boragegap.core.cell;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the other entry VMs tell a new controller about earlier controllers: whether their tasks may
 * run on targets that it doesn't know.
 *
 * <p>Their answers can only show that it doesn't know them all. That no VM tells of an earlier
 * controller proves nothing about the tasks that run: a VM may be missing from the list, and a new
 * process answers for an earlier one at its address. So the targets are asked in any case; see
 * {@link Settlement}. After an outage of the store a controller may have acted without it until
 * just now.
 */
final class Predecessors {
    /**
     * Time after the end of a term after which its leases have expired, in ms: a second, on a clock
     * that is 2% slow (1,020 ms), and 80 ms for messages in flight. The lease of the group doesn't
     * matter for a controller that knows that its term has ended.
     */
    private static final long LEASE_EXPIRED_AFTER_MS = 1_100;

    /** Maximum number of VMs that a log entry names. */
    private static final int MAX_LOGGED_VMS = 8;

    /** What is known about earlier controllers. */
    enum Knowledge {
        /** Not all entry VMs in the group have replied yet. */
        AWAITS_ANSWERS,

        /** No majority of entry VMs can rule out that a controller has acted without the store. */
        STORE_WAS_AWAY,

        /** A controller has just ended its term, and its list of targets isn't known. */
        TARGETS_UNKNOWN,

        /**
         * The last controller's list of targets is known; the reports of these targets tell what is
         * running.
         */
        TARGETS_KNOWN,

        /** No VM that has answered had a term whose leases may be valid. */
        NO_RECENT_TERM;

        /** True when no further replies of entry VMs are needed. */
        boolean isSufficient() {
            return this == TARGETS_KNOWN || this == NO_RECENT_TERM;
        }
    }

    private final Map<String, CellMessage.HeartbeatReply> mAnswered = new HashMap<>();
    private long mInheritedFence;
    private long mTermBeganMs;

    /** Members of the group when they were first read in this term; empty before. */
    private Optional<Set<String>> mFirstMembers = Optional.empty();

    private Knowledge mKnown = Knowledge.AWAITS_ANSWERS;

    private boolean mTargetsMayBeBorrowed;

    /** Fencing token of this VM's own last term; 0 if it had none. */
    private long mLastOwnFence;

    private long mLastOwnTermEndedMs;
    private boolean mLastOwnTermBorrowed;

    /**
     * Controllers may borrow targets of other cells from now on. These are neither announced nor
     * listed for this cell, so only an earlier controller itself can tell that it used none.
     */
    void targetsMayBeBorrowed() {
        mTargetsMayBeBorrowed = true;
    }

    /**
     * Begins a term.
     *
     * @param inheritedFence fencing token of the term whose list of targets this term takes over; 0
     *     for none
     */
    void termBegan(long inheritedFence, long nowMs) {
        mTermBeganMs = nowMs;
        mAnswered.clear();
        mFirstMembers = Optional.empty();
        mKnown = Knowledge.AWAITS_ANSWERS;
        mInheritedFence = inheritedFence;
    }

    /**
     * Records the end of a term of this VM.
     *
     * @param borrowed true when tasks may have been started on borrowed targets, which the term's
     *     list doesn't contain; reports of the listed ones then don't tell all that runs
     */
    void ownTermEnded(long fence, boolean borrowed, long nowMs) {
        mLastOwnFence = fence;
        mLastOwnTermBorrowed = borrowed;
        mLastOwnTermEndedMs = nowMs;
    }

    long lastOwnFence() {
        return mLastOwnFence;
    }

    boolean lastOwnTermBorrowed() {
        return mLastOwnTermBorrowed;
    }

    long lastOwnTermEndedAgoMs(long nowMs) {
        return nowMs - mLastOwnTermEndedMs;
    }

    /** True when no lease of this VM's own last term can still be valid. */
    boolean ownLeasesExpired(long nowMs) {
        return leasesExpired(mLastOwnFence, lastOwnTermEndedAgoMs(nowMs));
    }

    /**
     * Records the members of the group. Only the first read that was requested in this term counts,
     * and a VM that a later read misses is waited for all the same. If VMs that join meanwhile were
     * also waited for, callers would wait after a loss of all VMs until the slowest of them has
     * started.
     *
     * @param askedMs when the read was sent to the store, on the monotonic clock, in ms
     */
    void membersListed(Set<String> peers, long askedMs) {
        if (mFirstMembers.isEmpty() && askedMs >= mTermBeganMs) {
            mFirstMembers = Optional.of(Set.copyOf(peers));
        }
    }

    void answered(String peer, CellMessage.HeartbeatReply answer) {
        mAnswered.put(peer, answer);
    }

    Knowledge known() {
        return mKnown;
    }

    /**
     * Updates the knowledge; once it is sufficient it remains so for the term.
     *
     * @param sawNoOutage whether this VM itself can rule out a recent outage of the store
     * @return true when the knowledge has changed
     */
    boolean update(boolean sawNoOutage, long nowMs) {
        Knowledge before = mKnown;
        if (!before.isSufficient()) {
            mKnown = assess(sawNoOutage, nowMs);
        }
        return mKnown != before;
    }

    /**
     * Assesses what is known now.
     *
     * @param sawNoOutage whether this VM itself can rule out a recent outage of the store
     */
    Knowledge assess(boolean sawNoOutage, long nowMs) {
        if (mFirstMembers.isEmpty()) {
            return Knowledge.AWAITS_ANSWERS;
        }
        if (!mAnswered.keySet().containsAll(mFirstMembers.get())) {
            return Knowledge.AWAITS_ANSWERS;
        }
        // All answers count: the list may miss a VM for a moment.
        if (!majoritySawNoOutage(sawNoOutage)) {
            return Knowledge.STORE_WAS_AWAY;
        }
        boolean expired = ownLeasesExpired(nowMs);
        boolean ownKnown = mLastOwnFence == mInheritedFence && !mLastOwnTermBorrowed;
        boolean targetsKnown = expired || ownKnown;
        for (CellMessage.HeartbeatReply answer : mAnswered.values()) {
            boolean peerExpired = leasesExpired(answer.lastOwnFence(), answer.endedAgoMs());
            expired &= peerExpired;
            boolean known = answer.lastOwnFence() == mInheritedFence && !answer.borrowed();
            targetsKnown &= peerExpired || known;
        }
        if (mTargetsMayBeBorrowed && !lastControllerBorrowedNone()) {
            return Knowledge.TARGETS_UNKNOWN;
        }
        if (expired) {
            return Knowledge.NO_RECENT_TERM;
        }
        return targetsKnown ? Knowledge.TARGETS_KNOWN : Knowledge.TARGETS_UNKNOWN;
    }

    /** True when the last known controller itself has told that it borrowed no target. */
    private boolean lastControllerBorrowedNone() {
        boolean ownKnown = mLastOwnFence == mInheritedFence && !mLastOwnTermBorrowed;
        return mInheritedFence != 0
                && (ownKnown
                        || mAnswered.values().stream()
                                .anyMatch(
                                        answer ->
                                                answer.lastOwnFence() == mInheritedFence
                                                        && !answer.borrowed()));
    }

    /**
     * What is known and what it rests on, for the log: how many VMs were listed and have answered,
     * those that haven't, and the last terms of those that had one.
     *
     * @param fence fencing token of the term
     * @param peers the other entry VMs in the group
     */
    Decision decision(long fence, Set<String> peers, long nowMs) {
        String inputs =
                "fence="
                        + fence
                        + " term_age_ms="
                        + (nowMs - mTermBeganMs)
                        + " inherited_fence="
                        + mInheritedFence
                        + " own_last_fence="
                        + mLastOwnFence
                        + " vms="
                        + peers.size()
                        + " answered="
                        + mAnswered.size()
                        + " unanswered="
                        + unanswered(peers)
                        + " terms="
                        + answeredTerms();
        return Decision.self("predecessors", inputs, mKnown.name());
    }

    private List<String> unanswered(Set<String> peers) {
        return peers.stream()
                .filter(peer -> !mAnswered.containsKey(peer))
                .sorted()
                .limit(MAX_LOGGED_VMS)
                .toList();
    }

    /** The latest terms of other VMs, the latest one first. */
    private List<String> answeredTerms() {
        return new TreeMap<>(mAnswered)
                .entrySet().stream()
                        .filter(peer -> peer.getValue().lastOwnFence() != 0)
                        .sorted(Comparator.comparing(peer -> -peer.getValue().lastOwnFence()))
                        .limit(MAX_LOGGED_VMS)
                        .map(
                                peer ->
                                        peer.getKey()
                                                + "=fence:"
                                                + peer.getValue().lastOwnFence()
                                                + ",ended_ago_ms:"
                                                + peer.getValue().endedAgoMs())
                        .toList();
    }

    private boolean majoritySawNoOutage(boolean ownSawNoOutage) {
        int sawNoOutage = ownSawNoOutage ? 1 : 0;
        for (CellMessage.HeartbeatReply answer : mAnswered.values()) {
            sawNoOutage += answer.sawNoOutage() ? 1 : 0;
        }
        return 2 * sawNoOutage > mAnswered.size() + 1;
    }

    private static boolean leasesExpired(long fence, long endedAgoMs) {
        return fence == 0 || endedAgoMs > LEASE_EXPIRED_AFTER_MS;
    }
}
