package org.boragegap.core.cell;

import java.util.Optional;

/**
 * Chooses the target for a task: the one on which it is expected to end first, and among those the
 * one with the least free processor capacity.
 */
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
            if (!canPlace(task, target)) {
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
     * The largest free processor capacity on a target that may be given work, in thousandths of a
     * core; -1 if there is none.
     */
    int maxFreeCpu() {
        int maxCpu = -1;
        for (Target target : mTerm.targets().values()) {
            if (target.freeCpu() > maxCpu && mTerm.acceptsWork(target)) {
                maxCpu = target.freeCpu();
            }
        }
        return maxCpu;
    }

    private boolean canPlace(CellTask task, Target target) {
        StepRequest step = task.step();
        if (!target.fits(step) || !mTerm.acceptsWork(target)) {
            return false;
        }
        if (!isCompatible(task.job().request(), step, target.info())
                || !respectsIsolation(task, target)) {
            return false;
        }
        return step.maxPerTarget() == 0
                || target.runCount(task.name().job(), task.name().step()) < step.maxPerTarget();
    }

    /**
     * A suspect task, which may have crashed a target, runs alone: if it is the cause, the next
     * crash would take others' tasks with it, and they would become suspect in turn.
     */
    private boolean respectsIsolation(CellTask task, Target target) {
        CrashHistory crashes = mTerm.crashes();
        boolean isolated = !target.busy() || !crashes.isSuspect(task.name());
        return isolated && !crashes.anySuspect(target.runs().keySet());
    }

    private static boolean isCompatible(JobRequest request, StepRequest step, TargetInfo info) {
        return info.service().equals(request.service()) && info.canHold(step);
    }

    private double speed(StepRequest step, Target target) {
        boolean far =
                step.preferredRack().isPresent()
                        && !target.info().labels().contains(step.preferredRack().get());
        return far ? target.speed() / mFarFactor : target.speed();
    }

    /**
     * True when, for each step of the job, some known target outside evacuated domains could run
     * its tasks if it were idle.
     */
    boolean isFeasible(JobRequest request) {
        return request.steps().stream().allMatch(step -> isFeasible(request, step));
    }

    private boolean isFeasible(JobRequest request, StepRequest step) {
        for (Target target : mTerm.targets().values()) {
            // A borrowed target will be gone soon.
            if (target.loan().isEmpty() && isFeasible(request, step, target.info())) {
                return true;
            }
        }
        for (Term.LentTarget lent : mTerm.lentTargets().values()) {
            if (isFeasible(request, step, lent.info())) {
                return true;
            }
        }
        // The successor of a replaced target is expected to have the same capacity and labels.
        return mTerm.replacedTargets().stream().anyMatch(info -> isFeasible(request, step, info));
    }

    private boolean isFeasible(JobRequest request, StepRequest step, TargetInfo info) {
        return mTerm.evacuations().allows(info) && isCompatible(request, step, info);
    }

    /** True when a target is free for the job's first ready task. */
    boolean hasFreeTargetFor(CellJob job) {
        return job.readyTasks().stream().findFirst().flatMap(this::choose).isPresent();
    }
}
