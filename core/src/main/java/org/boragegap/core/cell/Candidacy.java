package org.boragegap.core.cell;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Decides whether this VM is a candidate for the cell, that is, whether it requests the cell from
 * the group.
 *
 * <p>The group rebalances whenever the set of candidates grows, and each move of the cell delays
 * callers by some 200 ms. So one VM requests it at a time: the strongest VM as soon as a majority
 * of VMs misses the controller, each further one a step later. A candidate that hears another VM
 * control the cell ends its candidacy. When all VMs requested the cell at once, a start of all VMs
 * went through three controllers within 350 ms, and a VM that left moved the cell away from a
 * healthy controller.
 *
 * <p>The majority guards against a VM that is disconnected from the other VMs but not from the
 * store: it hears no controller, requests the cell and is assigned it, while nobody can offer it a
 * job. Since no other VM misses the controller, it does not request the cell.
 */
final class Candidacy {
    /**
     * Time between the candidacy of one VM and that of the next in order, in ms. The first VM
     * requests the cell before the group drops the lost controller, which may take half a second
     * longer, and a join takes up to 100 ms more. If the next VM became a candidate in that time,
     * the group would assign the cell to either of them, and again whenever the lease of another
     * lost VM ends; each move delays callers by up to a second.
     */
    private static final long STAGGER_MS = 600;

    /** Maximum number of steps that the last VMs of a large group wait. */
    private static final int MAX_STAGGER_STEPS = 5;

    /** Time between two notices to the other VMs that this one misses the controller, in ms. */
    private static final long NOTICE_INTERVAL_MS = 100;

    /** How long a received notice is valid, in ms: three intervals. */
    private static final long NOTICE_VALID_MS = 300;

    /**
     * Number of VMs, the strongest first, that are sent notices. They are the first in order, so
     * only they need the notices of the others, and the number of messages from all VMs to all
     * grows with the square of the number of VMs.
     */
    private static final int MAX_NOTICE_RECIPIENTS = 12;

    private record MissingNotice(int strength, long atMs) {}

    /** Time between two joins of a candidate, in ms; a join costs a tenth of a call. */
    private static final long JOIN_INTERVAL_MS = 50;

    private final Map<String, MissingNotice> mMissingNotices = new HashMap<>();
    private final int mCell;
    private final HeartbeatTiming mTiming;
    private boolean mCandidate;

    /**
     * Since when a majority has missed the controller for long enough; the maximum value if it does
     * not.
     */
    private long mMajoritySinceMs = Long.MAX_VALUE;

    private long mLastNoticeMs = Long.MIN_VALUE / 2;
    private long mJoinedMs = Long.MIN_VALUE / 2;

    Candidacy(int cell, HeartbeatTiming timing) {
        mCell = cell;
        mTiming = timing;
    }

    boolean isCandidate() {
        return mCandidate;
    }

    /** Ends the candidacy: this VM can't take the cell, or hears another VM control it. */
    void end() {
        mCandidate = false;
    }

    /** Records that another VM misses the controller. */
    void recordMissingNotice(String peer, int strength, long nowMs) {
        mMissingNotices.put(peer, new MissingNotice(strength, nowMs));
    }

    /**
     * Whether the other VMs should now be notified that this VM misses the controller.
     *
     * @param silentMs how long no controller was heard, in ms
     */
    boolean shouldSendNotice(long silentMs, long nowMs) {
        if (silentMs <= mTiming.missingAfterMs() || nowMs - mLastNoticeMs < NOTICE_INTERVAL_MS) {
            return false;
        }
        mLastNoticeMs = nowMs;
        return true;
    }

    /**
     * Decides whether this VM is a candidate: the first VM in order becomes one as soon as a
     * majority misses the controller, each of the others a step later, counted from that moment.
     * When the steps were counted from the beginning of the silence, several VMs became candidates
     * at once if lost VMs had to be dropped from the group before a majority missed the controller.
     *
     * @param silentMs how long no controller was heard, in ms
     * @param strength how much processor this VM has for the cell
     * @param peers the other VMs in the group
     */
    void update(long silentMs, String self, int strength, Set<String> peers, long nowMs) {
        if (silentMs <= mTiming.missingAfterMs()) {
            mCandidate = false;
            mMajoritySinceMs = Long.MAX_VALUE;
            return;
        }
        List<String> missing =
                peers.stream().filter(peer -> hasMissingNotice(peer, nowMs)).toList();
        boolean majority = 2 * (missing.size() + 1) > peers.size() + 1;
        if (!majority || silentMs <= mTiming.lostAfterMs()) {
            mMajoritySinceMs = Long.MAX_VALUE;
            return;
        }
        mMajoritySinceMs = Math.min(mMajoritySinceMs, nowMs);
        long rankedBefore =
                missing.stream().filter(peer -> ranksBefore(peer, self, strength)).count();
        long steps = Math.min(rankedBefore, MAX_STAGGER_STEPS);
        mCandidate |= nowMs - mMajoritySinceMs >= steps * STAGGER_MS;
    }

    /**
     * Whether to join the group now. The group assigns the cell with the first join after its last
     * holder is dropped. A candidate joins often so that no quarter of a second is lost then.
     */
    boolean shouldJoin(long nowMs) {
        if (!mCandidate || nowMs - mJoinedMs < JOIN_INTERVAL_MS) {
            return false;
        }
        mJoinedMs = nowMs;
        return true;
    }

    private boolean hasMissingNotice(String peer, long nowMs) {
        MissingNotice notice = mMissingNotices.get(peer);
        return notice != null && nowMs - notice.atMs() < NOTICE_VALID_MS;
    }

    /** Stronger VMs rank first; among equals the order differs from cell to cell. */
    private boolean ranksBefore(String peer, String self, int strength) {
        int byStrength = Integer.compare(strength, mMissingNotices.get(peer).strength());
        if (byStrength != 0) {
            return byStrength < 0;
        }
        int byHash = Integer.compare(tieBreaker(peer), tieBreaker(self));
        return byHash != 0 ? byHash < 0 : peer.compareTo(self) < 0;
    }

    private int tieBreaker(String address) {
        byte[] bytes = (mCell + "/" + address).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes);
    }

    /** The VMs that are sent notices: the strongest ones, and those of unknown strength. */
    Set<String> noticeRecipients(Set<String> peers) {
        if (peers.size() <= MAX_NOTICE_RECIPIENTS) {
            return peers;
        }
        Set<String> recipients = new HashSet<>(peers);
        recipients.removeAll(mMissingNotices.keySet());
        peers.stream()
                .filter(mMissingNotices::containsKey)
                .sorted(
                        Comparator.comparingInt(
                                        (String peer) -> -mMissingNotices.get(peer).strength())
                                .thenComparingInt(this::tieBreaker))
                .limit(MAX_NOTICE_RECIPIENTS)
                .forEach(recipients::add);
        return recipients;
    }
}
