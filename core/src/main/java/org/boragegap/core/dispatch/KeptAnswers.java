package org.boragegap.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.boragegap.core.job.SubmissionId;

/** Which answered submissions are still kept, so that a resubmission gets the same answer. */
final class KeptAnswers {
    private record Kept(long untilMs, SubmissionId id) {}

    private final long mKeepMs;
    private final Deque<Kept> mKept = new ArrayDeque<>();

    KeptAnswers(long keepMs) {
        mKeepMs = keepMs;
    }

    void add(SubmissionId id, long nowMs) {
        mKept.add(new Kept(nowMs + mKeepMs, id));
    }

    /** Submissions whose answer is no longer kept; each is told once. */
    List<SubmissionId> expired(long nowMs) {
        List<SubmissionId> ids = new ArrayList<>();
        while (!mKept.isEmpty() && mKept.peek().untilMs() <= nowMs) {
            ids.add(mKept.poll().id());
        }
        return ids;
    }
}
