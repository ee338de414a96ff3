package org.boragegap.core.cell;

/** What an entry VM wants done, as a member of the group that runs a cell. */
public sealed interface MemberAction {

    /**
     * Send a message to another entry VM.
     *
     * @param address its peer address
     * @param message the message
     */
    record Send(String address, CellMessage message) implements MemberAction {}

    /**
     * Give an order to a target.
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
     * Begin or end to follow the platform's list of targets.
     *
     * @param watch true to begin
     */
    record WatchTargets(boolean watch) implements MemberAction {}

    /** Read at once who is in the group. */
    record ReadMembers() implements MemberAction {}

    /** Join the group again at once, so that the store can go on dealing. */
    record Rejoin() implements MemberAction {}

    /**
     * One line for the log.
     *
     * @param decision what was decided and by which inputs
     */
    record Log(Decision decision) implements MemberAction {}
}
