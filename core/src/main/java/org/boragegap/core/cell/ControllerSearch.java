package org.boragegap.core.cell;

import java.util.List;
import java.util.OptionalLong;
import org.boragegap.core.ClockReading;

/** What this VM does while it hears no controller: tells the others, and asks for the cell. */
final class ControllerSearch {
    /**
     * How long the others have to answer a VM that has just got to know them, in ms: the controller
     * answers within some hops that it is well.
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
            PendingJobs desk,
            Followers followers,
            HeartbeatTiming pace) {
        mSelf = self;
        mTiming = pace;
        mCandidacy = new Candidacy(cell, pace);
        mMembership = membership;
        mPendingJobs = desk;
        mFollowers = followers;
    }

    /** See {@link CellMember#strength}. */
    void strength(int strength) {
        mStrength = strength;
    }

    /** Whether this VM asks the group for the cell. */
    boolean isCandidate() {
        return mCandidacy.isCandidate();
    }

    /** Another VM says that it misses the controller. */
    void recordMissingNotice(String peer, int strength, ClockReading clock) {
        mCandidacy.recordMissingNotice(peer, strength, clock.monotonicMs());
    }

    /**
     * Another VM controls the cell. Guards against a cell that moves again: the group deals it anew
     * among all that ask whenever the lease of a lost VM ends, so it is told at once that this VM
     * asks no longer.
     */
    void controllerHeard(String controller, List<MemberAction> actions) {
        if (!mCandidacy.isCandidate()) {
            return;
        }
        mCandidacy.end();
        log("controller=" + controller, "asks no more", actions);
        actions.add(new MemberAction.Rejoin());
    }

    /**
     * Asks for the cell when it is this VM's turn; the group hears of it at once.
     *
     * <p>A VM that the store turns away tells the others too that it hears no controller: it is
     * dropped from the group, so it gets no heartbeats, while the controller is well in reach.
     *
     * @param controls whether this VM controls the cell
     * @param able whether it knows all that a controller has to know
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
        boolean cutOff = mMembership.leaseExpired(clock);
        boolean tells = mCandidacy.shouldSendNotice(silentMs, nowMs);
        if (tells) {
            sendNotices(actions);
        }
        boolean asked = mCandidacy.isCandidate();
        if (cutOff || !able || !knowsPeers(nowMs) || mMembership.recentlyJoined(clock)) {
            mCandidacy.end();
        } else {
            mCandidacy.update(silentMs, mSelf, mStrength, mFollowers.peers(), nowMs);
        }
        if (mCandidacy.isCandidate() != asked) {
            String outcome = asked ? "asks no more" : "asks for the cell";
            log("silent_ms=" + silentMs + " strength=" + mStrength, outcome, actions);
        }
        if (mCandidacy.shouldJoin(nowMs)) {
            actions.add(new MemberAction.Rejoin());
        }
        return tells && !cutOff;
    }

    /**
     * Guards against a newcomer that takes its own ignorance for the loss of a controller. Nobody
     * knows it yet, so it hears no heartbeat; with nobody known to it, it was most of all VMs by
     * itself, asked for each cell, was dealt it, and deposed a controller in good health. It showed
     * while the store was slow, since who is in the group is read from there.
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
}
