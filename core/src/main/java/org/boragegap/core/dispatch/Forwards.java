package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragegap.core.job.Submission;

/** Submissions that were forwarded to other entry VMs and not answered yet. */
final class Forwards {

    static final class Forward {
        private final Submission mSubmission;
        private final String mAddress;
        private final int mHops;
        private final List<CallerRef> mCallers;

        private Forward(Submission submission, String address, int hops, List<CallerRef> callers) {
            mSubmission = submission;
            mAddress = address;
            mHops = hops;
            mCallers = new ArrayList<>(callers);
        }

        Submission submission() {
            return mSubmission;
        }

        String address() {
            return mAddress;
        }

        int hops() {
            return mHops;
        }

        List<CallerRef> callers() {
            return mCallers;
        }
    }

    private final Map<Long, Forward> mById = new HashMap<>();
    private final Map<String, Long> mBySubmission = new HashMap<>();
    private long mNextId = 1;

    long add(Submission submission, String address, int hops, List<CallerRef> callers) {
        long id = mNextId++;
        mById.put(id, new Forward(submission, address, hops, callers));
        mBySubmission.put(submission.id().text(), id);
        return id;
    }

    Optional<Forward> find(Submission submission) {
        Long id = mBySubmission.get(submission.id().text());
        return Optional.ofNullable(id).map(mById::get);
    }

    /** Removes a forward; empty if it is not known, as after a second answer. */
    Optional<Forward> remove(long id) {
        Forward forward = mById.remove(id);
        if (forward != null) {
            mBySubmission.remove(forward.submission().id().text(), id);
        }
        return Optional.ofNullable(forward);
    }

    int size() {
        return mById.size();
    }

    /** Forwards whose deadline passed at least {@link #DEADLINE_GRACE_MS} ago. */
    List<Long> expired(long wallMs) {
        List<Long> ids = new ArrayList<>();
        for (Map.Entry<Long, Forward> entry : mById.entrySet()) {
            if (entry.getValue().submission().deadlineMs() + DEADLINE_GRACE_MS <= wallMs) {
                ids.add(entry.getKey());
            }
        }
        return ids;
    }

    /** The holder itself answers at the deadline; this covers a holder that doesn't. */
    private static final long DEADLINE_GRACE_MS = 500;
}
