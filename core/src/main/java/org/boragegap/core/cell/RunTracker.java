package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Follows each run from the order to start it until its end is known.
 *
 * <p>An order without an answer may be carried out seconds later. Its task starts nowhere else
 * until that is ruled out: the target is asked at once; what it doesn't list is stopped, so that it
 * rejects that run from then on; or its lease is over.
 */
final class RunTracker {
    /**
     * How long a target to which nothing could be sent is given no work, in ms; some round trips.
     * It doesn't count as the target's failure: sound targets would be out of use for seconds after
     * a cut had healed.
     */
    private static final long UNREACHABLE_BACKOFF_MS = 100;

    /**
     * How long runs whose job nobody has offered are left alone, in ms. Entry VMs offer again as
     * soon as they hear of a new controller, which takes a heartbeat or two.
     */
    private static final long FOREIGN_GRACE_MS = 600;

    /** Ends of jobs that nobody has offered are kept up to this number; a few seconds' worth. */
    private static final int MAX_FOREIGN_DONE = 5_000;

    /** An end is worth a line when its run took this many times as long as expected. */
    private static final double SLOW_RUN_LOG_FACTOR = 1.5;

    /** Run numbers passed over when a target says that it has seen a higher one. */
    private static final int RUN_NUMBERS_TO_SKIP = 3;

    private final Term mTerm;
    private final RunTimeEstimator mRunTimes;
    private final TargetHealth mHealth;
    private final Set<TaskName> mForeignDone = new LinkedHashSet<>();
    private JobLifecycle mJobs;
    private LeaseManager mLeases;
    private final CrashDetector mCrashes;

    RunTracker(Term term, RunTimeEstimator times, CrashDetector crashes) {
        mTerm = term;
        mRunTimes = times;
        mCrashes = crashes;
        mHealth = new TargetHealth(term, times);
    }

    /** Connects what depends on each other; to be called once, before use. */
    void connect(JobLifecycle jobs, LeaseManager leases) {
        mJobs = jobs;
        mLeases = leases;
    }

    /** Orders the start of a task; the caller logs it, with the others of its job. */
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

    /** Logs what was started of a job, on one line: lines cost processor time. */
    void logStarts(CellJob job, List<Run> runs) {
        if (runs.isEmpty()) {
            return;
        }
        StringBuilder inputs = new StringBuilder("waited_ms=");
        inputs.append(mTerm.nowMs() - job.arrivedMs()).append(" runs=");
        for (Run run : runs) {
            TaskName name = run.task().name();
            inputs.append(name.step()).append('.').append(name.index());
            inputs.append('#').append(run.number());
            inputs.append('@').append(run.target().id());
            inputs.append("(speed=").append(Math.round(run.target().speed() * 100));
            inputs.append(" free_cpu=").append(run.target().freeCpu()).append(") ");
        }
        String outcome = runs.size() + " ordered";
        mTerm.log(Decision.job("start", job.id(), inputs.toString().trim(), outcome));
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
                mTerm.fence(),
                untilMs);
    }

    void startAnswered(CellEvent.StartAnswered event) {
        Target target = mTerm.targets().get(event.target());
        if (target == null) {
            return;
        }
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
            case FENCED -> mTerm.emit(new CellAction.Deposed());
            case NOT_SENT, OLD_RUN, NOT_RUN, NO_ROOM, OTHER_INCARNATION -> startFailed(run, result);
            default -> throw new IllegalArgumentException("no such result: " + result);
        }
    }

    /** The order got no answer: the target is asked whether it runs. */
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

    /** Frees the run's room and lets its task start again. */
    private void release(Run run, String cause) {
        run.target().remove(run);
        if (run.task().run().filter(current -> current == run).isPresent()) {
            run.task().clearRun();
            requeue(run.task());
        }
        mTerm.log(
                Decision.run(
                        "release",
                        run.task().name(),
                        run.target().id(),
                        "run=" + run.number() + " age_ms=" + (mTerm.nowMs() - run.orderedMs()),
                        cause));
    }

    private void requeue(CellTask task) {
        CellJob job = task.job();
        if (mTerm.jobs().get(job.id()) == job && !mCrashes.endJobIfCrashLimitReached(task)) {
            mTerm.waiting().add(job);
        }
    }

    void stop(Run run) {
        run.requestStop(mTerm.nowMs());
        mTerm.emit(
                new CellAction.StopRun(
                        run.target().info(), run.task().name(), run.number(), mTerm.fence()));
    }

    void stopAnswered(CellEvent.StopAnswered event) {
        Target target = mTerm.targets().get(event.target());
        if (target == null || !event.acknowledged()) {
            return;
        }
        mLeases.targetAnswered(target);
        target.run(event.task(), event.run()).ifPresent(this::stopAcknowledged);
    }

    private void stopAcknowledged(Run run) {
        run.stopAcknowledged(mTerm.nowMs());
        if (run.state() == Run.State.UNCONFIRMED) {
            // Only a report that is asked for now can show that its room is free.
            mLeases.requestNewReport(run.target());
        }
    }

    /** Takes the ends of a report; {@code exact} when they came about just now. */
    void ended(Target target, TargetReport report, boolean exact) {
        for (TargetReport.EndedRun row : report.ended()) {
            if (row.endSequence() > target.acknowledged()) {
                ended(target, row, exact);
                target.acknowledge(row.endSequence());
            }
        }
    }

    /**
     * Takes a report.
     *
     * @param sentMs when it was asked for
     * @param exact true when what has ended has ended just now
     */
    void reported(Target target, TargetReport report, long sentMs, boolean exact) {
        ended(target, report, exact);
        Map<TaskName, TargetReport.ActiveRun> listed = new HashMap<>();
        for (TargetReport.ActiveRun row : report.running()) {
            listed.put(row.task(), row);
            running(target, row);
        }
        if (!report.listsAllEnds()) {
            return;
        }
        target.foreignRuns().keySet().removeIf(foreign -> !listed.containsKey(foreign.task()));
        for (Run run : new ArrayList<>(target.runs().values())) {
            if (listed.containsKey(run.task().name())) {
                continue;
            }
            if (run.absenceIsConclusive(sentMs)) {
                release(run, "not there");
            } else if (run.unconfirmedBefore(sentMs) && !run.stopRequested()) {
                stop(run);
            }
        }
    }

    private void running(Target target, TargetReport.ActiveRun row) {
        mTerm.recordRunSeen();
        Run run = target.run(row.task(), row.run()).orElse(null);
        if (run != null) {
            run.updateProgress(row.percent(), mTerm.nowMs());
            return;
        }
        mTerm.recordStarted(row.task().job());
        Target.ForeignRun foreign = new Target.ForeignRun(row.task(), row.run());
        target.foreignRuns().putIfAbsent(foreign, mTerm.nowMs());
        CellJob job = mTerm.jobs().get(row.task().job());
        if (job != null) {
            adoptRun(job, target, foreign);
        }
    }

    private void ended(Target target, TargetReport.EndedRun row, boolean exact) {
        Run run = target.run(row.task(), row.run()).orElse(null);
        if (run == null) {
            target.foreignRuns().remove(new Target.ForeignRun(row.task(), row.run()));
            foreignEnded(row);
            return;
        }
        target.remove(run);
        CellTask task = run.task();
        boolean current = task.run().filter(r -> r == run).isPresent();
        CellJob job = task.job();
        boolean wanted = mTerm.jobs().get(job.id()) == job;
        logEnd(run, row.cause());
        if (row.cause().done()) {
            if (exact) {
                recordRunTime(run);
            }
            target.recordSuccess();
        }
        if (current && wanted) {
            applyEnd(task, row.cause());
        }
        if (row.cause().countsAsAttempt()) {
            mHealth.recordFailure(target);
        }
    }

    /**
     * Logs an end that may tell why a request was late or failed. One that came as expected is told
     * by the job's own line.
     */
    private void logEnd(Run run, EndCause cause) {
        long tookMs = mTerm.nowMs() - run.confirmedMs();
        long expectedMs = mHealth.expectedMs(run);
        if (cause.done() && tookMs <= SLOW_RUN_LOG_FACTOR * expectedMs) {
            return;
        }
        mTerm.log(
                Decision.run(
                        "ended",
                        run.task().name(),
                        run.target().id(),
                        "run=" + run.number() + " took_ms=" + tookMs + " expected_ms=" + expectedMs,
                        cause.name()));
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

    private void foreignEnded(TargetReport.EndedRun row) {
        mTerm.recordStarted(row.task().job());
        if (row.cause().done()) {
            rememberDone(row.task());
        }
        CellJob job = mTerm.jobs().get(row.task().job());
        if (job != null && markKnownDone(job)) {
            mJobs.end(job, new Verdict.Completed());
        }
    }

    private void rememberDone(TaskName task) {
        mForeignDone.add(task);
        if (mForeignDone.size() > MAX_FOREIGN_DONE) {
            Iterator<TaskName> oldest = mForeignDone.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private void recordRunTime(Run run) {
        StepRequest step = run.task().step();
        String queue = run.task().job().request().queue();
        double tookMs = mTerm.nowMs() - run.confirmedMs();
        double expectedMs = mRunTimes.expectedMs(queue, step);
        run.target().addSpeedSample(expectedMs, tookMs);
        mRunTimes.add(queue, step, tookMs);
    }

    /** Takes over what already runs of a job that was just taken on. */
    void adopt(CellJob job) {
        for (Target target : mTerm.targets().values()) {
            for (Target.ForeignRun foreign : List.copyOf(target.foreignRuns().keySet())) {
                if (foreign.task().job().equals(job.id())) {
                    adoptRun(job, target, foreign);
                }
            }
        }
    }

    /**
     * Credits the job with what targets have reported as done; true when that was all of it. The
     * ends stay known: the job may be refused now, and be offered again.
     */
    boolean markKnownDone(CellJob job) {
        boolean all = false;
        for (CellTask task : job.tasks()) {
            if (!task.done() && mForeignDone.contains(task.name())) {
                all = markKnownDone(task);
            }
        }
        return all;
    }

    /** The run that ended may have been taken for lost, so that the task runs again by now. */
    private boolean markKnownDone(CellTask task) {
        task.run().ifPresent(this::stop);
        task.job().markMayHaveStarted();
        boolean all = task.job().finish(task);
        requeue(task);
        return all;
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
        mTerm.log(
                Decision.run("adopt", task.name(), target.id(), "run=" + foreign.run(), "runs on"));
    }

    /** Everything on the target has surely ended: its lease is over, or its incarnation is gone. */
    void releaseAll(Target target, String cause) {
        for (Run run : new ArrayList<>(target.runs().values())) {
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

    /** The run takes far too long: is it stuck, or was its end not heard of? */
    private void handleOverdue(Run run) {
        if (!mHealth.isStuck(run)) {
            mLeases.requestReport(run.target());
            return;
        }
        mTerm.log(
                Decision.run(
                        "stuck",
                        run.task().name(),
                        run.target().id(),
                        "age_ms="
                                + (mTerm.nowMs() - run.confirmedMs())
                                + " percent="
                                + run.percent(),
                        "stopped, to run elsewhere"));
        mHealth.recordStuckRun(run);
        stop(run);
    }

    /** When the next run there is expected to end, on our clock; some time ago if it is late. */
    long expectedNextEndMs(Target target) {
        long endMs = Long.MAX_VALUE;
        for (Run run : target.runs().values()) {
            endMs = Math.min(endMs, run.confirmedMs() + mHealth.expectedMs(run));
        }
        return endMs;
    }

    private void stopForeign(Target target) {
        target.foreignRuns()
                .forEach(
                        (foreign, sinceMs) -> {
                            if (mTerm.nowMs() - sinceMs > FOREIGN_GRACE_MS) {
                                target.foreignRuns().put(foreign, mTerm.nowMs());
                                mTerm.emit(
                                        new CellAction.StopRun(
                                                target.info(),
                                                foreign.task(),
                                                foreign.run(),
                                                mTerm.fence()));
                            }
                        });
    }
}
