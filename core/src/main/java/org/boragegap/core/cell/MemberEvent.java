package org.boragegap.core.cell;

import java.util.Set;
import org.boragegap.core.ClockReading;

/** What an entry VM learns, as a member of the group that runs a cell. */
public sealed interface MemberEvent {

    /**
     * The store answered a join.
     *
     * @param generation of the group
     * @param holdsCell true when the cell is dealt to this VM
     * @param sent when the join was sent
     */
    record Joined(long generation, boolean holdsCell, ClockReading sent) implements MemberEvent {}

    /**
     * Who else is in the group.
     *
     * @param peers their peer addresses
     * @param askedMs when the store was asked, on the monotonic clock, in ms
     */
    record PeersListed(Set<String> peers, long askedMs) implements MemberEvent {}

    /**
     * A message came from another entry VM.
     *
     * @param from its peer address
     * @param message the message
     */
    record Received(String from, CellMessage message) implements MemberEvent {}

    /**
     * Something for the controller.
     *
     * @param event the event
     */
    record ForController(CellEvent event) implements MemberEvent {}

    /**
     * Something for the desk.
     *
     * @param event the event
     */
    record ForPendingJobs(EntryEvent event) implements MemberEvent {}

    /** This VM is about to stop, as planned: it gives the cell up and serves its callers on. */
    record Resigned() implements MemberEvent {}

    /** This VM takes no more callers. */
    record Draining() implements MemberEvent {}

    /** Time has passed. */
    record Ticked() implements MemberEvent {}
}
