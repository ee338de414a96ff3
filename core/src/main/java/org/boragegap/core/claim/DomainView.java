package org.boragegap.core.claim;

import java.util.List;
import java.util.Optional;

/**
 * The entry VMs of a failure domain that acknowledge each other's claims. The order of the records
 * on the log determines which view is current.
 *
 * @param number one more than the parent's; for a view without a parent, the wall-clock time of its
 *     proposal
 * @param uid random identifier of this view
 * @param parentUid uid of the view that it follows, or {@link #NO_PARENT}
 * @param members all members; a claim needs the acknowledgement of each of them
 * @param newcomers members that did not hold the parent's claims and must fetch them
 * @param coverageStartMs ids created up to this time may have been claimed without this view's
 *     members knowing
 */
public record DomainView(
        long number,
        long uid,
        long parentUid,
        List<Member> members,
        List<Member> newcomers,
        long coverageStartMs) {

    /** Parent uid of a view that has no parent. */
    public static final long NO_PARENT = 0;

    /** Coverage start of a view whose members know every claim ever made. */
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
