package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;

/** Notes in one term which targets have crashed under which tasks, and gives such tasks up. */
final class CrashWatch {
    private final Term mTerm;
    private final CrashAccount mAccount;
    private JobBook mJobs;

    CrashWatch(Term term) {
        mTerm = term;
        mAccount = term.crashes();
    }

    /** Connects what depends on each other; to be called once, before use. */
    void connect(JobBook jobs) {
        mJobs = jobs;
    }

    /** The leases of what runs on the target are over, for whatever cause. */
    void lapsed(Target target) {
        mAccount.lapsed(target.info(), target.runs().keySet(), mTerm.nowMs());
    }

    /** The target has answered; what lapsed on it did so for another cause than a crash. */
    void heardOf(Target target) {
        mAccount.heardOf(target.id());
    }

    /**
     * Another incarnation has answered in the place of this one. One that was leaving has left; any
     * other has crashed.
     *
     * @param tasks what ran on it until then
     */
    void replaced(TargetInfo gone, List<TaskName> tasks) {
        List<TaskName> lapsed = mAccount.takeLapsedAt(gone.address(), "");
        if (!gone.draining()) {
            count(tasks, gone);
            count(lapsed, gone);
        }
    }

    /** A target was listed that wasn't before. */
    void appeared(TargetInfo target) {
        count(mAccount.takeLapsedAt(target.address(), target.id()), target);
    }

    private void count(List<TaskName> tasks, TargetInfo target) {
        for (TaskName task : tasks) {
            int crashes = mAccount.crashed(task, mTerm.nowMs());
            boolean givenUp = mAccount.givesUp(task);
            mTerm.act(new CellAction.TellCrash(task, crashes));
            mTerm.log(
                    Decision.run(
                            "crash",
                            task,
                            target.id(),
                            "crashes=" + crashes + " ran_beside=" + (tasks.size() - 1),
                            givenUp ? "given up" : "runs alone from now on"));
            if (givenUp) {
                giveUp(task);
            }
        }
    }

    private void giveUp(TaskName task) {
        CellJob job = mTerm.jobs().get(task.job());
        if (job != null) {
            mJobs.end(job, failure(task));
        }
    }

    /** The verdict on a job one of whose tasks was given up; empty if none was. */
    Optional<Verdict> verdictOn(CellJob job) {
        for (CellTask task : job.tasks()) {
            if (mAccount.givesUp(task.name())) {
                return Optional.of(failure(task.name()));
            }
        }
        return Optional.empty();
    }

    private static Verdict failure(TaskName task) {
        return new Verdict.Failed("targets have crashed under task " + task.index());
    }
}
