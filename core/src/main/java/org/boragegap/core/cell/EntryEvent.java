package org.boragegap.core.cell;

/** What an entry VM's desk learns. */
public sealed interface EntryEvent {

    /**
     * A caller hands a job in and waits.
     *
     * @param ticket names the waiting caller within this process
     * @param request the job
     * @param budgetMs how long the caller waits, in ms
     */
    record Submitted(long ticket, JobRequest request, long budgetMs) implements EntryEvent {}

    /**
     * A waiting caller has closed its connection.
     *
     * @param ticket the caller
     */
    record CallerLeft(long ticket) implements EntryEvent {}

    /**
     * A controller was heard of.
     *
     * @param address its peer address
     * @param fence fencing token of its term
     */
    record ControllerHeard(String address, long fence) implements EntryEvent {}

    /**
     * A controller has given the cell up as planned.
     *
     * @param fence fencing token of its term
     */
    record ControllerLeft(long fence) implements EntryEvent {}

    /**
     * A controller has decided.
     *
     * @param job the job
     * @param number of the offer that is answered
     * @param verdict how it ended
     */
    record Decided(String job, long number, Verdict verdict) implements EntryEvent {}

    /** The process will stop: everything that waits is to be answered soon. */
    record Draining() implements EntryEvent {}

    /** Time has passed. */
    record Ticked() implements EntryEvent {}
}
