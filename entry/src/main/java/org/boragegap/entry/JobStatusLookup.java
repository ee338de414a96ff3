package org.boragegap.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.boragegap.core.dispatch.Dispatcher;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.wire.PeerMessage;
import org.boragegap.wire.PeerTransport;

/**
 * Looks up the state of a submission: first in the dispatcher here, and if it is not known there,
 * on the entry VMs that may hold it.
 */
final class JobStatusLookup {
    private static final long REPLY_TIMEOUT_MS = 1_000;

    /** A question sent to several peers; it ends with the first that knows the submission. */
    private static final class Question {
        private final Consumer<JobStatus> mCallback;
        private final AtomicInteger mRepliesPending;

        private Question(Consumer<JobStatus> callback, int peersAsked) {
            mCallback = callback;
            mRepliesPending = new AtomicInteger(peersAsked);
        }
    }

    private final ScheduledExecutorService mTimer;
    private final Map<Long, Question> mQuestions = new ConcurrentHashMap<>();
    private final AtomicLong mNextQuestionId = new AtomicLong(1);
    private ControlLoop mLoop;
    private PeerTransport mPeers;

    JobStatusLookup(ScheduledExecutorService timer) {
        mTimer = timer;
    }

    void connect(ControlLoop loop, PeerTransport peers) {
        mLoop = loop;
        mPeers = peers;
    }

    void find(SubmissionId id, Consumer<JobStatus> callback) {
        mLoop.query(dispatcher -> localStatus(dispatcher, id))
                .thenAccept(
                        status -> {
                            if (status.known()) {
                                callback.accept(status);
                            } else {
                                findHolders(id, callback);
                            }
                        });
    }

    private static JobStatus localStatus(Dispatcher dispatcher, SubmissionId id) {
        return new JobStatus(dispatcher.knows(id), dispatcher.answerTo(id));
    }

    private void findHolders(SubmissionId id, Consumer<JobStatus> callback) {
        mLoop.query(dispatcher -> dispatcher.likelyHolders(id))
                .thenAccept(holders -> askPeers(id, holders, callback));
    }

    private void askPeers(SubmissionId id, Set<String> holders, Consumer<JobStatus> callback) {
        if (holders.isEmpty()) {
            callback.accept(JobStatus.UNKNOWN);
            return;
        }
        long questionId = mNextQuestionId.getAndIncrement();
        mQuestions.put(questionId, new Question(callback, holders.size()));
        for (String address : holders) {
            mPeers.send(address, new PeerMessage.Ask(questionId, id));
        }
        mTimer.schedule(
                () -> complete(questionId, JobStatus.UNKNOWN),
                REPLY_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    void onAsked(long link, PeerMessage.Ask ask) {
        mLoop.query(dispatcher -> localStatus(dispatcher, ask.id()))
                .thenAccept(
                        status ->
                                mPeers.reply(
                                        link,
                                        new PeerMessage.Told(
                                                ask.questionId(),
                                                status.known(),
                                                status.answer())));
    }

    void onTold(PeerMessage.Told told) {
        Question question = mQuestions.get(told.questionId());
        if (question == null) {
            return;
        }
        if (told.known()) {
            complete(told.questionId(), new JobStatus(true, told.answer()));
        } else if (question.mRepliesPending.decrementAndGet() == 0) {
            complete(told.questionId(), JobStatus.UNKNOWN);
        }
    }

    private void complete(long questionId, JobStatus status) {
        Question question = mQuestions.remove(questionId);
        if (question != null) {
            question.mCallback.accept(status);
        }
    }
}
