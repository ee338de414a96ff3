package org.boragegap.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.TaskSpec;

/** A submission that this VM alone may start, from its claim until its kept answer expires. */
final class Job {
    private final Submission mSubmission;
    private final double mWorkMs;
    private final long mSequence;
    private final Deque<TaskSpec> mQueued = new ArrayDeque<>();
    private final List<CallerRef> mCallers = new ArrayList<>();
    private final Set<Long> mAttempts = new HashSet<>();
    private final Map<Integer, Set<String>> mAvoidedTargets = new HashMap<>();
    private final String[] mResults;
    private int mMissingResults;
    private int mMayHaveRun;
    private Optional<Answer> mAnswer = Optional.empty();

    Job(Submission submission, double workMs, long sequence) {
        mSubmission = submission;
        mWorkMs = workMs;
        mSequence = sequence;
        mQueued.addAll(submission.tasks());
        mResults = new String[submission.tasks().size()];
        mMissingResults = mResults.length;
    }

    Submission submission() {
        return mSubmission;
    }

    /** Expected run time of all tasks, estimated when the submission was accepted. */
    double workMs() {
        return mWorkMs;
    }

    /** Expected run time of the tasks that are not started yet. */
    double remainingMs() {
        return mWorkMs * mQueued.size() / mResults.length;
    }

    long sequence() {
        return mSequence;
    }

    Optional<Answer> answer() {
        return mAnswer;
    }

    Optional<TaskSpec> nextTask() {
        return mAnswer.isPresent() ? Optional.empty() : Optional.ofNullable(mQueued.peek());
    }

    int queuedTasks() {
        return mAnswer.isPresent() ? 0 : mQueued.size();
    }

    boolean mayHaveRun() {
        return mMayHaveRun > 0;
    }

    List<CallerRef> takeCallers() {
        List<CallerRef> callers = List.copyOf(mCallers);
        mCallers.clear();
        return callers;
    }

    void addCaller(CallerRef caller) {
        mCallers.add(caller);
    }

    Set<Long> attempts() {
        return mAttempts;
    }

    /**
     * Targets that refused the task or lost an attempt of it; the task isn't sent to them again.
     */
    Set<String> avoidedTargets(TaskSpec task) {
        return mAvoidedTargets.getOrDefault(task.index(), Set.of());
    }

    void avoid(TaskSpec task, String address) {
        mAvoidedTargets.computeIfAbsent(task.index(), index -> new HashSet<>()).add(address);
    }

    void started(TaskSpec task, long attempt) {
        mQueued.remove(task);
        mAttempts.add(attempt);
        mMayHaveRun++;
    }

    /** Records that an attempt ended and certainly did not run. */
    void notRun(long attempt) {
        mAttempts.remove(attempt);
        mMayHaveRun--;
    }

    void ended(long attempt) {
        mAttempts.remove(attempt);
    }

    void requeue(TaskSpec task) {
        mQueued.addFirst(task);
    }

    void addResult(TaskSpec task, String result) {
        mResults[task.index()] = result;
        mMissingResults--;
    }

    boolean hasAllResults() {
        return mMissingResults == 0;
    }

    Answer completeAnswer() {
        return new Answer.Complete(List.copyOf(Arrays.asList(mResults)));
    }

    /** Sets the answer; has no effect if there is one already. */
    void answer(Answer answer) {
        if (mAnswer.isEmpty()) {
            mAnswer = Optional.of(answer);
            mQueued.clear();
            mAvoidedTargets.clear();
        }
    }
}
