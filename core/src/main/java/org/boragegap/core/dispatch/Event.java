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

/** What happens to a dispatcher. */
public sealed interface Event {

    /**
     * A submission came in.
     *
     * @param caller who waits for the answer
     * @param submission the submission
     * @param newId whether this VM minted the id for it just now
     * @param hops how often it was forwarded
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
     * @param outcome how
     */
    record AttemptEnded(long attempt, Outcome outcome) implements Event {}

    /**
     * A peer spoke about claims.
     *
     * @param from the peer
     * @param message what it said
     */
    record ClaimMessageReceived(Member from, ClaimMessage message) implements Event {}

    /**
     * A sibling spoke about room on targets.
     *
     * @param from peer address
     * @param message what it said
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
     * @param sent whether any of it may have reached the peer
     */
    record ForwardLost(long forwardId, boolean sent) implements Event {}

    /**
     * The log was read.
     *
     * @param batch view records, and how far the read went
     * @param bundles bundle records in log order
     */
    record LogRead(LogBatch batch, List<BundleRecord> bundles) implements Event {}

    /**
     * A peer told which version of the bundle it has in force.
     *
     * @param link connection on which it did
     * @param version the version
     */
    record BundleVersionReceived(long link, long version) implements Event {}

    /**
     * A peer gave the bundle that it has in force.
     *
     * @param bundle the bundle
     */
    record BundleReceived(CheckedBundle bundle) implements Event {}

    /**
     * The platform listed the VMs.
     *
     * @param vms all live and leaving VMs of the deployment
     */
    record VmsListed(List<ListedVm> vms) implements Event {}

    /**
     * An operator or a signal asks this VM to drain.
     *
     * @param timeoutMs how long work in flight may take
     */
    record DrainRequested(long timeoutMs) implements Event {}

    /** Time passed. */
    record Ticked() implements Event {}
}
