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
 * Whether this VM asks the group for the cell.
 *
 * <p>The group deals the cell anew whenever one more member asks for it, and each move costs
 * callers some 200 ms. So one VM asks at a time: the strongest as soon as most VMs miss the
 * controller, each further one a step later, and whoever hears another one control the cell asks no
 * longer. When all asked at once, a start of all VMs saw three controllers within 350 ms, and a VM
 * that left moved the cell away from a controller in good health.
 *
 * <p>Guards against a VM that is cut off from the others but not from the store: it hears no
 * controller, asks, and is dealt the cell, while nobody can offer it a job. Nobody else misses the
 * controller, so it doesn't ask.
 */
final class Candidacy {
    /**
     * Time between one VM and the next in order, in ms. The first one asks before the group drops
     * the lost controller, which may be half a second later, and a join takes up to 100 ms more.
     * Were the next one to ask meanwhile too, the group would deal the cell among both, and again
     * whenever another lost VM's lease ends; each move costs callers up to a second.
     */
    private static final long STAGGER_MS = 600;

    /** Steps that the last VMs of a large group wait at the most. */
    private static final int MAX_STAGGER_STEPS = 5;

    /** Time between two messages that tell the others, in ms. */
    private static final long NOTICE_INTERVAL_MS = 100;

    /** How long such a message counts, in ms; three of them. */
    private static final long NOTICE_VALID_MS = 300;

    /**
     * How many of the strongest VMs are told; they are the first in order, so the others' word is
     * of use to them alone, and messages of all to all grow with the square of the VMs.
     */
    private static final int MAX_NOTICE_RECIPIENTS = 12;

    private record MissingNotice(int strength, long atMs) {}

    /** Time between two joins of a VM that asks, in ms; a join costs a tenth of a call. */
    private static final long JOIN_INTERVAL_MS = 50;

    private final Map<String, MissingNotice> mMissingNotices = new HashMap<>();
    private final int mCell;
    private final HeartbeatTiming mTiming;
    private boolean mCandidate;

    /** Since when most VMs have missed the controller for long enough; the maximum if not now. */
    private long mMajoritySinceMs = Long.MAX_VALUE;

    private long mLastNoticeMs = Long.MIN_VALUE / 2;
    private long mJoinedMs = Long.MIN_VALUE / 2;

    Candidacy(int cell, HeartbeatTiming pace) {
        mCell = cell;
        mTiming = pace;
    }

    boolean isCandidate() {
        return mCandidate;
    }

    /** This VM can't take the cell, or hears another one control it. */
    void end() {
        mCandidate = false;
    }

    /** Another VM says that it misses the controller. */
    void recordMissingNotice(String peer, int strength, long nowMs) {
        mMissingNotices.put(peer, new MissingNotice(strength, nowMs));
    }

    /**
     * Whether the others should be told now that this VM misses the controller.
     *
     * @param silentMs for how long no controller was heard of, in ms
     */
    boolean shouldSendNotice(long silentMs, long nowMs) {
        if (silentMs <= mTiming.missingAfterMs() || nowMs - mLastNoticeMs < NOTICE_INTERVAL_MS) {
            return false;
        }
        mLastNoticeMs = nowMs;
        return true;
    }

    /**
     * Looks whether it is this VM's turn: the first in order asks as soon as most VMs miss the
     * controller, the others a step later each, counted from then. By the silence alone several
     * asked at once when the lost VMs had to be dropped from the group before most missed it.
     *
     * @param silentMs for how long no controller was heard of, in ms
     * @param strength how much processor this VM has for the cell
     * @param peers the other VMs in the group
     */
    void update(long silentMs, String self, int strength, Set<String> peers, long nowMs) {
        if (silentMs <= mTiming.missingAfterMs()) {
            mCandidate = false;
            mMajoritySinceMs = Long.MAX_VALUE;
            return;
        }
        List<String> voters = peers.stream().filter(peer -> hasMissingNotice(peer, nowMs)).toList();
        boolean most = 2 * (voters.size() + 1) > peers.size() + 1;
        if (!most || silentMs <= mTiming.lostAfterMs()) {
            mMajoritySinceMs = Long.MAX_VALUE;
            return;
        }
        mMajoritySinceMs = Math.min(mMajoritySinceMs, nowMs);
        long before = voters.stream().filter(peer -> ranksBefore(peer, self, strength)).count();
        long steps = Math.min(before, MAX_STAGGER_STEPS);
        mCandidate |= nowMs - mMajoritySinceMs >= steps * STAGGER_MS;
    }

    /**
     * Whether to join now. The group deals the cell with the first join after its last holder is
     * dropped; one that asks joins often, so as not to lose a quarter of a second then.
     */
    boolean shouldJoin(long nowMs) {
        if (!mCandidate || nowMs - mJoinedMs < JOIN_INTERVAL_MS) {
            return false;
        }
        mJoinedMs = nowMs;
        return true;
    }

    private boolean hasMissingNotice(String peer, long nowMs) {
        MissingNotice missed = mMissingNotices.get(peer);
        return missed != null && nowMs - missed.atMs() < NOTICE_VALID_MS;
    }

    /** The stronger one is before; among equals the order differs from cell to cell. */
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

    /** The VMs that should be told: the strongest ones, and those of unknown strength. */
    Set<String> noticeRecipients(Set<String> peers) {
        if (peers.size() <= MAX_NOTICE_RECIPIENTS) {
            return peers;
        }
        Set<String> told = new HashSet<>(peers);
        told.removeAll(mMissingNotices.keySet());
        peers.stream()
                .filter(mMissingNotices::containsKey)
                .sorted(
                        Comparator.comparingInt(
                                        (String peer) -> -mMissingNotices.get(peer).strength())
                                .thenComparingInt(this::tieBreaker))
                .limit(MAX_NOTICE_RECIPIENTS)
                .forEach(told::add);
        return told;
    }
}
