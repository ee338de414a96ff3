package org.boragegap.core.cell;

/** An event that {@link PendingJobs} handles. */
public sealed interface EntryEvent {

    /**
     * A caller has submitted a job and waits for its verdict.
     *
     * @param ticket identifies the waiting caller within this process
     * @param request the job
     * @param budgetMs how long the caller waits, in ms
     */
    record Submitted(long ticket, JobRequest request, long budgetMs) implements EntryEvent {}

    /**
     * A waiting caller has closed its connection.
     *
     * @param ticket identifies the caller within this process
     */
    record CallerLeft(long ticket) implements EntryEvent {}

    /**
     * A heartbeat from a controller, possibly this VM itself, has arrived.
     *
     * @param address peer address of the controller
     * @param fence fencing token of its term
     */
    record ControllerHeard(String address, long fence) implements EntryEvent {}

    /**
     * A controller has announced that it gave up the cell.
     *
     * @param fence fencing token of its term
     */
    record ControllerLeft(long fence) implements EntryEvent {}

    /**
     * A controller has sent its verdict on a job.
     *
     * @param job id of the job
     * @param number number of the offer that this answers
     * @param verdict how the job ended
     */
    record Decided(String job, long number, Verdict verdict) implements EntryEvent {}

    /**
     * The process is shutting down: no new jobs are accepted, and those that wait are answered
     * soon.
     */
    record Draining() implements EntryEvent {}

    /** Periodic timer event. */
    record Ticked() implements EntryEvent {}
}
