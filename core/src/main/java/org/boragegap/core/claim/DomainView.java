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
 * @param members all members; a claim needs the acknowledgement of each of them. None if the last
 *     one has left: any VM may then follow at once
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

    /**
     * Creates a view without a parent.
     *
     * @param wallMs wall-clock time of its proposal
     * @param uid random identifier
     * @param member its only member
     * @param coverageStartMs ids created up to this time may have been claimed before
     */
    public static DomainView first(long wallMs, long uid, Member member, long coverageStartMs) {
        return new DomainView(wallMs, uid, NO_PARENT, List.of(member), List.of(), coverageStartMs);
    }

    /**
     * Creates a view that follows this one.
     *
     * @param nextUid random identifier of the new view
     * @param nextMembers its members
     * @param nextNewcomers those of them that don't hold this view's claims
     * @param nextCoverageStartMs ids created up to this time may have been claimed before
     */
    public DomainView successor(
            long nextUid,
            List<Member> nextMembers,
            List<Member> nextNewcomers,
            long nextCoverageStartMs) {
        return new DomainView(
                number + 1,
                nextUid,
                uid,
                List.copyOf(nextMembers),
                List.copyOf(nextNewcomers),
                nextCoverageStartMs);
    }

    /** True when the member is part of this view. */
    public boolean contains(Member member) {
        return members.contains(member);
    }

    /** This view in one line, for the log. */
    public String describe() {
        return "number="
                + number
                + " uid="
                + uid
                + " parent="
                + parentUid
                + " members="
                + members
                + " newcomers="
                + newcomers
                + " coverageStartMs="
                + coverageStartMs;
    }

    /** Members that held the parent's claims. */
    public List<Member> establishedMembers() {
        return members.stream().filter(member -> !newcomers.contains(member)).toList();
    }

    /**
     * True for a view none of whose members holds the parent's claims. It is proposed by a VM that
     * presumes the parent's members dead, and nobody claims under it. A view that follows it may
     * claim: one of a member of the parent that is alive after all and holds the claims, or one of
     * any VM once all members of the parent have stopped.
     */
    public boolean fence() {
        return !members.isEmpty() && establishedMembers().isEmpty();
    }

    /** The member at this address, if any. */
    public Optional<Member> memberAt(String address) {
        return members.stream().filter(member -> member.address().equals(address)).findFirst();
    }
}
