package org.boragegap.core.cell;

import java.util.List;

/**
 * An action that a {@link CellController} requests.
 *
 * <p>An order to a target whose incarnation is known must be carried out by this incarnation or not
 * at all, however late; see {@link TargetInfo#incarnation}.
 */
public sealed interface CellAction {

    /**
     * Extends a target's lease and requests its report.
     *
     * @param target the target
     * @param call number of the call
     * @param fence fencing token
     * @param untilMs lease end on the target's clock; 0 to leave the lease as it is, because the
     *     target's clock is not known yet or the target does not respond
     * @param acknowledged the target may discard ends up to this sequence number
     * @param waitMs how long the target may wait for an end before it answers, in ms
     */
    record ExtendLease(
            TargetInfo target, long call, long fence, long untilMs, long acknowledged, long waitMs)
            implements CellAction {}

    /**
     * Starts a run.
     *
     * @param target the target
     * @param task the task
     * @param run run number
     * @param spec the job's spec
     * @param fence fencing token; that of the lender for a borrowed target
     * @param untilMs lease end on the target's clock; the target rejects the start after it
     * @param term fencing token of the controller's term, which the answer repeats
     */
    record StartRun(
            TargetInfo target,
            TaskName task,
            int run,
            String spec,
            long fence,
            long untilMs,
            long term)
            implements CellAction {}

    /**
     * Stops a run. If the run has not reached the target yet, the target will reject its start.
     *
     * @param target the target
     * @param task the task
     * @param run run number
     * @param fence fencing token
     */
    record StopRun(TargetInfo target, TaskName task, int run, long fence) implements CellAction {}

    /**
     * Reports the verdict on a job to an entry VM.
     *
     * @param entryVm peer address of the entry VM
     * @param job id of the job
     * @param number number of the offer that this answers
     * @param verdict how the job ended
     */
    record Answer(String entryVm, String job, long number, Verdict verdict) implements CellAction {}

    /**
     * Sends all entry VMs the list of targets on which this controller may start tasks.
     *
     * @param targets the targets
     */
    record BroadcastTargets(List<TargetInfo> targets) implements CellAction {}

    /**
     * Reports to all entry VMs that a target crashed while a task ran there, or may have run there,
     * so that the next controller knows of it.
     *
     * @param task the task
     * @param target name of the target's incarnation
     * @param evidence how certain it is that the task was running there
     */
    record BroadcastCrash(TaskName task, String target, CrashEvidence evidence)
            implements CellAction {}

    /**
     * Sends a message about a loan to the controller of another cell.
     *
     * @param address peer address of its VM
     * @param cell number of its cell
     * @param message the message
     */
    record SendLoan(String address, int cell, CellMessage message) implements CellAction {}

    /**
     * Another controller has taken over: this VM has to find out which one.
     *
     * @param target id of the target that has seen its fencing token
     */
    record Deposed(String target) implements CellAction {}

    /**
     * Writes one log line.
     *
     * @param decision what was decided, and from which inputs
     */
    record Log(Decision decision) implements CellAction {}
}
