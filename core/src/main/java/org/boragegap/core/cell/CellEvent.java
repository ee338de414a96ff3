package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What a controller learns. */
public sealed interface CellEvent {

    /**
     * This VM controls the cell from now on.
     *
     * @param fence fencing token of the term; higher than that of any earlier term
     * @param previousTargets targets of the last term heard of, if they were told
     */
    record TermBegan(long fence, Optional<List<TargetInfo>> previousTargets) implements CellEvent {}

    /**
     * All entry VMs in the group have told when they last controlled the cell.
     *
     * @param leasesExpired true when the leases of all earlier controllers are over; false when the
     *     last one gave the cell up just now, and the targets that it told are all that may be at
     *     work
     */
    record PredecessorsKnown(boolean leasesExpired) implements CellEvent {}

    /** This VM controls the cell no longer. */
    record TermEnded() implements CellEvent {}

    /**
     * The platform's whole list of targets.
     *
     * @param targets all listed targets
     */
    record TargetsListed(List<TargetInfo> targets) implements CellEvent {}

    /**
     * Failure domains that operators want emptied; told also to a VM that controls nothing.
     *
     * @param domains all of them; empty for none
     */
    record DomainsEvacuated(Set<String> domains) implements CellEvent {}

    /**
     * Another controller has seen a target crash under a task.
     *
     * @param task the task
     * @param target id of the target
     * @param evidence how surely the task was at work there
     */
    record CrashReported(TaskName task, String target, CrashEvidence evidence)
            implements CellEvent {}

    /**
     * A job that a caller waits for at an entry VM; may come again.
     *
     * @param entryVm peer address of that entry VM
     * @param request the job
     * @param ageMs how long ago the caller handed it in, in ms
     * @param budgetMs how long the caller waits in all, in ms
     * @param controllers how many controllers the entry VM has offered it to, from 1
     * @param number names the offer within that entry VM; its verdict repeats it
     */
    record Offered(
            String entryVm,
            JobRequest request,
            long ageMs,
            long budgetMs,
            int controllers,
            long number)
            implements CellEvent {}

    /**
     * The caller doesn't wait any more.
     *
     * @param entryVm peer address of the entry VM
     * @param job the job
     */
    record Withdrawn(String entryVm, String job) implements CellEvent {}

    /**
     * A target extended its lease and reported.
     *
     * @param target id of the target
     * @param call names the call
     * @param report what it said
     */
    record LeaseExtended(String target, long call, TargetReport report) implements CellEvent {}

    /**
     * A target gave no usable answer to a lease call.
     *
     * @param target id of the target
     * @param call names the call
     * @param cause why
     */
    record LeaseFailed(String target, long call, OrderResult cause) implements CellEvent {}

    /**
     * What became of a start.
     *
     * @param target id of the target
     * @param task the task
     * @param run number of the start
     * @param fence fencing token of the term that ordered it; another may have used the number
     * @param result what became of it
     */
    record StartAnswered(String target, TaskName task, int run, long fence, OrderResult result)
            implements CellEvent {}

    /**
     * What became of a stop.
     *
     * @param target id of the target
     * @param task the task
     * @param run number of the start
     * @param acknowledged true when the target has taken the order
     */
    record StopAnswered(String target, TaskName task, int run, boolean acknowledged)
            implements CellEvent {}

    /** Time has passed. */
    record Ticked() implements CellEvent {}
}
