package org.boragegap.core.cell;

import java.util.Optional;

/** One task of a job, with its current run, if any. */
final class CellTask {
    private final CellJob mJob;
    private final TaskName mName;
    private final StepRequest mStep;
    private Run mRun;
    private boolean mDone;
    private int mFailures;
    private int mNextRun;

    CellTask(CellJob job, TaskName name, StepRequest step, int firstRun) {
        mJob = job;
        mName = name;
        mStep = step;
        mNextRun = firstRun;
    }

    CellJob job() {
        return mJob;
    }

    TaskName name() {
        return mName;
    }

    StepRequest step() {
        return mStep;
    }

    boolean done() {
        return mDone;
    }

    boolean idle() {
        return !mDone && mRun == null;
    }

    Optional<Run> run() {
        return Optional.ofNullable(mRun);
    }

    int takeRunNumber() {
        return mNextRun++;
    }

    /** Ensures that the next start uses a run number above this one. */
    void skipRunsUpTo(int number) {
        mNextRun = Math.max(mNextRun, number + 1);
    }

    void assignRun(Run run) {
        mRun = run;
        skipRunsUpTo(run.number());
    }

    void clearRun() {
        mRun = null;
    }

    void markDone() {
        mRun = null;
        mDone = true;
    }

    int countFailure() {
        mRun = null;
        return ++mFailures;
    }
}
