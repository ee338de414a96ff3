package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Watches targets and callers, and notes each broken promise. */
final class CellOracle {
    private final Map<TaskName, Set<String>> mRunning = new HashMap<>();
    private final Set<TaskName> mDone = new HashSet<>();
    private final Set<String> mStartedJobs = new HashSet<>();
    private final Map<String, Integer> mAttempts = new HashMap<>();
    private final Map<String, Integer> mRefusals = new HashMap<>();
    private final Set<String> mFinished = new HashSet<>();
    private final List<String> mBroken = new ArrayList<>();
    private long mNowMs;

    void at(long nowMs) {
        mNowMs = nowMs;
    }

    void started(TaskName task, TargetInfo target, int usedCpu) {
        mStartedJobs.add(task.job());
        Set<String> where = mRunning.computeIfAbsent(task, name -> new HashSet<>());
        if (!where.isEmpty()) {
            broken("twice at a time: " + task.text() + " on " + target.id() + " and " + where);
        }
        where.add(target.id());
        if (usedCpu > target.cpuMillis()) {
            broken("over its room: " + target.id() + " uses " + usedCpu);
        }
    }

    void ended(TaskName task, String target, EndCause cause) {
        mRunning.get(task).remove(target);
        if (cause.done()) {
            mDone.add(task);
        }
    }

    void handedIn(String job) {
        mAttempts.merge(job, 1, Integer::sum);
    }

    void answered(JobRequest request, Verdict verdict) {
        String job = request.id();
        if (verdict instanceof Verdict.Declined) {
            mRefusals.merge(job, 1, Integer::sum);
        } else if (verdict instanceof Verdict.Completed) {
            mFinished.add(job);
            completed(request);
        }
    }

    private void completed(JobRequest request) {
        for (int index = 0; index < request.steps().get(0).count(); index++) {
            TaskName task = new TaskName(request.id(), 0, 0, index);
            if (!mDone.contains(task)) {
                broken("completed, and not done: " + task.text());
            }
        }
    }

    /** To be called when all is over. */
    void close() {
        mRefusals.forEach(
                (job, refusals) -> {
                    if (refusals.equals(mAttempts.get(job)) && mStartedJobs.contains(job)) {
                        broken("refused, and a task has started: " + job);
                    }
                });
    }

    private void broken(String what) {
        mBroken.add(mNowMs + " ms: " + what);
    }

    List<String> broken() {
        return mBroken;
    }

    int finished() {
        return mFinished.size();
    }
}
