package org.boragegap.core.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What this member knows of whether the members of the current view are alive. */
final class MemberHealth {
    private final long mSuspectMs;
    private final Map<Member, Long> mLastContactMs = new HashMap<>();
    private final Set<Member> mDeparted = new HashSet<>();
    private final Set<Member> mUnlisted = new HashSet<>();
    private long mLastTickMs = Long.MIN_VALUE / 2;

    MemberHealth(long suspectMs) {
        mSuspectMs = suspectMs;
    }

    void onViewChanged(DomainView view, long nowMs) {
        mDeparted.retainAll(view.members());
        mUnlisted.retainAll(view.members());
        for (Member member : view.members()) {
            mLastContactMs.put(member, nowMs);
        }
        mLastContactMs.keySet().retainAll(view.members());
    }

    void recordContact(Member from, long nowMs) {
        mLastContactMs.computeIfPresent(from, (member, before) -> nowMs);
    }

    /** Records proof that a member makes no more claims. */
    void recordDeparture(Member member) {
        mDeparted.add(member);
    }

    /** Sets the members that have been missing from the platform's list for a while. */
    void setUnlisted(Set<Member> members) {
        mUnlisted.clear();
        mUnlisted.addAll(members);
    }

    /**
     * Handles the passage of time. After a pause of this process the times of last contact begin
     * anew: other members only seemed to be silent during it.
     */
    void onTick(long nowMs) {
        if (nowMs - mLastTickMs > mSuspectMs / 2) {
            mLastContactMs.replaceAll((member, lastContactMs) -> nowMs);
        }
        mLastTickMs = nowMs;
    }

    long lastContactMs(Member member, long nowMs) {
        return mLastContactMs.getOrDefault(member, nowMs);
    }

    boolean departed(Member member) {
        return mDeparted.contains(member);
    }

    boolean silent(Member member, long nowMs) {
        return nowMs - lastContactMs(member, nowMs) > mSuspectMs;
    }

    /**
     * True when the member is probably dead. It is proved only for a member that has departed; a
     * list that lacks a VM may be wrong, so it counts only together with silence.
     */
    boolean presumedDead(Member member, long nowMs) {
        return departed(member) || mUnlisted.contains(member) && silent(member, nowMs);
    }

    /** The evidence on a member, for the log. */
    String describe(Member member, long nowMs) {
        return member.address()
                + "#"
                + member.incarnation()
                + (departed(member) ? " departed" : "")
                + (mUnlisted.contains(member) ? " unlisted" : "")
                + " silentMs="
                + (nowMs - lastContactMs(member, nowMs));
    }
}
