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

/** What a dispatcher asks its surroundings to do. */
public sealed interface Action {

    /**
     * Gives a caller its one final answer.
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
     * @param attempt names the attempt within this process
     * @param target the target
     * @param submission the submission
     * @param task the task
     * @param startByMs monotonic time after which it must not be sent any more
     * @param timeoutMs how long its result is waited for
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
     * Stops an attempt whose result is of no use any more.
     *
     * @param attempt the attempt
     * @param target where it runs
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
     * Sends a sibling a message about room on targets.
     *
     * @param address peer address
     * @param message the message
     */
    record SendLoanMessage(String address, LoanMessage message) implements Action {}

    /**
     * Hands a submission to another entry VM.
     *
     * @param forwardId names the forward within this process
     * @param address peer address
     * @param submission the submission
     * @param hops how often it was forwarded, with this one
     */
    record Forward(long forwardId, String address, Submission submission, int hops)
            implements Action {}

    /**
     * Passes a cancellation on to another entry VM.
     *
     * @param address peer address
     * @param id the submission
     * @param hops how often it was forwarded, with this one
     */
    record ForwardCancel(String address, SubmissionId id, int hops) implements Action {}

    /**
     * Appends a view record to the platform's log.
     *
     * @param record the record
     */
    record AppendView(ViewRecord record) implements Action {}

    /**
     * States the bundle in force on the platform's log again.
     *
     * @param bundle the bundle
     * @param asOf offset up to which the log had been read
     */
    record RestateBundle(Bundle bundle, long asOf) implements Action {}

    /**
     * Tells a peer which version of the bundle is in force here; one with a newer one answers.
     *
     * @param address peer address
     * @param version the version, 0 for none
     */
    record SendBundleVersion(String address, long version) implements Action {}

    /**
     * Gives a peer that is behind the bundle in force.
     *
     * @param link connection on which it told its version
     * @param bundle the bundle
     */
    record SendBundle(long link, Bundle bundle) implements Action {}

    /**
     * All work is answered and the process may exit.
     *
     * @param finished submissions answered since the drain began
     * @param failed those of them that were failed at the bound
     */
    record ReportDrained(long finished, long failed) implements Action {}
}
