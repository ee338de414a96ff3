package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks each run from its start order until its end is known.
 *
 * <p>An unanswered start order may be carried out seconds later. Its task is not started elsewhere
 * until that is ruled out: the target is asked for a report at once, and a run that is not listed
 * is stopped, so that the target rejects its start from then on; otherwise the target's lease has
 * to expire.
 */
final class RunTracker {
    /**
     * How long a target is given no work after an order to it could not be sent, in ms; a few round
     * trips. This does not count as a failure of the target: healthy targets would be out of use
     * for seconds after a network partition has healed.
     */
    private static final long UNREACHABLE_BACKOFF_MS = 100;

    /**
     * How long foreign runs, whose job has not been offered, are left running, in ms. Entry VMs
     * offer their jobs again when they first hear of a new controller, within a heartbeat or two.
     */
    private static final long FOREIGN_GRACE_MS = 600;

    /** A run's end is logged if the run took more than this multiple of the expected time. */
    private static final double SLOW_RUN_LOG_FACTOR = 1.5;

    /** Number of run numbers to skip when a target reports that it has seen a higher one. */
    private static final int RUN_NUMBERS_TO_SKIP = 3;

    private final Term mTerm;
    private final RunTimeEstimator mRunTimes;
    private final TargetHealth mHealth;
    private final RunLog mLog;
    private final ForeignDoneTasks mForeignDone = new ForeignDoneTasks();
    private JobLifecycle mJobs;
    private LeaseManager mLeases;
    private final CrashDetector mCrashes;

    RunTracker(Term term, RunTimeEstimator runTimes, CrashDetector crashes) {
        mTerm = term;
        mRunTimes = runTimes;
        mCrashes = crashes;
        mHealth = new TargetHealth(term, runTimes);
        mLog = new RunLog(term);
    }

    /** Sets the collaborators with circular dependencies. Has to be called once, before use. */
    void connect(JobLifecycle jobs, LeaseManager leases) {
        mJobs = jobs;
        mLeases = leases;
    }

    /** Orders the start of a task. The caller logs it by {@link #logStarts}. */
    Run start(CellTask task, Target target) {
        int number = task.takeRunNumber();
        Run run = new Run(task, number, target, mTerm.nowMs(), Run.State.STARTING);
        task.assignRun(run);
        target.add(run);
        task.job().markMayHaveStarted();
        mTerm.recordStarted(task.job().id());
        mTerm.emit(startOrder(run, target));
        return run;
    }

    /** See {@link RunLog#started}. */
    void logStarts(CellJob job, List<Run> runs) {
        if (!runs.isEmpty()) {
            mLog.started(job, runs);
        }
    }

    private CellAction.StartRun startOrder(Run run, Target target) {
        long untilMs =
                target.leaseEndOnTargetClock(
                        mTerm.nowMs(), LeaseManager.LEASE_MS, mTerm.exclusiveUntilMs());
        target.leaseSent(untilMs);
        CellTask task = run.task();
        return new CellAction.StartRun(
                target.info(),
                task.name(),
                run.number(),
                task.job().request().spec(),
                target.fence(mTerm.fence()),
                untilMs,
                mTerm.fence());
    }

    void startAnswered(CellEvent.StartAnswered event) {
        mLeases.answering(event.target(), event.incarnation())
                .ifPresent(target -> startAnswered(target, event));
    }

    private void startAnswered(Target target, CellEvent.StartAnswered event) {
        if (event.result().answeredByTarget()) {
            mLeases.targetAnswered(target);
        }
        if (event.fence() == mTerm.fence()) {
            target.run(event.task(), event.run())
                    .ifPresent(run -> handleStartResult(run, event.result()));
        }
        if (event.result() == OrderResult.OTHER_INCARNATION) {
            mLeases.targetReplaced(target);
        }
    }

    private void handleStartResult(Run run, OrderResult result) {
        if (result == OrderResult.DONE) {
            run.target().roundTrips().add(mTerm.nowMs() - run.orderedMs());
        }
        applyStartResult(run, result);
    }

    private void applyStartResult(Run run, OrderResult result) {
        switch (result) {
            case DONE -> run.confirm(mTerm.nowMs());
            case UNKNOWN -> startUnanswered(run);
            case FENCED -> startFenced(run);
            case NOT_SENT, OLD_RUN, NOT_RUN, NO_ROOM, OTHER_INCARNATION -> startFailed(run, result);
            default -> throw new IllegalArgumentException("unknown order result: " + result);
        }
    }

    private void startFenced(Run run) {
        if (mLeases.fenced(run.target())) {
            startFailed(run, OrderResult.FENCED);
        }
    }

    /** Handles a start order without an answer: asks the target whether the task runs. */
    private void startUnanswered(Run run) {
        if (run.state() == Run.State.STARTING) {
            run.markUnconfirmed(mTerm.nowMs());
            run.target().calls().orderOverdue();
            mLeases.requestNewReport(run.target());
        }
    }

    private void startFailed(Run run, OrderResult result) {
        if (run.state() == Run.State.RUNNING) {
            return;
        }
        release(run, "start " + result);
        if (result == OrderResult.OLD_RUN) {
            run.task().skipRunsUpTo(run.number() + RUN_NUMBERS_TO_SKIP);
        }
        if (result == OrderResult.NOT_SENT) {
            run.target().markUnreachable(mTerm.nowMs() + UNREACHABLE_BACKOFF_MS);
        }
        if (result == OrderResult.NOT_RUN || result == OrderResult.NO_ROOM) {
            mHealth.recordFailure(run.target());
        }
    }

    /** Frees the run's capacity and allows its task to be started again. */
    private void release(Run run, String cause) {
        run.target().remove(run);
        if (run.task().run().filter(current -> current == run).isPresent()) {
            run.task().clearRun();
            requeue(run.task());
        }
        mLog.released(run, cause);
    }

    private void requeue(CellTask task) {
        CellJob job = task.job();
        if (mTerm.jobs().get(job.id()) == job && !mCrashes.endJobIfCrashLimitReached(task)) {
            mTerm.waiting().add(job);
        }
    }

    void stop(Run run) {
        run.requestStop(mTerm.nowMs());
        if (run.target().mayCall(mTerm.nowMs())) {
            mTerm.emit(stopOrder(run.target(), run.task().name(), run.number()));
        }
    }

    private CellAction.StopRun stopOrder(Target target, TaskName task, int run) {
        return new CellAction.StopRun(target.info(), task, run, target.fence(mTerm.fence()));
    }

    void stopAnswered(CellEvent.StopAnswered event) {
        if (!event.acknowledged()) {
            return;
        }
        mLeases.answering(event.target(), event.incarnation())
                .ifPresent(
                        target -> {
                            mLeases.targetAnswered(target);
                            target.run(event.task(), event.run()).ifPresent(this::stopAcknowledged);
                        });
    }

    private void stopAcknowledged(Run run) {
        run.stopAcknowledged(mTerm.nowMs());
        if (run.state() == Run.State.UNCONFIRMED) {
            // Only a report requested from now on can show that its capacity is free.
            mLeases.requestNewReport(run.target());
        }
    }

    /** Processes the ended runs of a report; {@code exact} means that they ended just now. */
    void ended(Target target, TargetReport report, boolean exact) {
        for (TargetReport.EndedRun endedRun : report.ended()) {
            if (endedRun.endSequence() > target.acknowledged()) {
                ended(target, endedRun, exact);
                target.acknowledge(endedRun.endSequence());
            }
        }
    }

    /**
     * Processes a report.
     *
     * @param sentMs when the report was requested
     * @param exact true when the runs that it lists as ended have ended just now
     */
    void reported(Target target, TargetReport report, long sentMs, boolean exact) {
        ended(target, report, exact);
        target.markRunsForOtherCell(mTerm.listsRunOfOtherCell(report));
        Map<TaskName, TargetReport.ActiveRun> activeRuns = new HashMap<>();
        for (TargetReport.ActiveRun activeRun : report.running()) {
            activeRuns.put(activeRun.task(), activeRun);
            running(target, activeRun);
        }
        if (!report.listsAllEnds()) {
            return;
        }
        target.foreignRuns().keySet().removeIf(foreign -> !activeRuns.containsKey(foreign.task()));
        for (Run run : new ArrayList<>(target.runs().values())) {
            if (activeRuns.containsKey(run.task().name())) {
                continue;
            }
            if (run.absenceIsConclusive(sentMs)) {
                mTerm.unansweredStarts().released(run);
                release(run, "not in the target's report");
            } else if (run.unconfirmedBefore(sentMs) && !run.stopRequested()) {
                stop(run);
            }
        }
    }

    private void running(Target target, TargetReport.ActiveRun activeRun) {
        mTerm.recordRunSeen();
        Run run = target.run(activeRun.task(), activeRun.run()).orElse(null);
        if (run != null) {
            run.updateProgress(activeRun.percent(), mTerm.nowMs());
            return;
        }
        mTerm.recordStarted(activeRun.task().job());
        Target.ForeignRun foreign = new Target.ForeignRun(activeRun.task(), activeRun.run());
        boolean isNew = target.foreignRuns().putIfAbsent(foreign, mTerm.nowMs()) == null;
        CellJob job = mTerm.jobs().get(activeRun.task().job());
        if (job != null) {
            if (isNew) {
                logIfDoubled(job, target, foreign);
            }
            adoptRun(job, target, foreign);
        }
    }

    /** Logs that a foreign run and a run of this term are runs of one task. */
    private void logIfDoubled(CellJob job, Target target, Target.ForeignRun foreign) {
        job.task(foreign.task())
                .flatMap(CellTask::run)
                .ifPresent(run -> mLog.doubled(run, target, foreign));
    }

    private void ended(Target target, TargetReport.EndedRun endedRun, boolean exact) {
        Run run = target.run(endedRun.task(), endedRun.run()).orElse(null);
        if (run == null) {
            target.foreignRuns().remove(new Target.ForeignRun(endedRun.task(), endedRun.run()));
            foreignEnded(endedRun);
            return;
        }
        target.remove(run);
        CellTask task = run.task();
        boolean current = task.run().filter(r -> r == run).isPresent();
        CellJob job = task.job();
        boolean jobOpen = mTerm.jobs().get(job.id()) == job;
        logEnd(run, endedRun.cause());
        if (endedRun.cause().done()) {
            if (exact) {
                recordRunTime(run);
            }
            target.recordSuccess();
        }
        if (current && jobOpen) {
            applyEnd(task, endedRun.cause());
        }
        if (endedRun.cause().countsAsAttempt()) {
            mHealth.recordFailure(target);
        }
    }

    /**
     * Logs the end of a run that may explain a late or failed request. An end within the expected
     * time is covered by the log line of the job.
     */
    private void logEnd(Run run, EndCause cause) {
        long tookMs = mTerm.nowMs() - run.confirmedMs();
        long expectedMs = mHealth.expectedMs(run);
        if (cause.done() && tookMs <= SLOW_RUN_LOG_FACTOR * expectedMs) {
            return;
        }
        mLog.ended(run, tookMs, expectedMs, cause);
    }

    private void applyEnd(CellTask task, EndCause cause) {
        CellJob job = task.job();
        if (cause.done()) {
            if (job.finish(task)) {
                mJobs.end(job, new Verdict.Completed());
            } else {
                requeue(task);
            }
            return;
        }
        task.clearRun();
        if (cause.countsAsAttempt()
                && task.countFailure() >= Math.max(1, job.request().maxAttempts())) {
            mJobs.end(job, new Verdict.Failed("task " + task.name().index() + " failed too often"));
            return;
        }
        requeue(task);
    }

    private void foreignEnded(TargetReport.EndedRun endedRun) {
        mTerm.recordStarted(endedRun.task().job());
        if (endedRun.cause().done()) {
            mForeignDone.add(endedRun.task());
        }
        CellJob job = mTerm.jobs().get(endedRun.task().job());
        if (job != null && markKnownDone(job)) {
            mJobs.end(job, new Verdict.Completed());
        }
    }

    private void recordRunTime(Run run) {
        StepRequest step = run.task().step();
        String queue = run.task().job().request().queue();
        double tookMs = mTerm.nowMs() - run.confirmedMs();
        double expectedMs = mRunTimes.expectedMs(queue, step);
        run.target().addSpeedSample(expectedMs, tookMs);
        double speed = run.target().measuredSpeed().speed();
        mRunTimes.add(queue, step, mTerm.speeds().normalizedMs(tookMs, speed));
    }

    /** Adopts the foreign runs of a newly admitted job. */
    void adopt(CellJob job) {
        for (Target target : mTerm.targets().values()) {
            for (Target.ForeignRun foreign : List.copyOf(target.foreignRuns().keySet())) {
                if (foreign.task().job().equals(job.id())) {
                    logIfDoubled(job, target, foreign);
                    adoptRun(job, target, foreign);
                }
            }
        }
    }

    /**
     * Marks tasks of the job as done that targets have reported as done; true when these were the
     * last open ones. The reported ends are kept, because the job may be refused now and offered
     * again.
     */
    boolean markKnownDone(CellJob job) {
        boolean allDone = false;
        for (CellTask task : job.tasks()) {
            if (!task.done() && mForeignDone.contains(task.name())) {
                allDone = markKnownDone(task);
            }
        }
        return allDone;
    }

    /** Marks a task as done; stops its current run, started because the done one seemed lost. */
    private boolean markKnownDone(CellTask task) {
        task.run().ifPresent(this::stopSuperseded);
        task.job().markMayHaveStarted();
        boolean allDone = task.job().finish(task);
        requeue(task);
        return allDone;
    }

    private void stopSuperseded(Run run) {
        stop(run);
        mLog.stoppedAsSuperseded(run);
    }

    private void adoptRun(CellJob job, Target target, Target.ForeignRun foreign) {
        CellTask task = job.task(foreign.task()).orElse(null);
        if (task == null || !task.idle()) {
            return;
        }
        Run run = new Run(task, foreign.run(), target, mTerm.nowMs(), Run.State.RUNNING);
        task.assignRun(run);
        job.markMayHaveStarted();
        target.foreignRuns().remove(foreign);
        target.add(run);
        mLog.adopted(run);
    }

    /**
     * Releases all runs on a lost target: its lease expired or it was replaced, so all have ended.
     */
    void releaseAll(Target target, String cause) {
        for (Run run : new ArrayList<>(target.runs().values())) {
            mTerm.unansweredStarts().released(run);
            release(run, cause);
        }
        target.markLost();
    }

    void tick() {
        for (Target target : mTerm.targets().values()) {
            for (Run run : new ArrayList<>(target.runs().values())) {
                checkRun(run);
            }
            stopForeign(target);
        }
    }

    private void checkRun(Run run) {
        long timeoutMs = run.target().roundTrips().timeoutMs();
        if (!run.target().mayCall(mTerm.nowMs())) {
            return;
        }
        if (run.startOverdue(mTerm.nowMs(), timeoutMs)) {
            startUnanswered(run);
        } else if (run.target().calls().unresponsive()) {
            return;
        } else if (run.stopOverdue(mTerm.nowMs(), timeoutMs)) {
            stop(run);
        } else if (run.awaitsReport()) {
            mLeases.requestReport(run.target());
        } else if (!run.stopRequested() && mHealth.isOverdue(run)) {
            handleOverdue(run);
        }
    }

    /** Handles a run that takes far too long: it is stuck, or the report of its end was lost. */
    private void handleOverdue(Run run) {
        if (!mHealth.isStuck(run)) {
            mLeases.requestReport(run.target());
            return;
        }
        mLog.stuck(run);
        mHealth.recordStuckRun(run);
        stop(run);
    }

    /** Expected end of the next run on the target, on this VM's clock; in the past if overdue. */
    long expectedNextEndMs(Target target) {
        long endMs = Long.MAX_VALUE;
        for (Run run : target.runs().values()) {
            endMs = Math.min(endMs, run.confirmedMs() + mHealth.expectedMs(run));
        }
        return endMs;
    }

    /** Stops runs that nobody has offered; those of another cell's jobs end with their lease. */
    private void stopForeign(Target target) {
        if (!target.mayCall(mTerm.nowMs())) {
            return;
        }
        target.foreignRuns()
                .forEach(
                        (foreign, sinceMs) -> {
                            boolean own = mTerm.ownsJob(foreign.task().job());
                            if (own && mTerm.nowMs() - sinceMs > FOREIGN_GRACE_MS) {
                                target.foreignRuns().put(foreign, mTerm.nowMs());
                                stopForeign(target, foreign);
                            }
                        });
    }

    private void stopForeign(Target target, Target.ForeignRun foreign) {
        mTerm.emit(stopOrder(target, foreign.task(), foreign.run()));
        mLog.stoppedForeign(target, foreign);
    }
}
