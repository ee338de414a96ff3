package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;
import org.boragegap.core.ClockReading;

/**
 * Renews or ends the authority of this VM over the cell, and tells for the log what it rests on.
 */
final class ControllerAuthority {
    /** Maximum number of VMs that a log entry names. */
    private static final int MAX_LOGGED_VMS = 8;

    private final Membership mMembership;
    private final Followers mFollowers;
    private Membership.Authority mLogged = Membership.Authority.STORE;

    ControllerAuthority(Membership membership, Followers followers) {
        mMembership = membership;
        mFollowers = followers;
    }

    /**
     * Ends the term if nothing rules out that another VM controls the cell.
     *
     * @param fence fencing token of the term; empty while this VM doesn't control the cell
     * @return a log entry if the authority now rests on something else
     */
    Optional<Decision> update(Optional<Long> fence, ClockReading clock) {
        mMembership.tick(clock, endorsedHeartbeat(clock));
        Membership.Authority authority = mMembership.authority(clock);
        Membership.Authority before = mLogged;
        mLogged = fence.isPresent() ? authority : Membership.Authority.STORE;
        return before == mLogged ? Optional.empty() : fence.map(f -> decision(f, clock));
    }

    /** Last heartbeat that was endorsed; empty while this VM reaches the store itself. */
    private Optional<ClockReading> endorsedHeartbeat(ClockReading clock) {
        return mMembership.storeSilent(clock) ? mFollowers.endorsed(clock) : Optional.empty();
    }

    /**
     * Creates the log entry of a term that ends because of a later one.
     *
     * @param own fencing token of the term that ends
     * @param highest highest fencing token that is known; a target doesn't tell which one it saw
     * @param from the VM or target that has seen a later one
     */
    static Decision deposed(long own, long highest, String from) {
        String later = highest > own ? Long.toString(highest) : "unknown";
        String inputs = "fence=" + own + " later_fence=" + later + " from=" + from;
        return Decision.self("deposed", inputs, "ends its term");
    }

    /** Creates the log entry of the group's answer to a check of the hold. */
    static Decision holdChecked(MemberEvent.HoldChecked checked, ClockReading clock) {
        Membership.HoldCheck check = checked.check();
        String inputs =
                "fence="
                        + check.fence()
                        + " since_generation="
                        + check.since()
                        + " named_in_generation="
                        + check.named()
                        + " took_ms="
                        + (clock.monotonicMs() - checked.sent().monotonicMs());
        String outcome = checked.unbroken() ? "unbroken" : "interrupted, ends its term";
        return Decision.self("hold", inputs, outcome);
    }

    private Decision decision(long fence, ClockReading clock) {
        long heldMs = mMembership.lastHeld().map(ClockReading::monotonicMs).orElse(0L);
        List<String> silent = mFollowers.unansweredSince(heldMs);
        List<String> unendorsed = mFollowers.notEndorsedSince(heldMs);
        String inputs =
                "fence="
                        + fence
                        + " held_ago_ms="
                        + (clock.monotonicMs() - heldMs)
                        + " vms="
                        + mFollowers.counted().size()
                        + " not_endorsed="
                        + unendorsed.size()
                        + " silent="
                        + silent.size()
                        + " among_them="
                        + silent.stream().limit(MAX_LOGGED_VMS).toList();
        return Decision.self("authority", inputs, mLogged.name());
    }
}
