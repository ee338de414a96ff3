package org.boragegap.core.claim;

/**
 * One run of an entry process.
 *
 * <p>An address belongs to one process at a time, so another incarnation answering at an address
 * proves that the earlier one is dead.
 *
 * @param address peer address as {@code host:port}
 * @param incarnation number of this run, larger for later runs at the same address
 */
public record Member(String address, long incarnation) {

    /** True when this member's death is proved by {@code other} answering at its address. */
    public boolean replacedBy(Member other) {
        return address.equals(other.address) && incarnation != other.incarnation;
    }
}
