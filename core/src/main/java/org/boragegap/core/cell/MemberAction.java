package org.boragegap.core.cell;

/** Actions that an entry VM requests as a member of the group that runs a cell. */
public sealed interface MemberAction {

    /**
     * Sends a message to another entry VM.
     *
     * @param address its peer address
     * @param message the message
     */
    record Send(String address, CellMessage message) implements MemberAction {}

    /**
     * Sends a message to the controller of another cell.
     *
     * @param address peer address of its VM; may be that of this VM
     * @param cell number of the cell
     * @param message the message
     */
    record SendToCell(String address, int cell, CellMessage message) implements MemberAction {}

    /**
     * Sends an order to a target.
     *
     * @param order a lease, a start or a stop
     */
    record Order(CellAction order) implements MemberAction {}

    /**
     * Answers a waiting caller.
     *
     * @param reply the answer
     */
    record Reply(EntryAction.Reply reply) implements MemberAction {}

    /**
     * Starts or stops watching the platform's list of targets.
     *
     * @param watch true to start
     */
    record WatchTargets(boolean watch) implements MemberAction {}

    /** Reads the members of the group at once. */
    record ReadMembers() implements MemberAction {}

    /**
     * Asks the group whether this VM has held the cell without a break.
     *
     * @param check what to ask
     */
    record CheckHold(Membership.HoldCheck check) implements MemberAction {}

    /** Joins the group again at once, so that the store can continue its rebalance. */
    record Rejoin() implements MemberAction {}

    /**
     * Writes one log line.
     *
     * @param decision the decision and its inputs
     */
    record Log(Decision decision) implements MemberAction {}
}
