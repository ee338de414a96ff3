package org.boragegap.core.cell;

/** Actions that an entry VM requests as a member of the group that runs a cell. */
public sealed interface MemberAction {

    /**
     * Send a message to another entry VM.
     *
     * @param address its peer address
     * @param message the message
     */
    record Send(String address, CellMessage message) implements MemberAction {}

    /**
     * Send an order to a target.
     *
     * @param order a lease, a start or a stop
     */
    record Order(CellAction order) implements MemberAction {}

    /**
     * Answer a waiting caller.
     *
     * @param reply the answer
     */
    record Reply(EntryAction.Reply reply) implements MemberAction {}

    /**
     * Start or stop watching the platform's list of targets.
     *
     * @param watch true to start
     */
    record WatchTargets(boolean watch) implements MemberAction {}

    /** Read the members of the group at once. */
    record ReadMembers() implements MemberAction {}

    /** Join the group again at once, so that the store can continue its rebalance. */
    record Rejoin() implements MemberAction {}

    /**
     * Write a line to the log.
     *
     * @param decision the decision and its inputs
     */
    record Log(Decision decision) implements MemberAction {}
}
