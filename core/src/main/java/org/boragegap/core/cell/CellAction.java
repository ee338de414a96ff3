package org.boragegap.core.cell;

import java.util.List;

/** What a controller wants done. */
public sealed interface CellAction {

    /**
     * Extend a target's lease and ask for its report.
     *
     * @param target the target
     * @param call names the call
     * @param fence fencing token
     * @param untilMs lease end on the target's clock; 0 to extend nothing, when its clock isn't
     *     known yet
     * @param acknowledged ends up to this number may be forgotten
     * @param waitMs how long the target may wait for an end before it answers, in ms
     */
    record ExtendLease(
            TargetInfo target, long call, long fence, long untilMs, long acknowledged, long waitMs)
            implements CellAction {}

    /**
     * Start a run.
     *
     * @param target the target
     * @param task the task
     * @param run number of the start
     * @param spec the job's spec
     * @param fence fencing token
     * @param untilMs lease end on the target's clock; the target rejects the start after it
     */
    record StartRun(
            TargetInfo target, TaskName task, int run, String spec, long fence, long untilMs)
            implements CellAction {}

    /**
     * Stop a run; if it isn't there yet, the target will reject its start.
     *
     * @param target the target
     * @param task the task
     * @param run number of the start
     * @param fence fencing token
     */
    record StopRun(TargetInfo target, TaskName task, int run, long fence) implements CellAction {}

    /**
     * Tell an entry VM how a job ended.
     *
     * @param entryVm its peer address
     * @param job the job
     * @param number of the offer that is answered
     * @param verdict how it ended
     */
    record Answer(String entryVm, String job, long number, Verdict verdict) implements CellAction {}

    /**
     * Tell all entry VMs on which targets this controller may start something.
     *
     * @param targets the targets
     */
    record BroadcastTargets(List<TargetInfo> targets) implements CellAction {}

    /**
     * Tell all entry VMs that a target has crashed under a task, so that a next controller knows.
     *
     * @param task the task
     * @param target id of the target
     * @param evidence how surely the task was at work there
     */
    record BroadcastCrash(TaskName task, String target, CrashEvidence evidence)
            implements CellAction {}

    /** Another controller has taken over: this VM must find out who. */
    record Deposed() implements CellAction {}

    /**
     * One line for the log.
     *
     * @param decision what was decided and by which inputs
     */
    record Log(Decision decision) implements CellAction {}
}
