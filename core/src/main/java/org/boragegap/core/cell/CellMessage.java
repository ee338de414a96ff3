package org.boragegap.core.cell;

import java.util.List;
import org.boragegap.core.ClockReading;

/** What entry VMs and the controller of a cell tell each other. */
public sealed interface CellMessage {

    /**
     * Entry VM to controller: a caller waits for this job.
     *
     * @param fence fencing token of the term that is meant; any other ignores the offer
     * @param request the job
     * @param ageMs how long ago the caller handed it in, in ms
     * @param budgetMs how long the caller waits in all, in ms
     * @param controllers how many controllers it has been offered to, from 1
     * @param number rises with each offer of the sender, over all its lives; the verdict repeats it
     */
    record Offer(
            long fence, JobRequest request, long ageMs, long budgetMs, int controllers, long number)
            implements CellMessage {}

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
     * @param number of the offer that is answered
     * @param verdict how it ended
     */
    record Decided(String job, long number, Verdict verdict) implements CellMessage {}

    /**
     * Controller to all: who controls the cell; sent as a heartbeat.
     *
     * @param fence fencing token of the term
     * @param sent the controller's clock; an answer repeats it
     * @param periodMs time until the next heartbeat, in ms
     */
    record Heartbeat(long fence, ClockReading sent, long periodMs) implements CellMessage {}

    /**
     * Controller to all: it has given the cell up, as planned or since its membership is over.
     * Another one may ask for it at once: else the others would notice after a silence of 500 ms.
     *
     * @param fence fencing token of the term
     */
    record Leaving(long fence) implements CellMessage {}

    /**
     * To all: the sender hears no controller. One that controls the cell answers.
     *
     * @param fence highest fencing token that the sender has seen
     * @param strength how much processor the sender has for the cell, in thousandths of a core
     */
    record ControllerMissing(long fence, int strength) implements CellMessage {}

    /**
     * Controller to all, on each change: the targets on which it may have started something. The
     * next controller must hear from each of them before it can tell what runs.
     *
     * @param fence fencing token of the term
     * @param version rises with each list of the term, from 1
     * @param targets the targets
     */
    record Targets(long fence, long version, List<TargetInfo> targets) implements CellMessage {
        /** True when a list of another version or term says more than this one. */
        boolean isOlderThan(Targets other) {
            return fence < other.fence || fence == other.fence && version < other.version;
        }
    }

    /**
     * Controller to all: a target has crashed under a task, which counts for later terms too.
     *
     * @param task the task
     * @param target id of the target
     * @param evidence how surely the task was at work there
     */
    record Crashed(TaskName task, String target, CrashEvidence evidence) implements CellMessage {}

    /**
     * Answer to {@link Heartbeat}.
     *
     * @param fence highest fencing token that the sender has seen
     * @param heartbeat the clock that the heartbeat told
     * @param storeSilent true when the store hasn't answered the sender for half a lease
     * @param sawNoOutage true when the store has answered the sender all the time lately
     * @param lastOwnFence fencing token of the sender's own last term; 0 if it had none
     * @param endedAgoMs how long ago that term ended, in ms
     * @param targetsVersion version of the term's list of targets that the sender has; 0 for none
     */
    record HeartbeatReply(
            long fence,
            ClockReading heartbeat,
            boolean storeSilent,
            boolean sawNoOutage,
            long lastOwnFence,
            long endedAgoMs,
            long targetsVersion)
            implements CellMessage {}
}
