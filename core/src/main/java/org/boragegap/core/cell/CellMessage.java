package org.boragegap.core.cell;

import java.util.List;
import org.boragegap.core.ClockReading;
import org.boragegap.core.records.RecordFrame;

/** Messages between the entry VMs and the controller of a cell. */
public sealed interface CellMessage {

    /**
     * Entry VM to controller: a caller waits for this job.
     *
     * @param fence fencing token of the term that is meant; a controller of another term ignores
     *     the offer
     * @param request the job
     * @param ageMs time since the caller submitted it, in ms
     * @param budgetMs total time that the caller waits, in ms
     * @param controllers number of controllers to which it has been offered, from 1
     * @param number rises with each offer of the sender, also across its restarts; the verdict
     *     repeats it
     */
    record Offer(
            long fence, JobRequest request, long ageMs, long budgetMs, int controllers, long number)
            implements CellMessage {}

    /**
     * Entry VM to controller: the caller has left.
     *
     * @param job id of the job
     */
    record Withdraw(String job) implements CellMessage {}

    /**
     * Controller to entry VM: the verdict on a job.
     *
     * @param job id of the job
     * @param number number of the offer that is answered
     * @param verdict how the job ended
     */
    record Decided(String job, long number, Verdict verdict) implements CellMessage {}

    /**
     * Controller to all entry VMs: states who controls the cell.
     *
     * @param fence fencing token of the term
     * @param sent the controller's clock; a reply repeats it
     * @param periodMs time until the next heartbeat, in ms
     * @param idleTargets number of targets that the controller would lend to other cells
     */
    record Heartbeat(long fence, ClockReading sent, long periodMs, int idleTargets)
            implements CellMessage {
        /** Creates a heartbeat of a controller that lends nothing. */
        public Heartbeat(long fence, ClockReading sent, long periodMs) {
            this(fence, sent, periodMs, 0);
        }
    }

    /**
     * Controller to all entry VMs: its term has ended, as planned or because its membership has
     * expired. Another VM may become a candidate at once; without this message the others would
     * notice only after a silence of 500 ms.
     *
     * @param fence fencing token of the term
     */
    record Leaving(long fence) implements CellMessage {}

    /**
     * To all entry VMs: the sender hears no controller. A VM that controls the cell answers.
     *
     * @param fence highest fencing token that the sender has seen
     * @param strength processor that the sender has for the cell, in thousandths of a core
     */
    record ControllerMissing(long fence, int strength) implements CellMessage {}

    /**
     * Controller to all entry VMs, on each change: the targets on which it may have started tasks.
     * The next controller needs a report from each of them before it can tell what runs.
     *
     * @param fence fencing token of the term
     * @param version number of the list in the term, from 1
     * @param targets the targets
     */
    record Targets(long fence, long version, List<TargetInfo> targets) implements CellMessage {
        /** True when {@code other} is of a later term, or a later list of the same term. */
        boolean isOlderThan(Targets other) {
            return fence < other.fence || fence == other.fence && version < other.version;
        }
    }

    /**
     * Controller to all entry VMs: a target has crashed while a task ran there, or may have run
     * there. The crash also counts in later terms.
     *
     * @param task the task
     * @param target name of the target's incarnation
     * @param evidence how certain it is that the task was running there
     */
    record Crashed(TaskName task, String target, CrashEvidence evidence) implements CellMessage {}

    /**
     * Reply to {@link Heartbeat}.
     *
     * @param fence highest fencing token that the sender has seen
     * @param heartbeat the clock value in the heartbeat
     * @param storeSilent true when the store hasn't answered the sender for half a lease
     * @param sawNoOutage true when the sender can rule out a recent outage of the store; see {@link
     *     Membership#sawNoOutage}
     * @param lastOwnFence fencing token of the sender's own last term; 0 if it had none
     * @param endedAgoMs time since that term ended, in ms
     * @param targetsVersion version of the term's list of targets that the sender has; 0 for none
     * @param borrowed true when the sender's own last term may have started tasks on targets of
     *     other cells, which its list doesn't contain
     */
    record HeartbeatReply(
            long fence,
            ClockReading heartbeat,
            boolean storeSilent,
            boolean sawNoOutage,
            long lastOwnFence,
            long endedAgoMs,
            long targetsVersion,
            boolean borrowed)
            implements CellMessage {
        /** Creates the reply of a VM that has borrowed no targets. */
        public HeartbeatReply(
                long fence,
                ClockReading heartbeat,
                boolean storeSilent,
                boolean sawNoOutage,
                long lastOwnFence,
                long endedAgoMs,
                long targetsVersion) {
            this(
                    fence,
                    heartbeat,
                    storeSilent,
                    sawNoOutage,
                    lastOwnFence,
                    endedAgoMs,
                    targetsVersion,
                    false);
        }
    }

    /**
     * Controller to the controller of another cell: requests loans of targets, or renews loans.
     *
     * @param cell number of the sender's cell
     * @param fence fencing token of the sender's term
     * @param lenderFence fencing token of the term that is meant; another one ignores the request
     * @param number rises with each request of the term; the grant repeats it
     * @param service service whose targets are needed
     * @param neededCpu processor that is missing, in thousandths of a core; 0 to renew only
     * @param largestTaskCpu processor demand of the largest task, in thousandths of a core
     * @param renewals numbers of the loans to be renewed
     */
    record LoanRequest(
            int cell,
            long fence,
            long lenderFence,
            long number,
            String service,
            int neededCpu,
            int largestTaskCpu,
            List<Long> renewals)
            implements CellMessage {}

    /**
     * To the controller, once a VM hears of its term: jobs that may have started in earlier terms.
     *
     * @param fence fencing token of the term
     * @param frame a part of the sender's records
     */
    record StartRecords(long fence, RecordFrame frame) implements CellMessage {}

    /**
     * Controller to the sender of {@link StartRecords}: the frame has arrived.
     *
     * @param fence fencing token of the term
     * @param frame number of the frame
     */
    record StartRecordsReceived(long fence, int frame) implements CellMessage {}

    /**
     * A target that is lent.
     *
     * @param loan number of the loan
     * @param target the target
     * @param leaseLeftMs how long the lease may last that the lender has granted, in ms
     */
    record LentTarget(long loan, TargetInfo target, long leaseLeftMs) {}

    /**
     * Answer to {@link LoanRequest}, also if nothing is granted.
     *
     * @param cell number of the lending cell
     * @param fence fencing token of the lender, for orders to the targets
     * @param borrowerFence fencing token in the request
     * @param number number of the request
     * @param termMs how long each loan lasts, counted from the request, in ms
     * @param targets new loans
     * @param renewed numbers of the loans that last for another term
     */
    record LoanGrant(
            int cell,
            long fence,
            long borrowerFence,
            long number,
            long termMs,
            List<LentTarget> targets,
            List<Long> renewed)
            implements CellMessage {}

    /**
     * Borrower to lender: nothing runs on these targets, and no order to them is unresolved.
     *
     * @param cell number of the borrowing cell
     * @param fence fencing token of the borrower's term
     * @param lenderFence fencing token of the lender's term
     * @param loans numbers of the loans
     */
    record LoanReturn(int cell, long fence, long lenderFence, List<Long> loans)
            implements CellMessage {}

    /**
     * Lender to borrower: the targets are needed; they are to be returned as soon as they are free.
     *
     * @param cell number of the lending cell
     * @param fence fencing token of the lender's term
     * @param loans numbers of the loans
     */
    record LoanRecall(int cell, long fence, List<Long> loans) implements CellMessage {}
}
