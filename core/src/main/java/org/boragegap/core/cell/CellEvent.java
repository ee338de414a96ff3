package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/** An event that a {@link CellController} handles. */
public sealed interface CellEvent {

    /**
     * This VM now controls the cell.
     *
     * @param fence fencing token of the term; higher than that of any earlier term
     * @param previousTargets targets of the last known term, if its controller announced them
     */
    record TermBegan(long fence, Optional<List<TargetInfo>> previousTargets) implements CellEvent {}

    /**
     * The entry VMs have reported when they last controlled the cell, and none of them tells of
     * targets that were neither announced nor are on the platform's list.
     */
    record PredecessorsKnown() implements CellEvent {}

    /** This VM no longer controls the cell. */
    record TermEnded() implements CellEvent {}

    /**
     * The platform's complete list of targets was read.
     *
     * @param targets all listed targets
     */
    record TargetsListed(List<TargetInfo> targets) implements CellEvent {}

    /**
     * Operators have evacuated failure domains; also sent to a VM that does not control the cell.
     *
     * @param domains all evacuated domains; may be empty
     */
    record DomainsEvacuated(Set<String> domains) implements CellEvent {}

    /**
     * Another controller has reported that a target crashed while a task ran there, or may have.
     *
     * @param task the task
     * @param target name of the target's incarnation
     * @param evidence how certain it is that the task was running there
     */
    record CrashReported(TaskName task, String target, CrashEvidence evidence)
            implements CellEvent {}

    /**
     * An entry VM offers a job that a caller waits for; the same job may be offered more than once.
     *
     * @param entryVm peer address of that entry VM
     * @param request the job
     * @param ageMs how long ago the caller submitted it, in ms
     * @param budgetMs how long the caller waits in total, in ms
     * @param controllers number of controllers that the entry VM has offered it to, from 1; this
     *     controller is included
     * @param number number of the offer within that entry VM; the verdict repeats it
     */
    record Offered(
            String entryVm,
            JobRequest request,
            long ageMs,
            long budgetMs,
            int controllers,
            long number)
            implements CellEvent {
        /** The event for an offer that was received. */
        static Offered of(String entryVm, CellMessage.Offer offer) {
            return new Offered(
                    entryVm,
                    offer.request(),
                    offer.ageMs(),
                    offer.budgetMs(),
                    offer.controllers(),
                    offer.number());
        }
    }

    /**
     * The callers at an entry VM no longer wait for a job.
     *
     * @param entryVm peer address of the entry VM
     * @param job id of the job
     */
    record Withdrawn(String entryVm, String job) implements CellEvent {}

    /**
     * A target has answered a lease call with its report.
     *
     * @param target id of the target
     * @param call number of the call
     * @param report the target's report
     */
    record LeaseExtended(String target, long call, TargetReport report) implements CellEvent {}

    /**
     * A lease call has failed: the target gave no usable answer.
     *
     * @param target id of the target
     * @param call number of the call
     * @param cause why it failed
     */
    record LeaseFailed(String target, long call, OrderResult cause) implements CellEvent {}

    /**
     * Result of an order to start a run.
     *
     * @param target id of the target
     * @param task the task
     * @param run run number
     * @param fence fencing token of the term that ordered it; another term may have used the same
     *     run number
     * @param result result of the order
     * @param incarnation number of the incarnation that answered; 0 if unknown
     */
    record StartAnswered(
            String target, TaskName task, int run, long fence, OrderResult result, long incarnation)
            implements CellEvent {

        /** Creates a result that doesn't state the number of the incarnation. */
        public StartAnswered(
                String target, TaskName task, int run, long fence, OrderResult result) {
            this(target, task, run, fence, result, 0);
        }
    }

    /**
     * Result of an order to stop a run.
     *
     * @param target id of the target
     * @param task the task
     * @param run run number
     * @param acknowledged true when the target has accepted the order
     * @param incarnation number of the incarnation that answered; 0 if unknown
     */
    record StopAnswered(
            String target, TaskName task, int run, boolean acknowledged, long incarnation)
            implements CellEvent {

        /** Creates a result that doesn't state the number of the incarnation. */
        public StopAnswered(String target, TaskName task, int run, boolean acknowledged) {
            this(target, task, run, acknowledged, 0);
        }
    }

    /**
     * The controller of another cell has sent a message about a loan.
     *
     * @param from peer address of its VM
     * @param message the message
     */
    record LoanMessageReceived(String from, CellMessage message) implements CellEvent {}

    /** Periodic timer event. */
    record Ticked() implements CellEvent {}
}
