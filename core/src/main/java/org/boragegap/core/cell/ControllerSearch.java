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
    private static final long ANSWER_MS = 150;

    private final String mSelf;
    private final Candidacy mCandidacy;
    private final Membership mMembership;
    private final PendingJobs mDesk;
    private final Followers mFollowers;
    private final HeartbeatPace mPace;
    private int mStrength;

    ControllerSearch(
            String self,
            int cell,
            Membership membership,
            PendingJobs desk,
            Followers followers,
            HeartbeatPace pace) {
        mSelf = self;
        mPace = pace;
        mCandidacy = new Candidacy(cell, pace);
        mMembership = membership;
        mDesk = desk;
        mFollowers = followers;
    }

    /** See {@link CellMember#strength}. */
    void strength(int strength) {
        mStrength = strength;
    }

    /** Whether this VM asks the group for the cell. */
    boolean asks() {
        return mCandidacy.asks();
    }

    /** Another VM says that it misses the controller. */
    void missedBy(String peer, int strength, ClockReading clock) {
        mCandidacy.missedBy(peer, strength, clock.monotonicMs());
    }

    /**
     * Another VM controls the cell. Guards against a cell that moves again: the group deals it anew
     * among all that ask whenever the lease of a lost VM ends, so it is told at once that this VM
     * asks no longer.
     */
    void controllerHeard(String controller, List<MemberAction> actions) {
        if (!mCandidacy.asks()) {
            return;
        }
        mCandidacy.withdraw();
        log("controller=" + controller, "asks no more", actions);
        actions.add(new MemberAction.JoinAgain());
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
    boolean look(boolean controls, boolean able, ClockReading clock, List<MemberAction> actions) {
        if (controls || mMembership.resigned()) {
            mCandidacy.withdraw();
            return false;
        }
        long nowMs = clock.monotonicMs();
        long silentMs = mMembership.silentMs(mDesk.lastHeardMs(), mPace.silentMs(), clock);
        boolean cutOff = mMembership.cutOff(clock);
        boolean tells = mCandidacy.tells(silentMs, nowMs);
        if (tells) {
            tellAll(actions);
        }
        boolean asked = mCandidacy.asks();
        if (cutOff || !able || !knowsOthers(nowMs) || mMembership.justCame(clock)) {
            mCandidacy.withdraw();
        } else {
            mCandidacy.turn(silentMs, mSelf, mStrength, mFollowers.peers(), nowMs);
        }
        if (mCandidacy.asks() != asked) {
            String outcome = asked ? "asks no more" : "asks for the cell";
            log("silent_ms=" + silentMs + " strength=" + mStrength, outcome, actions);
        }
        if (mCandidacy.joins(nowMs)) {
            actions.add(new MemberAction.JoinAgain());
        }
        return tells && !cutOff;
    }

    /**
     * Guards against a newcomer that takes its own ignorance for the loss of a controller. Nobody
     * knows it yet, so it hears no heartbeat; with nobody known to it, it was most of all VMs by
     * itself, asked for each cell, was dealt it, and deposed a controller in good health. It showed
     * while the store was slow, since who is in the group is read from there.
     */
    private boolean knowsOthers(long nowMs) {
        OptionalLong forMs = mFollowers.knownForMs(nowMs);
        return forMs.isPresent() && forMs.getAsLong() >= ANSWER_MS;
    }

    private void tellAll(List<MemberAction> actions) {
        CellMessage.Missing missing = new CellMessage.Missing(mDesk.fence(), mStrength);
        for (String peer : mCandidacy.toTell(mFollowers.peers())) {
            actions.add(new MemberAction.Send(peer, missing));
        }
    }

    private static void log(String inputs, String outcome, List<MemberAction> actions) {
        actions.add(new MemberAction.Log(Decision.self("candidacy", inputs, outcome)));
    }
}
