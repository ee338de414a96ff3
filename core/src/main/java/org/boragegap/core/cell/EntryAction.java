package org.boragegap.core.cell;

/** An action that {@link PendingJobs} requests. */
public sealed interface EntryAction {

    /**
     * Sends a message to the controller.
     *
     * @param address peer address of the controller; may be this VM's own
     * @param message the message
     */
    record Send(String address, CellMessage message) implements EntryAction {}

    /**
     * Answers a waiting caller.
     *
     * @param ticket identifies the caller within this process
     * @param job id of the job
     * @param verdict how the job ended
     * @param waitedMs time since the caller submitted the job, in ms
     */
    record Reply(long ticket, String job, Verdict verdict, long waitedMs) implements EntryAction {}

    /**
     * Writes one log line.
     *
     * @param decision what was decided, and from which inputs
     */
    record Log(Decision decision) implements EntryAction {}
}
