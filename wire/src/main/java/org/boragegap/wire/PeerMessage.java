package org.boragegap.wire;

import java.util.List;
import java.util.Optional;
import org.boragegap.core.bundle.Bundle;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.placement.LoanMessage;

/** One frame between two entry VMs. */
public sealed interface PeerMessage {

    /**
     * About claims and views.
     *
     * @param from the sender
     * @param message what it says
     */
    record Claims(Member from, ClaimMessage message) implements PeerMessage {}

    /**
     * About room on targets.
     *
     * @param from peer address of the sender
     * @param message what it says
     */
    record Loans(String from, LoanMessage message) implements PeerMessage {}

    /**
     * About a cell and its jobs.
     *
     * @param from peer address of the sender
     * @param cell number of the cell
     * @param message what it says
     */
    record Cell(String from, int cell, CellMessage message) implements PeerMessage {}

    /**
     * What one VM has to say to another at one moment about several cells or jobs.
     *
     * @param messages in the order in which they were said
     */
    record Batch(List<Cell> messages) implements PeerMessage {}

    /**
     * Hands a submission over; the answer comes back on the same connection.
     *
     * @param forwardId names the forward within the sender
     * @param submission the submission
     * @param hops how often it was forwarded
     */
    record Forward(long forwardId, Submission submission, int hops) implements PeerMessage {}

    /**
     * Answers a forwarded submission.
     *
     * @param forwardId the forward
     * @param answer the answer
     */
    record ForwardAnswer(long forwardId, Answer answer) implements PeerMessage {}

    /**
     * Passes a cancellation on.
     *
     * @param id the submission
     * @param hops how often it was forwarded
     */
    record Cancel(SubmissionId id, int hops) implements PeerMessage {}

    /**
     * Tells which version of the bundle the sender has in force; a receiver with a newer one
     * answers with {@link BundleIs} on the same connection.
     *
     * @param version the version, 0 for none
     */
    record BundleVersion(long version) implements PeerMessage {}

    /**
     * Gives the bundle that the sender has in force.
     *
     * @param bundle the bundle
     */
    record BundleIs(Bundle bundle) implements PeerMessage {}

    /**
     * Asks for the state of a submission.
     *
     * @param questionId names the question within the sender
     * @param id the submission
     */
    record Ask(long questionId, SubmissionId id) implements PeerMessage {}

    /**
     * Tells the state of a submission.
     *
     * @param questionId the question
     * @param known whether the sender holds it
     * @param answer its answer, if it has one
     */
    record Told(long questionId, boolean known, Optional<Answer> answer) implements PeerMessage {}

    /** Asks for a {@link Pong} on the same connection. */
    record Ping() implements PeerMessage {}

    /** Shows that the connection still works. */
    record Pong() implements PeerMessage {}
}
