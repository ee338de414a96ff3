package org.boragegap.core.cell;

import java.util.Collection;
import java.util.List;

/**
 * What was known of a run when its target was lost.
 *
 * @param task the task
 * @param number the run's number
 * @param target id of the target
 * @param state how far the order to start had come
 * @param orderedMs when it was ordered
 */
record LostRun(TaskName task, int number, String target, Run.State state, long orderedMs) {

    /** The runs on a target, as they are known now. */
    static List<LostRun> of(Collection<Run> runs) {
        return runs.stream().map(LostRun::of).toList();
    }

    private static LostRun of(Run run) {
        return new LostRun(
                run.task().name(), run.number(), run.target().id(), run.state(), run.orderedMs());
    }
}
