package org.boragegap.core.cell;

/** What entry VMs and the controller of a cell tell each other. */
public sealed interface CellMessage {

    /**
     * Entry VM to controller: a caller waits for this job.
     *
     * @param request the job
     * @param ageMs how long ago the caller handed it in, in ms
     * @param offers how often the sender has offered it, from 1
     */
    record Offer(JobRequest request, long ageMs, int offers) implements CellMessage {}

    /**
     * Entry VM to controller: the caller has left.
     *
     * @param job the job
     */
    record Withdraw(String job) implements CellMessage {}

    /**
     * Controller to entry VM: how a job ended.
     *
     * @param job the job
     * @param verdict how it ended
     */
    record Decided(String job, Verdict verdict) implements CellMessage {}

    /**
     * Controller to all: who controls the cell; sent as a heartbeat.
     *
     * @param fence fencing token of the term
     */
    record Leading(long fence) implements CellMessage {}

    /**
     * Answer to {@link Leading}.
     *
     * @param fence highest fencing token that the sender has seen
     */
    record Following(long fence) implements CellMessage {}
}
