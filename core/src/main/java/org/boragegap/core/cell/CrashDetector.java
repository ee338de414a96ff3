package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;

/** Notes in one term which targets have crashed under which tasks, and gives such tasks up. */
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

    /** Connects what depends on each other; to be called once, before use. */
    void connect(JobLifecycle jobs) {
        mJobs = jobs;
    }

    /** The leases of what runs on the target are over; one that was leaving has left. */
    void recordLeaseExpiry(Target target) {
        if (target.info().draining()) {
            return;
        }
        mHistory.recordLeaseExpiry(target.info(), recordLoss(target), mTerm.nowMs());
    }

    /**
     * Notes that a target was found lost, before its runs are released.
     *
     * @return what was at work there, or may have been
     */
    List<LostRun> recordLoss(Target target) {
        mLossDetector.targetLost(target);
        return LostRun.of(target.runs().values()).stream()
                .map(run -> mLossDetector.isCorrelated(run) ? run.asCoincident() : run)
                .toList();
    }

    /** The target has answered; what lapsed on it did so for another cause than a crash. */
    void targetAnswered(Target target) {
        mHistory.targetAnswered(target.id());
    }

    /**
     * Another incarnation has answered in the place of this one. One that was leaving has left; any
     * other has crashed.
     *
     * @param runs what was lost with it
     */
    void targetReplaced(TargetInfo gone, List<LostRun> runs) {
        List<LostRun> lapsed = mHistory.takeExpired(gone.id(), mTerm.nowMs());
        if (!gone.draining()) {
            recordCrashes(runs, "replaced");
            recordCrashes(lapsed, "lapsed, then replaced");
        }
    }

    /** A target was listed that wasn't before. */
    void newTargetListed(TargetInfo target) {
        recordCrashes(
                mHistory.takeExpiredPredecessors(target, mTerm.nowMs()), "lapsed, then listed");
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

    /** More is known of crashes under the task. */
    void crashReported(TaskName task) {
        CellJob job = mTerm.jobs().get(task.job());
        if (job != null) {
            job.task(task).ifPresent(this::endJobIfCrashLimitReached);
        }
    }

    private void logCrash(LostRun run, int beside, String found, boolean givenUp) {
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
                        + beside
                        + " found="
                        + found;
        String apart = mHistory.isSuspect(run.task()) ? "runs apart from now on" : "not suspected";
        String outcome = givenUp ? "given up" : apart;
        mTerm.log(Decision.run("crash", run.task(), run.target(), inputs, outcome));
    }

    /**
     * Ends the job of a task that would have to start again, but is started no more; true if so.
     */
    boolean endJobIfCrashLimitReached(CellTask task) {
        Optional<Verdict> verdict = task.idle() ? verdictOn(task.name()) : Optional.empty();
        verdict.ifPresent(end -> mJobs.end(task.job(), end));
        return verdict.isPresent();
    }

    /** The verdict on a job one of whose tasks is started no more; empty if there is none. */
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
