package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;

/**
 * Detects in one term which targets crashed while running which tasks, and ends the jobs of tasks
 * that have reached a crash limit.
 */
final class CrashDetector {
    private final Term mTerm;
    private final CrashHistory mHistory;
    private final CorrelatedLossDetector mLossDetector;
    private JobLifecycle mJobs;

    CrashDetector(Term term) {
        mTerm = term;
        mHistory = term.crashes();
        mLossDetector = new CorrelatedLossDetector(term);
    }

    /** Sets the collaborator that depends on this object in turn; to be called once, before use. */
    void connect(JobLifecycle jobs) {
        mJobs = jobs;
    }

    /**
     * Called when the leases of the runs on the target have expired. A target that was draining has
     * left and is not recorded.
     */
    void recordLeaseExpiry(Target target) {
        if (target.info().draining()) {
            return;
        }
        mHistory.recordLeaseExpiry(target.info(), recordLoss(target), mTerm.nowMs());
    }

    /**
     * Records that a target was found lost, before its runs are released.
     *
     * @return the runs that were active there, or may have been
     */
    List<LostRun> recordLoss(Target target) {
        mLossDetector.targetLost(target);
        return LostRun.of(target.runs().values()).stream()
                .map(run -> mLossDetector.isCorrelated(run) ? run.asCoincident() : run)
                .toList();
    }

    /**
     * Called when the target has answered; if its leases had expired, a crash was not the cause.
     */
    void targetAnswered(Target target) {
        mHistory.targetAnswered(target.info());
    }

    /**
     * Called when another incarnation has answered in place of this one. A target that was draining
     * has left; any other has crashed.
     *
     * @param runs the runs that were lost with it
     */
    void targetReplaced(TargetInfo replaced, List<LostRun> runs) {
        List<LostRun> expired = mHistory.takeExpired(replaced, mTerm.nowMs());
        if (!replaced.draining()) {
            recordCrashes(runs, "replaced");
            recordCrashes(expired, "lease expired, then replaced");
        }
    }

    /** Called when a target is listed that was not listed before. */
    void newTargetListed(TargetInfo target) {
        recordCrashes(
                mHistory.takeExpiredPredecessors(target, mTerm.nowMs()),
                "lease expired, then successor listed");
    }

    private void recordCrashes(List<LostRun> runs, String found) {
        for (LostRun run : runs) {
            TaskName task = run.task();
            mHistory.recordCrash(task, run.target(), run.evidence(), mTerm.nowMs());
            mTerm.emit(new CellAction.BroadcastCrash(task, run.target(), run.evidence()));
            logCrash(run, runs.size() - 1, found, verdictOn(task).isPresent());
            crashReported(task);
        }
    }

    /** Called when a crash of a target that ran the task has been recorded. */
    void crashReported(TaskName task) {
        CellJob job = mTerm.jobs().get(task.job());
        if (job != null) {
            job.task(task).ifPresent(this::endJobIfCrashLimitReached);
        }
    }

    private void logCrash(LostRun run, int otherRuns, String found, boolean limitReached) {
        String inputs =
                "crashes="
                        + mHistory.crashCount(run.task())
                        + " run="
                        + run.number()
                        + " evidence="
                        + run.evidence()
                        + " ordered_ms="
                        + (mTerm.nowMs() - run.orderedMs())
                        + " ran_beside="
                        + otherRuns
                        + " found="
                        + found;
        String suspicion =
                mHistory.isSuspect(run.task()) ? "runs alone from now on" : "not suspected";
        String outcome = limitReached ? "not started again" : suspicion;
        mTerm.log(Decision.run("crash", run.task(), run.target(), inputs, outcome));
    }

    /**
     * Ends the job of an idle task that has reached a crash limit and is not started again; returns
     * true if so.
     */
    boolean endJobIfCrashLimitReached(CellTask task) {
        Optional<Verdict> verdict = task.idle() ? verdictOn(task.name()) : Optional.empty();
        verdict.ifPresent(end -> mJobs.end(task.job(), end));
        return verdict.isPresent();
    }

    /**
     * The verdict on a job one of whose idle tasks has reached a crash limit; empty if none has.
     */
    Optional<Verdict> verdictOn(CellJob job) {
        return job.tasks().stream()
                .filter(CellTask::idle)
                .flatMap(task -> verdictOn(task.name()).stream())
                .findFirst();
    }

    private Optional<Verdict> verdictOn(TaskName task) {
        return mHistory.verdictOn(task, mTerm.nowMs());
    }
}
