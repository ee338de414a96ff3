package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

/** Records the events of targets and callers, and every violation of an invariant. */
final class InvariantChecker {
    /**
     * How long start orders may still arrive at a draining target, in ms: the platform's 2,000 ms
     * for a sender in touch, and the 3,000 ms after which one counts as in touch again.
     */
    private static final long DRAIN_LIMIT_MS = 5_000;

    private final Map<TaskName, Set<String>> mRunning = new HashMap<>();
    private final Set<TaskName> mDone = new HashSet<>();
    private final Set<String> mStartedJobs = new HashSet<>();
    private final Map<String, Integer> mSubmissions = new HashMap<>();
    private final Map<String, Integer> mRefusals = new HashMap<>();
    private final Set<String> mCompletedJobs = new HashSet<>();
    private final Map<TaskName, Integer> mFailedRuns = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private final Map<String, Integer> mVerdicts = new TreeMap<>();
    private final List<String> mFalseRefusals = new ArrayList<>();
    private final Map<String, Long> mEvacuatedMs = new HashMap<>();
    private final Map<String, Long> mDrainingMs = new HashMap<>();
    private long mEvacuationLimitMs = Long.MAX_VALUE;
    private long mNowMs;

    void setNow(long nowMs) {
        mNowMs = nowMs;
    }

    void started(TaskName task, String target, int usedCpu, int capacityCpu) {
        mStartedJobs.add(task.job());
        Set<String> targets = mRunning.computeIfAbsent(task, name -> new HashSet<>());
        if (!targets.isEmpty()) {
            reportViolation(
                    "ran twice at the same time: "
                            + task.text()
                            + " on "
                            + target
                            + " and "
                            + targets);
        }
        targets.add(target);
        if (usedCpu > capacityCpu) {
            reportViolation("over capacity: " + target + " uses " + usedCpu + " of " + capacityCpu);
        }
    }

    /**
     * Sets how long start orders may still arrive in a domain after its evacuation was requested,
     * in ms.
     */
    void evacuateWithin(long ms) {
        mEvacuationLimitMs = ms;
    }

    void evacuated(String domain) {
        mEvacuatedMs.put(domain, mNowMs);
    }

    void evacuationCancelled(String domain) {
        mEvacuatedMs.remove(domain);
    }

    void draining(String target) {
        mDrainingMs.put(target, mNowMs);
    }

    /** Checks a start order that arrived without an injected delay. */
    void startArrived(TaskName task, TargetInfo target) {
        Long sinceMs = mEvacuatedMs.get(target.failureDomain());
        if (sinceMs != null && mNowMs - sinceMs > mEvacuationLimitMs) {
            reportViolation(
                    "started in an evacuated domain: " + task.text() + " on " + target.id());
        }
        Long drainingMs = mDrainingMs.get(target.id());
        if (target.draining() && drainingMs != null && mNowMs - drainingMs > DRAIN_LIMIT_MS) {
            reportViolation("started on a draining target: " + task.text() + " on " + target.id());
        }
    }

    void ended(TaskName task, String target, EndCause cause) {
        mRunning.get(task).remove(target);
        if (cause.done()) {
            mDone.add(task);
        }
        if (cause.countsAsAttempt()) {
            mFailedRuns.merge(task, 1, Integer::sum);
        }
    }

    void submitted(String job) {
        mSubmissions.merge(job, 1, Integer::sum);
    }

    void answered(JobRequest request, Verdict verdict) {
        String job = request.id();
        mVerdicts.merge(verdict.getClass().getSimpleName(), 1, Integer::sum);
        if (verdict instanceof Verdict.Declined) {
            mRefusals.merge(job, 1, Integer::sum);
            checkRefusal(job);
        } else if (verdict instanceof Verdict.Completed) {
            mCompletedJobs.add(job);
            completed(request);
        } else if (verdict instanceof Verdict.Failed failed) {
            failed(request, failed.reason());
        }
    }

    private void checkRefusal(String job) {
        if (mStartedJobs.contains(job)) {
            mFalseRefusals.add(mNowMs + " ms: refused after a task had started: " + job);
        }
    }

    private void completed(JobRequest request) {
        for (TaskName task : tasks(request)) {
            if (!mDone.contains(task)) {
                reportViolation("job completed although a task is not done: " + task.text());
            }
        }
    }

    private void failed(JobRequest request, String reason) {
        if (tasks(request).stream().noneMatch(task -> hasFailed(task, request.maxAttempts()))) {
            reportViolation("job failed although no task did: " + request.id() + ", " + reason);
        }
    }

    private boolean hasFailed(TaskName task, int maxAttempts) {
        return mFailedRuns.getOrDefault(task, 0) >= maxAttempts;
    }

    private static List<TaskName> tasks(JobRequest request) {
        return IntStream.range(0, request.steps().get(0).count())
                .mapToObj(index -> new TaskName(request.id(), 0, 0, index))
                .toList();
    }

    /** Checks the refused jobs; called at the end of a history. */
    void close() {
        mRefusals.forEach(
                (job, refusals) -> {
                    if (refusals.equals(mSubmissions.get(job)) && mStartedJobs.contains(job)) {
                        reportViolation("job refused although a task started: " + job);
                    }
                });
    }

    private void reportViolation(String violation) {
        mViolations.add(mNowMs + " ms: " + violation);
    }

    List<String> violations() {
        return mViolations;
    }

    /** Refusals of jobs of which a task had started when the caller was told. */
    List<String> falseRefusals() {
        return mFalseRefusals;
    }

    /** Number of answers to callers, by kind of verdict. */
    Map<String, Integer> verdicts() {
        return mVerdicts;
    }

    int completedJobs() {
        return mCompletedJobs.size();
    }
}
