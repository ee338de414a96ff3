package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Starts that were ordered from a target and not answered, by a target that may restart under the
 * same id.
 *
 * <p>Guards against a delayed start order that is carried out by the target's next incarnation,
 * which knows neither the stops that its predecessor acknowledged nor its clock: it would run the
 * task beside its next run, or exceed its capacity. Each such start is a run of the new incarnation
 * until that has acknowledged a stop and has reported that the run is absent. This is a second
 * guard, for a target whose connections outlast it; see {@link CellAction}.
 */
final class UnansweredStarts {
    /**
     * How late an order counts as possible after a restart, in ms. Targets may be later than that;
     * what keeps the order from the next incarnation is then its connection alone.
     */
    static final long MAX_ORDER_DELAY_MS = 6_000;

    private final Term mTerm;
    private final List<Run> mReleased = new ArrayList<>();

    UnansweredStarts(Term term) {
        mTerm = term;
    }

    /** Called when a run is released, and so may be started elsewhere. */
    void released(Run run) {
        mReleased.removeIf(old -> !mayArrive(old));
        if (run.target().mayRestart() && run.state() != Run.State.RUNNING) {
            mReleased.add(run);
        }
    }

    private boolean mayArrive(Run run) {
        return mTerm.nowMs() - run.orderedMs() <= MAX_ORDER_DELAY_MS;
    }

    /** Takes the runs of an earlier incarnation whose starts are not answered yet. */
    void takeFrom(Target earlier) {
        for (Run run : List.copyOf(earlier.runs().values())) {
            if (run.state() != Run.State.RUNNING && mayArrive(run)) {
                earlier.remove(run);
                mReleased.add(run);
            }
        }
    }

    /**
     * Makes the unanswered starts runs of the new incarnation, until it is known whether it has
     * carried them out.
     *
     * @return the runs that have to be stopped, since their tasks run elsewhere or are not needed
     */
    List<Run> carryOver(Target target) {
        mReleased.removeIf(old -> !mayArrive(old));
        List<Run> starts = new ArrayList<>();
        for (Run run : List.copyOf(mReleased)) {
            if (run.target().id().equals(target.id())) {
                mReleased.remove(run);
                starts.add(run);
            }
        }
        // A stop makes the target reject all earlier runs of the task, so the last one is enough.
        starts.sort(Comparator.comparingInt(Run::number).reversed());
        List<Run> unneeded = new ArrayList<>();
        for (Run run : starts) {
            if (!target.runs().containsKey(run.task().name()) && !carryOver(run, target)) {
                unneeded.add(target.runs().get(run.task().name()));
            }
        }
        return unneeded;
    }

    /** Carries over one run; true when it is the current run of its task. */
    private boolean carryOver(Run run, Target target) {
        CellTask task = run.task();
        Run carried = new Run(task, run.number(), target, run.orderedMs(), Run.State.UNCONFIRMED);
        target.addCarriedOver(carried);
        boolean needed = mTerm.jobs().get(task.job().id()) == task.job();
        boolean current = task.idle() || task.run().filter(other -> other == run).isPresent();
        if (needed && current) {
            task.assignRun(carried);
        }
        return needed && current && !run.stopRequested();
    }
}
