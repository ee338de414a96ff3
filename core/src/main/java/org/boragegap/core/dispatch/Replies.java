package org.boragegap.core.dispatch;

import java.util.List;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.FailureKind;
import org.boragegap.core.job.Submission;
import org.boragegap.core.limit.RetryAfter;

/** Creates and counts the answers to submissions for which there is no job on this VM. */
final class Replies {
    private final Counters mCounters;

    Replies(Counters counters) {
        mCounters = counters;
    }

    void reply(CallerRef caller, Submission submission, Answer answer, List<Action> out) {
        mCounters.increment(JobScheduler.counterOf(answer));
        out.add(new Action.Reply(caller, submission.id(), answer));
    }

    void replyAll(List<CallerRef> callers, Submission submission, Answer answer, List<Action> out) {
        for (CallerRef caller : callers) {
            reply(caller, submission, answer, out);
        }
    }

    static Answer failed(FailureKind kind, String reason) {
        return new Answer.Failed(kind, reason, 0);
    }

    static Answer conflict() {
        return failed(FailureKind.CONFLICT, "the id was used with another body");
    }

    /** An answer to a submission that isn't known to have run, but may have. */
    static Answer mayHaveRun(Submission submission, String reason) {
        return mayHaveRun(submission, reason, 0);
    }

    /** The same where ids can be claimed again only after a wait. */
    static Answer mayHaveRun(Submission submission, String reason, long waitMs) {
        return retryableFailure(FailureKind.MAY_HAVE_RUN, submission, reason, waitMs);
    }

    static Answer notRun(Submission submission, String reason) {
        return retryableFailure(FailureKind.NOT_RUN, submission, reason, 0);
    }

    private static Answer retryableFailure(
            FailureKind kind, Submission submission, String reason, long waitMs) {
        long spread = submission.id().claimKey().low();
        return new Answer.Failed(kind, reason, RetryAfter.delayMs(waitMs, spread));
    }
}
