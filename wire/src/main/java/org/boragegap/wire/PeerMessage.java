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

/** A message between two entry VMs, sent as one frame. */
public sealed interface PeerMessage {

    /**
     * A message about claims and views.
     *
     * @param from the sender
     * @param message the content
     */
    record Claims(Member from, ClaimMessage message) implements PeerMessage {}

    /**
     * A message about loans of capacity on targets.
     *
     * @param from peer address of the sender
     * @param message the content
     */
    record Loans(String from, LoanMessage message) implements PeerMessage {}

    /**
     * A message about a cell and its jobs.
     *
     * @param from peer address of the sender
     * @param cell number of the cell
     * @param message the content
     */
    record Cell(String from, int cell, CellMessage message) implements PeerMessage {}

    /**
     * Several messages about cells that one VM sends to another at the same time.
     *
     * @param messages the messages, in the order in which they were sent
     */
    record Batch(List<Cell> messages) implements PeerMessage {}

    /**
     * Forwards a submission; the answer is sent back on the same connection.
     *
     * @param forwardId id of the forward, unique within the sender
     * @param submission the submission
     * @param hops number of times it was forwarded
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
     * Forwards a cancellation.
     *
     * @param id the submission
     * @param hops number of times it was forwarded
     */
    record Cancel(SubmissionId id, int hops) implements PeerMessage {}

    /**
     * States which version of the bundle is active at the sender; a receiver with a newer one
     * answers with {@link BundleIs} on the same connection.
     *
     * @param version the version, 0 for none
     */
    record BundleVersion(long version) implements PeerMessage {}

    /**
     * Contains the bundle that is active at the sender.
     *
     * @param bundle the bundle
     */
    record BundleIs(Bundle bundle) implements PeerMessage {}

    /**
     * Requests the state of a submission.
     *
     * @param questionId id of the request, unique within the sender
     * @param id the submission
     */
    record Ask(long questionId, SubmissionId id) implements PeerMessage {}

    /**
     * Reports the state of a submission, in response to {@link Ask}.
     *
     * @param questionId id of the request
     * @param known whether the sender holds it
     * @param answer its answer, if it has one
     */
    record Told(long questionId, boolean known, Optional<Answer> answer) implements PeerMessage {}

    /** Requests a {@link Pong} on the same connection. */
    record Ping() implements PeerMessage {}

    /** Confirms that the connection works. */
    record Pong() implements PeerMessage {}
}
