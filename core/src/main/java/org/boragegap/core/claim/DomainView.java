package org.boragegap.core.claim;

import java.util.List;
import java.util.Optional;

/**
 * The entry VMs of a failure domain that share claims, as decided by the log's order.
 *
 * @param number one more than the parent's
 * @param uid random identity of this view
 * @param parentUid the view it follows, or {@link #NO_PARENT}
 * @param members all members; each of them acknowledges every claim
 * @param newcomers members that did not hold the parent's claims and must fetch them
 * @param coverageStartMs ids created up to here may have been claimed unknown to this view
 */
public record DomainView(
        long number,
        long uid,
        long parentUid,
        List<Member> members,
        List<Member> newcomers,
        long coverageStartMs) {

    /** Parent of a domain's first view. */
    public static final long NO_PARENT = 0;

    /** Coverage of a view that knows every claim ever made. */
    public static final long COVERS_ALL = 0;

    /** True when the member is part of this view. */
    public boolean contains(Member member) {
        return members.contains(member);
    }

    /** Members that held the parent's claims. */
    public List<Member> establishedMembers() {
        return members.stream().filter(member -> !newcomers.contains(member)).toList();
    }

    /** The member at this address, if any. */
    public Optional<Member> memberAt(String address) {
        return members.stream().filter(member -> member.address().equals(address)).findFirst();
    }
}
