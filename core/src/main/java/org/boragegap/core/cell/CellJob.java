package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A job that the controller has admitted, with the state of its tasks. */
final class CellJob {
    /**
     * Size of the block of run numbers that is reserved for each controller of a job. A new
     * controller does not know how many starts of a task its predecessor ordered, and a target
     * rejects a run number that it has seen. The block is far larger than the number of attempts
     * that a queue allows.
     */
    private static final int RUN_NUMBERS_PER_CONTROLLER = 16;

    /**
     * By the platform's rules, a late answer is of use to a caller up to this multiple of the job's
     * objective.
     */
    private static final int MAX_USEFUL_OBJECTIVES = 3;

    private final JobRequest mRequest;
    private final long mArrivedMs;
    private final long mObjectiveMs;
    private final long mCriticalPathMs;
    private final long mBudgetMs;
    private final int mMinTaskCpu;
    private final List<List<CellTask>> mSteps = new ArrayList<>();
    private final Map<String, Long> mOffersByEntryVm = new LinkedHashMap<>();
    private int mOpenTasks;
    private boolean mMayHaveStarted;
    private long mAbandonedMs = -1;
    private boolean mLate;
    private long[] mTailsMs;

    CellJob(
            JobRequest request,
            long arrivedMs,
            long budgetMs,
            long objectiveMs,
            long criticalPathMs,
            int controllers) {
        mRequest = request;
        mBudgetMs = budgetMs;
        int minTaskCpu = Integer.MAX_VALUE;
        for (StepRequest step : request.steps()) {
            minTaskCpu = Math.min(minTaskCpu, step.cpuMillis());
        }
        mMinTaskCpu = minTaskCpu;
        mArrivedMs = arrivedMs;
        mObjectiveMs = objectiveMs;
        mCriticalPathMs = criticalPathMs;
        mMayHaveStarted = controllers > 1;
        int firstRun = 1 + RUN_NUMBERS_PER_CONTROLLER * (controllers - 1);
        for (int step = 0; step < request.steps().size(); step++) {
            addStep(step, firstRun);
        }
    }

    private void addStep(int step, int firstRun) {
        StepRequest request = mRequest.steps().get(step);
        List<CellTask> tasks = new ArrayList<>();
        for (int index = 0; index < request.count(); index++) {
            TaskName name = new TaskName(mRequest.id(), 0, step, index);
            tasks.add(new CellTask(this, name, request, firstRun));
        }
        mSteps.add(tasks);
        mOpenTasks += tasks.size();
    }

    String id() {
        return mRequest.id();
    }

    JobRequest request() {
        return mRequest;
    }

    long arrivedMs() {
        return mArrivedMs;
    }

    long objectiveMs() {
        return mObjectiveMs;
    }

    /** Processor demand of its smallest task, in thousandths of a core. */
    int minTaskCpu() {
        return mMinTaskCpu;
    }

    /**
     * Latest time at which its longest chain of steps can start for the job to meet its objective.
     */
    long latestStartMs() {
        return mArrivedMs + mObjectiveMs - mCriticalPathMs;
    }

    /** Latest time at which a task of the step can end for the job to meet its objective. */
    long latestEndMs(int step) {
        return mArrivedMs + mObjectiveMs - (mTailsMs == null ? 0 : mTailsMs[step]);
    }

    /** Sets the expected run time of the longest chain that follows each step, in ms. */
    void setTailsMs(long[] tailsMs) {
        mTailsMs = tailsMs;
    }

    /**
     * Last time at which starting its longest chain of steps is of use. After a later start, the
     * answer would arrive when the caller no longer waits, or too late to be of use.
     */
    long lastUsefulStartMs() {
        return mArrivedMs
                + Math.min(mBudgetMs, MAX_USEFUL_OBJECTIVES * mObjectiveMs)
                - mCriticalPathMs;
    }

    /** Entry VMs that wait for the job, each with the number of its last offer. */
    Map<String, Long> offersByEntryVm() {
        return mOffersByEntryVm;
    }

    boolean mayHaveStarted() {
        return mMayHaveStarted;
    }

    /**
     * Records that a task of the job may have started, ordered by this controller or an earlier
     * one.
     */
    void markMayHaveStarted() {
        mMayHaveStarted = true;
    }

    /**
     * True when the job was found too late to meet its objective before any of its tasks started.
     */
    boolean late() {
        return mLate;
    }

    /** Must not be called while an ordered set holds the job, because the order depends on it. */
    void markLate() {
        mLate = true;
    }

    /** True when at least one of its tasks runs or is done. */
    boolean hasProgress() {
        int all = 0;
        for (List<CellTask> tasks : mSteps) {
            all += tasks.size();
        }
        return mOpenTasks < all || hasRuns();
    }

    boolean abandoned() {
        return mAbandonedMs >= 0;
    }

    long abandonedMs() {
        return mAbandonedMs;
    }

    void abandon(long nowMs) {
        mAbandonedMs = nowMs;
    }

    void addOffer(String entryVm, long offerNumber) {
        mOffersByEntryVm.put(entryVm, offerNumber);
        mAbandonedMs = -1;
    }

    List<CellTask> tasksOfStep(int step) {
        return mSteps.get(step);
    }

    List<CellTask> tasks() {
        List<CellTask> all = new ArrayList<>();
        mSteps.forEach(all::addAll);
        return all;
    }

    Optional<CellTask> task(TaskName name) {
        return tasks().stream().filter(task -> task.name().equals(name)).findFirst();
    }

    /** Tasks that can start now: neither running nor done, and all prerequisite steps are done. */
    List<CellTask> readyTasks() {
        List<CellTask> ready = new ArrayList<>();
        for (List<CellTask> tasks : mSteps) {
            if (tasks.isEmpty() || !dependenciesDone(tasks.get(0).step())) {
                continue;
            }
            for (CellTask task : tasks) {
                if (task.idle()) {
                    ready.add(task);
                }
            }
        }
        return ready;
    }

    /** Number of tasks of a step that can start now. */
    int readyCount(int step) {
        List<CellTask> tasks = mSteps.get(step);
        if (tasks.isEmpty() || !dependenciesDone(tasks.get(0).step())) {
            return 0;
        }
        int ready = 0;
        for (CellTask task : tasks) {
            ready += task.idle() ? 1 : 0;
        }
        return ready;
    }

    private boolean dependenciesDone(StepRequest step) {
        for (int prerequisite : step.dependsOn()) {
            for (CellTask task : mSteps.get(prerequisite)) {
                if (!task.done()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Marks a task as done; returns true when it was the last open task. */
    boolean finish(CellTask task) {
        task.markDone();
        mOpenTasks--;
        return mOpenTasks == 0;
    }

    boolean hasRuns() {
        for (List<CellTask> tasks : mSteps) {
            for (CellTask task : tasks) {
                if (task.run().isPresent()) {
                    return true;
                }
            }
        }
        return false;
    }
}
