package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A job that the controller has taken on. */
final class CellJob {
    /**
     * Run numbers that each further controller skips. A controller that takes over doesn't know how
     * often its predecessor started a task; a target rejects a number that it has seen. Far more
     * than the attempts that a queue allows.
     */
    private static final int RUN_NUMBERS_PER_CONTROLLER = 16;

    /**
     * Up to this many times its objective a late answer is still worth something to a caller; by
     * the platform's rules.
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

    CellJob(
            JobRequest request,
            long arrivedMs,
            long budgetMs,
            long objectiveMs,
            long longestMs,
            int controllers) {
        mRequest = request;
        mBudgetMs = budgetMs;
        int leastCpu = Integer.MAX_VALUE;
        for (StepRequest step : request.steps()) {
            leastCpu = Math.min(leastCpu, step.cpuMillis());
        }
        mMinTaskCpu = leastCpu;
        mArrivedMs = arrivedMs;
        mObjectiveMs = objectiveMs;
        mCriticalPathMs = longestMs;
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

    /** Processor of its smallest task, in thousandths of a core. */
    int minTaskCpu() {
        return mMinTaskCpu;
    }

    /** Latest time at which its longest task can start for the job to meet its objective. */
    long latestStartMs() {
        return mArrivedMs + mObjectiveMs - mCriticalPathMs;
    }

    /**
     * After this time a start of its longest task is of no use: the answer would come later than
     * the caller waits, or than a late one is worth anything.
     */
    long lastUsefulStartMs() {
        return mArrivedMs
                + Math.min(mBudgetMs, MAX_USEFUL_OBJECTIVES * mObjectiveMs)
                - mCriticalPathMs;
    }

    /** Entry VMs that wait for it, each with the number of its last offer. */
    Map<String, Long> offersByEntryVm() {
        return mOffersByEntryVm;
    }

    boolean mayHaveStarted() {
        return mMayHaveStarted;
    }

    /** A task of it was ordered, or is known to have been by an earlier controller. */
    void markMayHaveStarted() {
        mMayHaveStarted = true;
    }

    /** True when it was found too late to meet its objective, with nothing of it begun. */
    boolean late() {
        return mLate;
    }

    /** To be called while no ordered set holds it. */
    void markLate() {
        mLate = true;
    }

    /** True when some task of it runs or is done. */
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

    void addOffer(String entry, long offer) {
        mOffersByEntryVm.put(entry, offer);
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

    /** Tasks that may start now: not done, not running, and all steps before them done. */
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

    /** How many tasks of a step may start now. */
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
        for (int before : step.dependsOn()) {
            for (CellTask task : mSteps.get(before)) {
                if (!task.done()) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Counts a task as done; true when it was the last. */
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
