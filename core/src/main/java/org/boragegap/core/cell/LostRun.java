package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * What was known of a run when its target was lost.
 *
 * @param task the task
 * @param number the run's number
 * @param target name of the target's incarnation
 * @param evidence how certain it is that the task was running there
 * @param orderedMs when its start was ordered
 */
record LostRun(TaskName task, int number, String target, CrashEvidence evidence, long orderedMs) {

    /** A copy for a target whose loss has a cause outside the task. */
    LostRun asCoincident() {
        return new LostRun(task, number, target, CrashEvidence.COINCIDENT, orderedMs);
    }

    /** The lost runs among those on a target: all that were active there, or may have been. */
    static List<LostRun> of(Collection<Run> runs) {
        List<LostRun> lost = new ArrayList<>();
        for (Run run : runs) {
            CrashEvidence.of(run).ifPresent(evidence -> lost.add(of(run, evidence)));
        }
        return lost;
    }

    private static LostRun of(Run run, CrashEvidence evidence) {
        return new LostRun(
                run.task().name(),
                run.number(),
                run.target().info().incarnationName(),
                evidence,
                run.orderedMs());
    }
}
