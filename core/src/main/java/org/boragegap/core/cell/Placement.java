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
            if (target.freeCpu() > largest && target.open(mTerm.nowMs())) {
                largest = target.freeCpu();
            }
        }
        return largest;
    }

    private boolean allowed(CellTask task, Target target) {
        StepRequest step = task.step();
        if (!target.fits(step) || !target.open(mTerm.nowMs())) {
            return false;
        }
        if (!serves(task.job().request(), step, target)) {
            return false;
        }
        return step.mostPerTarget() == 0
                || target.runsOf(task.name().job(), task.name().step()) < step.mostPerTarget();
    }

    private static boolean serves(JobRequest request, StepRequest step, Target target) {
        return target.info().service().equals(request.service()) && target.couldHold(step);
    }

    private double speed(StepRequest step, Target target) {
        boolean far =
                step.nearRack().isPresent()
                        && !target.info().labels().contains(step.nearRack().get());
        return far ? target.speed() / mFarFactor : target.speed();
    }

    /** True when some listed target could run each step of the job. */
    boolean possible(JobRequest request) {
        for (StepRequest step : request.steps()) {
            boolean any =
                    mTerm.targets().values().stream()
                            .anyMatch(target -> serves(request, step, target));
            if (!any) {
                return false;
            }
        }
        return true;
    }

    /** True when a target is free for a task of this job's first step. */
    boolean roomFor(CellJob job) {
        return job.ready().stream().findFirst().flatMap(this::choose).isPresent();
    }
}
