package org.boragegap.core.dispatch;

import org.boragegap.core.bundle.Bundle;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.claim.ViewRecord;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.job.TaskSpec;
import org.boragegap.core.placement.LoanMessage;
import org.boragegap.core.placement.Target;

/** An action that a dispatcher requests from its caller. */
public sealed interface Action {

    /**
     * Sends a caller its only and final answer.
     *
     * @param caller the caller
     * @param id the submission
     * @param answer the answer
     */
    record Reply(CallerRef caller, SubmissionId id, Answer answer) implements Action {}

    /**
     * Tells a caller that its submission was accepted and will be answered.
     *
     * @param caller the caller
     * @param id the submission
     */
    record Accept(CallerRef caller, SubmissionId id) implements Action {}

    /**
     * Starts a task on a target.
     *
     * @param attempt number of the attempt, unique within this process
     * @param target the target
     * @param submission the submission
     * @param task the task
     * @param startByMs monotonic time after which the start must not be sent
     * @param timeoutMs how long to wait for its result
     */
    record Start(
            long attempt,
            Target target,
            Submission submission,
            TaskSpec task,
            long startByMs,
            long timeoutMs)
            implements Action {}

    /**
     * Stops an attempt whose result is no longer needed.
     *
     * @param attempt the attempt
     * @param target target on which it runs
     */
    record Stop(long attempt, Target target) implements Action {}

    /**
     * Sends a peer a message about claims.
     *
     * @param address peer address
     * @param message the message
     */
    record SendClaimMessage(String address, ClaimMessage message) implements Action {}

    /**
     * Sends another entry VM of this failure domain a message about loans of slots on targets.
     *
     * @param address peer address
     * @param message the message
     */
    record SendLoanMessage(String address, LoanMessage message) implements Action {}

    /**
     * Forwards a submission to another entry VM.
     *
     * @param forwardId number of the forward, unique within this process
     * @param address peer address
     * @param submission the submission
     * @param hops how often the submission was forwarded, including this time
     */
    record Forward(long forwardId, String address, Submission submission, int hops)
            implements Action {}

    /**
     * Forwards a cancellation to another entry VM.
     *
     * @param address peer address
     * @param id the submission
     * @param hops how often the cancellation was forwarded, including this time
     */
    record ForwardCancel(String address, SubmissionId id, int hops) implements Action {}

    /**
     * Appends a view record to the platform's log.
     *
     * @param record the record
     */
    record AppendView(ViewRecord record) implements Action {}

    /**
     * Writes one log line about a decision.
     *
     * @param what kind of decision, a short constant
     * @param inputs the inputs of the decision and their ages
     * @param outcome the result of the decision
     */
    record Log(String what, String inputs, String outcome) implements Action {}

    /**
     * Appends a statement of the active bundle to the platform's log, so that it outlives the log's
     * retention.
     *
     * @param bundle the bundle
     * @param asOf offset up to which the log had been read
     */
    record RestateBundle(Bundle bundle, long asOf) implements Action {}

    /**
     * Sends a peer the version of the bundle that is active here; a peer with a newer bundle
     * answers with it.
     *
     * @param address peer address
     * @param version the version, 0 for none
     */
    record SendBundleVersion(String address, long version) implements Action {}

    /**
     * Sends the active bundle to a peer that has an older one.
     *
     * @param link connection on which the peer sent its version
     * @param bundle the bundle
     */
    record SendBundle(long link, Bundle bundle) implements Action {}

    /**
     * Reports that the drain is over and the process may exit.
     *
     * @param finished submissions answered since the drain began
     * @param failed those of them that failed because the drain timed out
     */
    record ReportDrained(long finished, long failed) implements Action {}
}
