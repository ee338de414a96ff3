package org.boragegap.core.cell;

import java.util.Set;
import org.boragegap.core.ClockReading;

/** Events for an entry VM as a member of the group that runs a cell. */
public sealed interface MemberEvent {

    /**
     * The store answered a join.
     *
     * @param generation generation of the group
     * @param holdsCell true when the cell is assigned to this VM
     * @param sent when the join was sent
     */
    record Joined(long generation, boolean holdsCell, ClockReading sent) implements MemberEvent {}

    /**
     * The store answered a check of the hold.
     *
     * @param check what was asked
     * @param unbroken true when this VM has held the cell since then
     * @param sent when the check was sent
     */
    record HoldChecked(Membership.HoldCheck check, boolean unbroken, ClockReading sent)
            implements MemberEvent {}

    /**
     * The other members of the group were read.
     *
     * @param peers their peer addresses
     * @param askedMs when the read was sent to the store, on the monotonic clock, in ms
     */
    record PeersListed(Set<String> peers, long askedMs) implements MemberEvent {}

    /**
     * The processors of the VMs in the group were read.
     *
     * @param medianCpuMillis processor of the median VM, in thousandths of a core
     */
    record PeerProcessorKnown(int medianCpuMillis) implements MemberEvent {}

    /**
     * A message arrived from another entry VM.
     *
     * @param from its peer address
     * @param message the message
     */
    record Received(String from, CellMessage message) implements MemberEvent {}

    /**
     * An event for the controller.
     *
     * @param event the event
     */
    record ForController(CellEvent event) implements MemberEvent {}

    /**
     * An event for the pending jobs.
     *
     * @param event the event
     */
    record ForPendingJobs(EntryEvent event) implements MemberEvent {}

    /**
     * This VM is about to stop, as planned: it gives up the cell and continues to serve its
     * callers.
     */
    record Resigned() implements MemberEvent {}

    /** This VM accepts no more callers. */
    record Draining() implements MemberEvent {}

    /** Periodic timer event. */
    record Ticked() implements MemberEvent {}
}
