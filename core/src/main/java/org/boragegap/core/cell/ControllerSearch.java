package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.boragegap.core.ClockReading;

/**
 * Actions of a VM that hears no controller: it notifies the others, and may become a candidate for
 * the cell.
 */
final class ControllerSearch {
    /**
     * Time that the other VMs have to answer a VM that has just learnt of them, in ms: a healthy
     * controller answers within some network delays.
     */
    private static final long ANSWER_WAIT_MS = 150;

    private final String mSelf;
    private final Candidacy mCandidacy;
    private final Membership mMembership;
    private final PendingJobs mPendingJobs;
    private final Followers mFollowers;
    private final HeartbeatTiming mTiming;
    private int mStrength;

    ControllerSearch(
            String self,
            int cell,
            Membership membership,
            PendingJobs pendingJobs,
            Followers followers,
            HeartbeatTiming timing) {
        mSelf = self;
        mTiming = timing;
        mCandidacy = new Candidacy(cell, timing);
        mMembership = membership;
        mPendingJobs = pendingJobs;
        mFollowers = followers;
    }

    /** See {@link CellMember#strength}. */
    void strength(int strength) {
        mStrength = strength;
    }

    boolean isCandidate() {
        return mCandidacy.isCandidate();
    }

    /** Records that another VM misses the controller. */
    void recordMissingNotice(String peer, int strength, ClockReading clock) {
        mCandidacy.recordMissingNotice(peer, strength, clock.monotonicMs());
    }

    /**
     * Another VM controls the cell. Guards against the cell moving again: whenever the lease of a
     * lost VM ends, the group reassigns the cell among all candidates. So the group learns at once
     * that this VM is no longer one.
     */
    void controllerHeard(String controller, List<MemberAction> actions) {
        if (!mCandidacy.isCandidate()) {
            return;
        }
        mCandidacy.end();
        log("controller=" + controller, "ends its candidacy", actions);
        actions.add(new MemberAction.Rejoin());
    }

    /**
     * Updates the candidacy of this VM; the group learns of it at once.
     *
     * <p>A VM that the store rejects also notifies the others that it hears no controller: it has
     * been dropped from the group and so receives no heartbeats, although it can reach the
     * controller.
     *
     * @param controls whether this VM controls the cell
     * @param able whether it knows everything that a controller needs
     * @return true when the members of the group should be read
     */
    boolean update(boolean controls, boolean able, ClockReading clock, List<MemberAction> actions) {
        if (controls || mMembership.resigned()) {
            mCandidacy.end();
            return false;
        }
        long nowMs = clock.monotonicMs();
        long silentMs =
                mMembership.silentMs(mPendingJobs.lastHeardMs(), mTiming.lostAfterMs(), clock);
        boolean leaseExpired = mMembership.leaseExpired(clock);
        boolean notifies = mCandidacy.shouldSendNotice(silentMs, nowMs);
        if (notifies) {
            sendNotices(actions);
        }
        boolean wasCandidate = mCandidacy.isCandidate();
        if (leaseExpired || !able || !knowsPeers(nowMs) || mMembership.recentlyJoined(clock)) {
            mCandidacy.end();
        } else {
            mCandidacy.update(silentMs, mSelf, mStrength, mFollowers.peers(), nowMs);
        }
        if (mCandidacy.isCandidate() != wasCandidate) {
            String outcome = wasCandidate ? "ends its candidacy" : "becomes a candidate";
            log("silent_ms=" + silentMs + " strength=" + mStrength, outcome, actions);
        }
        if (mCandidacy.shouldJoin(nowMs)) {
            actions.add(new MemberAction.Rejoin());
        }
        return notifies && !leaseExpired;
    }

    /**
     * Guards against a new VM that takes its lack of information for the loss of the controller. No
     * other VM knows it yet, so it receives no heartbeats. As it knew no other VM, it was a
     * majority by itself, requested every cell, was assigned it, and deposed a healthy controller.
     * This happened while the store was slow, since the members of the group are read from there.
     */
    private boolean knowsPeers(long nowMs) {
        OptionalLong forMs = mFollowers.knownForMs(nowMs);
        return forMs.isPresent() && forMs.getAsLong() >= ANSWER_WAIT_MS;
    }

    private void sendNotices(List<MemberAction> actions) {
        CellMessage.ControllerMissing missing =
                new CellMessage.ControllerMissing(mPendingJobs.fence(), mStrength);
        for (String peer : mCandidacy.noticeRecipients(mFollowers.peers())) {
            actions.add(new MemberAction.Send(peer, missing));
        }
    }

    private static void log(String inputs, String outcome, List<MemberAction> actions) {
        actions.add(new MemberAction.Log(Decision.self("candidacy", inputs, outcome)));
    }

    /**
     * Guards against a cell that is assigned to a VM that is no longer a candidate: it has heard
     * the controller meanwhile, and would depose a healthy one. The group learns of this with the
     * next join. Heartbeats that this VM heard from itself, before its own term ended, don't count.
     */
    boolean hearsAnotherController(boolean wantsCell, long nowMs) {
        Optional<String> heard = mPendingJobs.controller(nowMs);
        return !wantsCell && heard.filter(address -> !address.equals(mSelf)).isPresent();
    }
}
