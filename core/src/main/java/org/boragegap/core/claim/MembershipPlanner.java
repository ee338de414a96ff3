package org.boragegap.core.claim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Decides which members the next view should have, and which member proposes it. */
final class MembershipPlanner {
    private final Member mSelf;
    private final long mSuspectMs;
    private final MemberHealth mHealth;
    private final Map<Member, Long> mJoinRequestMs = new HashMap<>();

    MembershipPlanner(Member self, long suspectMs, MemberHealth health) {
        mSelf = self;
        mSuspectMs = suspectMs;
        mHealth = health;
    }

    void onJoin(Member from, long nowMs) {
        mJoinRequestMs.put(from, nowMs);
    }

    void onViewChanged(DomainView view) {
        mJoinRequestMs.keySet().removeAll(view.members());
    }

    /** The members that are not suspected, and those that have asked to join recently. */
    Set<Member> nextMembers(DomainView view, long nowMs) {
        Set<Member> next = new LinkedHashSet<>();
        for (Member member : view.members()) {
            if (!suspected(member, nowMs)) {
                next.add(member);
            }
        }
        mJoinRequestMs.values().removeIf(requestMs -> nowMs - requestMs > mSuspectMs);
        for (Member joiner : mJoinRequestMs.keySet()) {
            next.removeIf(member -> member.address().equals(joiner.address()));
            next.add(joiner);
        }
        return next;
    }

    /**
     * True when this member should propose the next view: at once if it is the first unsuspected
     * member, otherwise when that one has been silent for the suspect timeout.
     */
    boolean proposes(DomainView view, long nowMs) {
        Member first =
                view.members().stream()
                        .filter(member -> !suspected(member, nowMs))
                        .min(Comparator.comparing(Member::address))
                        .orElseThrow();
        return first.equals(mSelf) || nowMs - mHealth.lastContactMs(first, nowMs) >= mSuspectMs;
    }

    private boolean suspected(Member member, long nowMs) {
        return !member.equals(mSelf) && (mHealth.departed(member) || mHealth.silent(member, nowMs));
    }
}
