package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.boragegap.core.ClockReading;
import org.boragegap.core.bundle.BundleContent;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.FailureKind;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.job.TaskSpec;
import org.boragegap.core.limit.RetryAfter;
import org.boragegap.core.limit.TeamQuota;
import org.boragegap.core.placement.KindStatistics;
import org.boragegap.core.placement.LoanAction;
import org.boragegap.core.placement.LoanMessage;
import org.boragegap.core.placement.Placer;
import org.boragegap.core.placement.Target;
import org.boragegap.core.placement.TargetPool;
import org.boragegap.core.retry.RetryBudget;

/**
 * Schedules the jobs that this VM alone may start, and keeps their queue, attempts, results and
 * answers.
 */
final class JobScheduler {
    private static final int BACKFILL_LIMIT = 4;
    private static final int MAX_REFUSALS = 5;
    private static final long MIN_RESULT_TIMEOUT_MS = 1_000;
    private static final double RESULT_TIMEOUT_FACTOR = 5;

    private record Attempt(Job job, TaskSpec task, Placer.Allocation allocation) {}

    private record Deadline(long wallMs, Job job) {}

    private final DispatchSettings mSettings;
    private final Supplier<BundleContent> mBundle;
    private final Supplier<Set<String>> mSiblings;
    private final Counters mCounters;
    private final Consumer<SubmissionId> mOnNotRun;
    private final KindStatistics mStatistics = new KindStatistics();
    private final RetryBudget mRetryBudget;
    private final Placer mPlacer;
    private final Backlog mBacklog = new Backlog();
    private final Admission mAdmission;
    private final WorkQueue mQueue;
    private final Map<String, Job> mJobs = new HashMap<>();
    private final Map<Long, Attempt> mAttempts = new HashMap<>();
    private final Map<String, Integer> mRunningByTeam = new HashMap<>();
    private final PriorityQueue<Deadline> mDeadlines =
            new PriorityQueue<>(Comparator.comparingLong(Deadline::wallMs));
    private final KeptAnswers mKeptAnswers;
    private long mNextAttempt = 1;
    private long mNextSequence = 1;
    private int mUnanswered;

    JobScheduler(
            long incarnation,
            DispatchSettings settings,
            TargetPool targets,
            Supplier<BundleContent> bundle,
            Supplier<Set<String>> siblings,
            Counters counters,
            Consumer<SubmissionId> onNothingRun) {
        mOnNotRun = onNothingRun;
        mSettings = settings;
        mKeptAnswers = new KeptAnswers(settings.answerKeepMs());
        mBundle = bundle;
        mSiblings = siblings;
        mPlacer = Placer.create(targets, incarnation);
        mCounters = counters;
        mAdmission = new Admission(settings, targets, bundle, siblings, mBacklog, mStatistics);
        mRetryBudget =
                RetryBudget.create(settings.retriesPerFirstTry(), settings.maxSavedRetries());
        mQueue = new WorkQueue(settings.order(), this::urgent);
    }

    private boolean urgent(Job job) {
        return mBundle.get().kindRule(job.submission().kind()).urgent();
    }

    Optional<Job> find(SubmissionId id) {
        return Optional.ofNullable(mJobs.get(id.text()));
    }

    int unanswered() {
        return mUnanswered;
    }

    int queuedTasks() {
        return mBacklog.tasks();
    }

    int runningAttempts() {
        return mAttempts.size();
    }

    int lentSlots() {
        return mPlacer.lentSlots();
    }

    int jobsKept() {
        return mJobs.size();
    }

    Map<String, Integer> runningByTeam() {
        return Collections.unmodifiableSortedMap(new TreeMap<>(mRunningByTeam));
    }

    /** The answer to a submission that is rejected, if it is; nothing of it was run then. */
    Optional<Answer.Failed> rejection(Submission submission, ClockReading clock) {
        return mAdmission.rejection(submission, clock);
    }

    static String serviceOf(Submission submission) {
        return submission.service().orElse(Target.WORKERS);
    }

    /** Adds a submission that this VM alone may start, and accepts its callers. */
    void add(Submission submission, List<CallerRef> callers, List<Action> out) {
        double workMs = 0;
        for (TaskSpec task : submission.tasks()) {
            workMs += mStatistics.estimatedMs(submission.kind(), task);
        }
        Job job = new Job(submission, workMs, mNextSequence++);
        mJobs.put(submission.id().text(), job);
        mUnanswered++;
        mBacklog.add(serviceOf(submission), job.queuedTasks(), workMs);
        mDeadlines.add(new Deadline(submission.deadlineMs(), job));
        mQueue.add(job);
        for (CallerRef caller : callers) {
            out.add(new Action.Accept(caller, submission.id()));
            job.addCaller(caller);
        }
    }

    /** Adds a caller to a known job, or answers the caller if the job is already answered. */
    void attachCaller(Job job, CallerRef caller, List<Action> out) {
        out.add(new Action.Accept(caller, job.submission().id()));
        if (job.answer().isPresent()) {
            out.add(new Action.Reply(caller, job.submission().id(), job.answer().get()));
        } else {
            job.addCaller(caller);
        }
    }

    /** Starts queued tasks until none of the jobs at the front of the queues can start one. */
    void startQueuedTasks(ClockReading clock, List<Action> out) {
        mPlacer.beginRound();
        boolean started = true;
        while (started && mBacklog.tasks() > 0) {
            started = false;
            for (Job first : mQueue.firstJobs()) {
                if (startFirstFitting(first, clock, out)) {
                    started = true;
                    break;
                }
            }
        }
        List<LoanAction> loans = new ArrayList<>();
        mPlacer.endRound(mSiblings.get(), mBacklog.tasksByService(), clock.monotonicMs(), loans);
        sendLoanMessages(loans, out);
    }

    private void sendLoanMessages(List<LoanAction> loans, List<Action> out) {
        for (LoanAction loan : loans) {
            mCounters.increment(Counters.Name.LOAN_MESSAGES);
            out.add(new Action.SendLoanMessage(loan.address(), loan.message()));
        }
    }

    /** Handles a sibling's message about loans of slots on targets. */
    void onLoanMessage(String from, LoanMessage message, ClockReading clock, List<Action> out) {
        List<LoanAction> loans = new ArrayList<>();
        mPlacer.onMessage(from, message, clock.monotonicMs(), loans);
        sendLoanMessages(loans, out);
    }

    /**
     * Starts a task of the first job or, if that job's next task can't be placed now, of one of the
     * jobs behind it, so that a large task doesn't block smaller ones.
     */
    private boolean startFirstFitting(Job first, ClockReading clock, List<Action> out) {
        if (!withinQuota(first)) {
            return false;
        }
        if (start(first, clock, out)) {
            return true;
        }
        for (Job next : mQueue.backfillCandidates(first, BACKFILL_LIMIT)) {
            if (start(next, clock, out)) {
                return true;
            }
        }
        return false;
    }

    private boolean withinQuota(Job job) {
        String team = job.submission().team();
        TeamQuota quota = mBundle.get().teamQuota(team);
        int share = quota.sharePerVm(1 + mSiblings.get().size());
        return mRunningByTeam.getOrDefault(team, 0) < share;
    }

    private boolean start(Job job, ClockReading clock, List<Action> out) {
        Optional<TaskSpec> next = job.nextTask();
        if (next.isEmpty()) {
            return false;
        }
        TaskSpec task = next.get();
        Submission submission = job.submission();
        Resources need = mStatistics.estimatedNeed(submission.kind(), task);
        Optional<Placer.Allocation> allocation =
                mPlacer.place(
                        serviceOf(submission), need, job.avoidedTargets(task), clock.monotonicMs());
        if (allocation.isEmpty()) {
            return false;
        }
        startAttempt(job, task, allocation.get(), clock, out);
        return true;
    }

    private void startAttempt(
            Job job,
            TaskSpec task,
            Placer.Allocation allocation,
            ClockReading clock,
            List<Action> out) {
        long id = mNextAttempt++;
        Submission submission = job.submission();
        double workMs = mStatistics.estimatedMs(submission.kind(), task);
        mBacklog.remove(serviceOf(submission), 1, workMs);
        job.started(task, id);
        mAttempts.put(id, new Attempt(job, task, allocation));
        mRunningByTeam.merge(submission.team(), 1, Integer::sum);
        mQueue.charge(job, workMs, mBundle.get().teamQuota(submission.team()).weight());
        if (job.avoidedTargets(task).isEmpty()) {
            mRetryBudget.onFirstAttempt();
        }
        mCounters.increment(Counters.Name.STARTS);
        long startByMs = clock.monotonicMs() + mSettings.startGraceMs();
        long timeoutMs = timeoutMs(submission, workMs, clock);
        out.add(
                new Action.Start(
                        id, allocation.target().target(), submission, task, startByMs, timeoutMs));
    }

    /**
     * How long to wait for a result: up to the deadline, but less for a request that may be sent
     * again, so that an unresponsive connection costs it only one short wait.
     */
    private static long timeoutMs(Submission submission, double workMs, ClockReading clock) {
        long remainingMs = Math.max(1, submission.deadlineMs() - clock.wallMs());
        if (submission.service().isEmpty() || !submission.idempotent()) {
            return remainingMs;
        }
        long resultTimeoutMs =
                Math.max(MIN_RESULT_TIMEOUT_MS, (long) (RESULT_TIMEOUT_FACTOR * workMs));
        return Math.min(remainingMs, resultTimeoutMs);
    }

    /** Handles the end of an attempt; an unknown attempt is only counted as a late result. */
    void onAttemptEnded(long id, Outcome outcome, ClockReading clock, List<Action> out) {
        Attempt attempt = mAttempts.remove(id);
        if (attempt == null) {
            mCounters.increment(Counters.Name.LATE_RESULTS);
            return;
        }
        Job job = attempt.job();
        mPlacer.onEnded(attempt.allocation(), outcome, clock.monotonicMs());
        mRunningByTeam.merge(job.submission().team(), -1, Integer::sum);
        if (outcome instanceof Outcome.NotRun) {
            job.notRun(id);
        } else {
            job.ended(id);
        }
        if (outcome instanceof Outcome.Succeeded done) {
            onSucceeded(job, attempt.task(), done, clock, out);
        } else if (outcome instanceof Outcome.Failed failed) {
            finish(job, failed(FailureKind.FAILED, attempt, failed.reason()), clock, out);
        } else if (outcome instanceof Outcome.NotRun refused) {
            onRefused(attempt, refused, clock, out);
        } else if (outcome instanceof Outcome.Lost lost) {
            onLost(attempt, lost, clock, out);
        }
    }

    private static Answer failed(FailureKind kind, Attempt attempt, String reason) {
        return new Answer.Failed(kind, "task " + attempt.task().index() + ": " + reason, 0);
    }

    private void onSucceeded(
            Job job, TaskSpec task, Outcome.Succeeded done, ClockReading clock, List<Action> out) {
        mStatistics.add(job.submission().kind(), done.tookMs(), done.used());
        job.addResult(task, done.result());
        if (job.hasAllResults()) {
            finish(job, job.completeAnswer(), clock, out);
        }
    }

    /** Nothing was run, so the task may be sent to another target even if it isn't idempotent. */
    private void onRefused(
            Attempt attempt, Outcome.NotRun refused, ClockReading clock, List<Action> out) {
        mCounters.increment(Counters.Name.REFUSED_STARTS);
        Job job = attempt.job();
        if (job.answer().isPresent()) {
            return;
        }
        job.avoid(attempt.task(), attempt.allocation().target().target().address());
        if (job.avoidedTargets(attempt.task()).size() >= MAX_REFUSALS) {
            String reason = "refused by " + MAX_REFUSALS + " targets, last: " + refused.reason();
            finish(job, abandonedAnswer(job, reason, clock), clock, out);
            return;
        }
        requeue(job, attempt.task());
    }

    private void requeue(Job job, TaskSpec task) {
        job.requeue(task);
        double workMs = mStatistics.estimatedMs(job.submission().kind(), task);
        mBacklog.add(serviceOf(job.submission()), 1, workMs);
        mQueue.requeue(job);
    }

    /**
     * Handles an attempt that may have run. Only an idempotent request to a minion is sent again.
     */
    private void onLost(Attempt attempt, Outcome.Lost lost, ClockReading clock, List<Action> out) {
        mCounters.increment(Counters.Name.LOST_STARTS);
        Job job = attempt.job();
        Submission submission = job.submission();
        boolean repeatable = submission.service().isPresent() && submission.idempotent();
        if (repeatable && job.answer().isEmpty() && mRetryBudget.trySpend()) {
            mCounters.increment(Counters.Name.RETRIES);
            job.avoid(attempt.task(), attempt.allocation().target().target().address());
            requeue(job, attempt.task());
            return;
        }
        finish(job, failed(FailureKind.MAY_HAVE_RUN, attempt, lost.reason()), clock, out);
    }

    private Answer abandonedAnswer(Job job, String reason, ClockReading clock) {
        long spread = job.submission().id().claimKey().low();
        double waitMs = mAdmission.expectedWaitMs(serviceOf(job.submission()), clock);
        FailureKind kind = job.mayHaveRun() ? FailureKind.MAY_HAVE_RUN : FailureKind.NOT_RUN;
        return new Answer.Failed(kind, reason, RetryAfter.delayMs(waitMs, spread));
    }

    private void finish(Job job, Answer answer, ClockReading clock, List<Action> out) {
        if (job.answer().isPresent()) {
            return;
        }
        SubmissionId id = job.submission().id();
        int queuedTasks = job.queuedTasks();
        double queuedMs = job.workMs() * queuedTasks / job.submission().tasks().size();
        mBacklog.remove(serviceOf(job.submission()), queuedTasks, queuedMs);
        job.answer(answer);
        mUnanswered--;
        for (long attempt : job.attempts()) {
            out.add(
                    new Action.Stop(
                            attempt, mAttempts.get(attempt).allocation().target().target()));
        }
        for (CallerRef caller : job.takeCallers()) {
            out.add(new Action.Reply(caller, id, answer));
        }
        mCounters.increment(counterOf(answer));
        if (answer instanceof Answer.Failed failed && failed.kind() == FailureKind.NOT_RUN) {
            // Nothing ran, so a resubmission may run, here or on another VM.
            mJobs.remove(id.text());
            mOnNotRun.accept(id);
            return;
        }
        mKeptAnswers.add(id, clock.monotonicMs());
    }

    static Counters.Name counterOf(Answer answer) {
        if (!(answer instanceof Answer.Failed failed)) {
            return Counters.Name.COMPLETE;
        }
        if (failed.kind().nothingRan()) {
            return Counters.Name.NOT_RUN;
        }
        return failed.kind() == FailureKind.MAY_HAVE_RUN
                ? Counters.Name.MAY_HAVE_RUN
                : Counters.Name.FAILED;
    }

    /** Cancels a job; has no effect if it is already answered. */
    void cancel(Job job, ClockReading clock, List<Action> out) {
        FailureKind kind = job.mayHaveRun() ? FailureKind.CANCELLED : FailureKind.NOT_RUN;
        finish(job, new Answer.Failed(kind, "cancelled by the caller", 0), clock, out);
    }

    void onTick(ClockReading clock, List<Action> out) {
        List<LoanAction> loans = new ArrayList<>();
        mPlacer.onTick(mSiblings.get(), clock.monotonicMs(), loans);
        sendLoanMessages(loans, out);
        while (!mDeadlines.isEmpty() && mDeadlines.peek().wallMs() <= clock.wallMs()) {
            Job job = mDeadlines.poll().job();
            finish(job, abandonedAnswer(job, "the deadline has passed", clock), clock, out);
        }
        for (SubmissionId id : mKeptAnswers.expired(clock.monotonicMs())) {
            mJobs.remove(id.text());
        }
    }

    /**
     * Fails all jobs that aren't answered yet, for a drain that timed out; returns their number.
     */
    int failAll(String reason, ClockReading clock, List<Action> out) {
        List<Job> unanswered = new ArrayList<>();
        for (Job job : mJobs.values()) {
            if (job.answer().isEmpty()) {
                unanswered.add(job);
            }
        }
        for (Job job : unanswered) {
            finish(job, abandonedAnswer(job, reason, clock), clock, out);
        }
        return unanswered.size();
    }
}
