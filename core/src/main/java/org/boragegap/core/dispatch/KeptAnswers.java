package org.boragegap.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.boragegap.core.job.SubmissionId;

/**
 * The answered submissions whose answers are still kept, so that a resubmission gets the same
 * answer.
 */
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

    /** Removes and returns the submissions whose answers are no longer kept. */
    List<SubmissionId> expired(long nowMs) {
        List<SubmissionId> ids = new ArrayList<>();
        while (!mEntries.isEmpty() && mEntries.peek().untilMs() <= nowMs) {
            ids.add(mEntries.poll().id());
        }
        return ids;
    }
}
