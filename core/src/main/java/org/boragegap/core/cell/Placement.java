package org.boragegap.core.cell;

import java.util.Optional;

/** Chooses the target for a task: the one on which it is expected to end first. */
final class Placement {
    private final Term mTerm;
    private final double mFarFactor;

    Placement(Term term, CellSettings settings) {
        mTerm = term;
        mFarFactor = settings.farFactor();
    }

    Optional<Target> choose(CellTask task) {
        Target best = null;
        double bestSpeed = 0;
        for (Target target : mTerm.targets().values()) {
            if (!allowed(task, target)) {
                continue;
            }
            double speed = speed(task.step(), target);
            boolean better =
                    best == null
                            || speed > bestSpeed
                            || speed == bestSpeed && target.freeCpu() < best.freeCpu();
            if (better) {
                best = target;
                bestSpeed = speed;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * The largest room on a target that may be given work, in thousandths of a core; -1 if none.
     */
    int largestRoomCpu() {
        int largest = -1;
        for (Target target : mTerm.targets().values()) {
            if (target.freeCpu() > largest && mTerm.takesWork(target)) {
                largest = target.freeCpu();
            }
        }
        return largest;
    }

    private boolean allowed(CellTask task, Target target) {
        StepRequest step = task.step();
        if (!target.fits(step) || !mTerm.takesWork(target)) {
            return false;
        }
        if (!serves(task.job().request(), step, target.info()) || !keepsApart(task, target)) {
            return false;
        }
        return step.maxPerTarget() == 0
                || target.runsOf(task.name().job(), task.name().step()) < step.maxPerTarget();
    }

    /**
     * A task under which a target has crashed runs alone: were it the cause, the next crash would
     * take others' tasks with it, and they would be suspected in their turn.
     */
    private boolean keepsApart(CellTask task, Target target) {
        CrashAccount crashes = mTerm.crashes();
        boolean apart = !target.busy() || !crashes.suspects(task.name());
        return apart && !crashes.suspectsAny(target.runs().keySet());
    }

    private static boolean serves(JobRequest request, StepRequest step, TargetInfo info) {
        return info.service().equals(request.service()) && info.couldHold(step);
    }

    private double speed(StepRequest step, Target target) {
        boolean far =
                step.preferredRack().isPresent()
                        && !target.info().labels().contains(step.preferredRack().get());
        return far ? target.speed() / mFarFactor : target.speed();
    }

    /** True when for each step of the job some listed target could run its tasks. */
    boolean possible(JobRequest request) {
        return request.steps().stream().allMatch(step -> possible(request, step));
    }

    private boolean possible(JobRequest request, StepRequest step) {
        for (Target target : mTerm.targets().values()) {
            if (possible(request, step, target.info())) {
                return true;
            }
        }
        // A target that has just restarted is expected to be of the kind that it was.
        return mTerm.predecessorsOfExpected().stream()
                .anyMatch(info -> possible(request, step, info));
    }

    private boolean possible(JobRequest request, StepRequest step, TargetInfo info) {
        return mTerm.evacuations().allow(info) && serves(request, step, info);
    }

    /** True when a target is free for a task of this job's first step. */
    boolean roomFor(CellJob job) {
        return job.readyTasks().stream().findFirst().flatMap(this::choose).isPresent();
    }
}
