package org.boragegap.core.cell;

/** What an entry VM's desk wants done. */
public sealed interface EntryAction {

    /**
     * Send a message to the controller.
     *
     * @param address its peer address; may be this VM's own
     * @param message the message
     */
    record Send(String address, CellMessage message) implements EntryAction {}

    /**
     * Answer a waiting caller.
     *
     * @param ticket the caller
     * @param job the job
     * @param verdict how it ended
     * @param waitedMs since the caller handed it in, in ms
     */
    record Reply(long ticket, String job, Verdict verdict, long waitedMs) implements EntryAction {}

    /**
     * One line for the log.
     *
     * @param decision what was decided and by which inputs
     */
    record Log(Decision decision) implements EntryAction {}
}
