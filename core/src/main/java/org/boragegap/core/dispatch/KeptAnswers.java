package org.boragegap.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.boragegap.core.job.SubmissionId;

/** Which answered submissions are still kept, so that a resubmission gets the same answer. */
final class KeptAnswers {
    private record Entry(long untilMs, SubmissionId id) {}

    private final long mKeepMs;
    private final Deque<Entry> mEntries = new ArrayDeque<>();

    KeptAnswers(long keepMs) {
        mKeepMs = keepMs;
    }

    void add(SubmissionId id, long nowMs) {
        mEntries.add(new Entry(nowMs + mKeepMs, id));
    }

    /** Submissions whose answer is no longer kept; each is told once. */
    List<SubmissionId> expired(long nowMs) {
        List<SubmissionId> ids = new ArrayList<>();
        while (!mEntries.isEmpty() && mEntries.peek().untilMs() <= nowMs) {
            ids.add(mEntries.poll().id());
        }
        return ids;
    }
}
