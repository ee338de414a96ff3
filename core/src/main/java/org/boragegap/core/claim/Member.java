package org.boragegap.core.claim;

/**
 * One run of an entry process, as a member of a view.
 *
 * <p>An address belongs to one process at a time, so a message from a later incarnation at the same
 * address proves that the earlier one is dead.
 *
 * @param address peer address as {@code host:port}
 * @param incarnation number of this run; a later run at the same address has a larger one
 */
public record Member(String address, long incarnation) {

    /** True when {@code other} is another incarnation at this member's address. */
    public boolean replacedBy(Member other) {
        return address.equals(other.address) && incarnation != other.incarnation;
    }
}
