package org.boragegap.core.dispatch;

import java.util.List;
import org.boragegap.core.bundle.BundleRecord;
import org.boragegap.core.bundle.CheckedBundle;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.claim.LogBatch;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.placement.LoanMessage;

/** An input of a dispatcher. */
public sealed interface Event {

    /**
     * A submission was received.
     *
     * @param caller the party that waits for the answer
     * @param submission the submission
     * @param newId whether this VM has just minted the submission's id
     * @param hops how often the submission was forwarded
     */
    record Submitted(CallerRef caller, Submission submission, boolean newId, int hops)
            implements Event {}

    /**
     * A caller no longer wants a submission.
     *
     * @param id the submission
     * @param hops how often the cancellation was forwarded
     */
    record Cancelled(SubmissionId id, int hops) implements Event {}

    /**
     * An attempt ended.
     *
     * @param attempt the attempt
     * @param outcome how it ended
     */
    record AttemptEnded(long attempt, Outcome outcome) implements Event {}

    /**
     * A peer sent a message about claims.
     *
     * @param from the peer
     * @param message the message
     */
    record ClaimMessageReceived(Member from, ClaimMessage message) implements Event {}

    /**
     * Another entry VM of this failure domain sent a message about loans of slots on targets.
     *
     * @param from peer address
     * @param message the message
     */
    record LoanMessageReceived(String from, LoanMessage message) implements Event {}

    /**
     * A forwarded submission was answered.
     *
     * @param forwardId the forward
     * @param answer the answer
     */
    record ForwardAnswered(long forwardId, Answer answer) implements Event {}

    /**
     * A forwarded submission will not be answered by the peer.
     *
     * @param forwardId the forward
     * @param sent whether the submission may have reached the peer
     */
    record ForwardLost(long forwardId, boolean sent) implements Event {}

    /**
     * The log was read.
     *
     * @param batch view records and the range of offsets that was read
     * @param bundles bundle records in log order
     */
    record LogRead(LogBatch batch, List<BundleRecord> bundles) implements Event {}

    /**
     * A peer sent the version of its active bundle.
     *
     * @param link connection on which it did so
     * @param version the version
     */
    record BundleVersionReceived(long link, long version) implements Event {}

    /**
     * A peer sent its active bundle.
     *
     * @param bundle the bundle
     */
    record BundleReceived(CheckedBundle bundle) implements Event {}

    /**
     * A list of the VMs was received from the platform.
     *
     * @param vms all live and leaving VMs of the deployment
     */
    record VmsListed(List<ListedVm> vms) implements Event {}

    /**
     * An operator or a signal requested a drain of this VM.
     *
     * @param timeoutMs how long unfinished work may still take
     */
    record DrainRequested(long timeoutMs) implements Event {}

    /** Time passed. */
    record Ticked() implements Event {}
}
