package org.boragegap.core.cell;

import java.util.Optional;
import org.boragegap.core.speed.SpeedChoice;

/**
 * Chooses the target for a task: the one on which it is expected to end first, and among those the
 * one with the least free processor capacity. Where the targets' speeds differ, the rule is that of
 * {@link SpeedChoice}.
 */
final class Placement {
    private final Term mTerm;
    private final double mFarFactor;
    private final RunTimeEstimator mRunTimes;
    private final SpeedChoice mChoice = SpeedChoice.create();

    Placement(Term term, CellSettings settings, RunTimeEstimator runTimes) {
        mTerm = term;
        mRunTimes = runTimes;
        mFarFactor = settings.farFactor();
    }

    Optional<Target> choose(CellTask task) {
        return mTerm.speeds().differ() ? chooseBySpeed(task) : chooseFastest(task);
    }

    private Optional<Target> chooseBySpeed(CellTask task) {
        CellJob job = task.job();
        double expectedMs = mRunTimes.expectedMs(job.request().queue(), task.step());
        mChoice.begin(expectedMs, job.latestEndMs(task.name().step()) - mTerm.nowMs());
        Target best = null;
        for (Target target : mTerm.targets().values()) {
            if (canPlace(task, target)) {
                double speed = relativeSpeed(task.step(), target);
                best = mChoice.offer(speed, target.freeCpu()) ? target : best;
            }
        }
        boolean waits = mChoice.prefersToWaitFor(mTerm.speeds().faster());
        return waits && isFasterTargetBusy(task) ? Optional.empty() : Optional.ofNullable(best);
    }

    /** True when the task has to wait for a target on which it is expected to end in time. */
    private boolean isFasterTargetBusy(CellTask task) {
        for (Target target : mTerm.targets().values()) {
            if (mChoice.prefersToWaitFor(relativeSpeed(task.step(), target))
                    && mTerm.acceptsWork(target)
                    && isCompatible(task.job().request(), task.step(), target.info())) {
                return true;
            }
        }
        return false;
    }

    private double relativeSpeed(StepRequest step, Target target) {
        double speed = mTerm.speeds().relative(target.measuredSpeed().speed());
        return isFar(step, target) ? speed / mFarFactor : speed;
    }

    private Optional<Target> chooseFastest(CellTask task) {
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

    private static boolean isFar(StepRequest step, Target target) {
        return step.preferredRack().isPresent()
                && !target.info().labels().contains(step.preferredRack().get());
    }

    private double speed(StepRequest step, Target target) {
        return isFar(step, target) ? target.speed() / mFarFactor : target.speed();
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
