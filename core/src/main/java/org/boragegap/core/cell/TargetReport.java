package org.boragegap.core.cell;

import java.util.List;

/**
 * What a target reports when its lease is extended.
 *
 * @param clockMs the target's own clock, in ms
 * @param running the active runs
 * @param ended the runs that have ended and are not acknowledged yet, oldest first
 * @param incarnation number of the incarnation that reports; 0 if unknown
 */
public record TargetReport(
        long clockMs, List<ActiveRun> running, List<EndedRun> ended, long incarnation) {
    /**
     * Maximum number of ends that a target lists at a time; it lists the others once these are
     * acknowledged.
     */
    private static final int MAX_ENDED_RUNS = 500;

    /** Creates a report that doesn't state the number of the incarnation. */
    public TargetReport(long clockMs, List<ActiveRun> running, List<EndedRun> ended) {
        this(clockMs, running, ended, 0);
    }

    /** True when no end can be missing, so that a run that isn't listed is not on the target. */
    boolean listsAllEnds() {
        return ended.size() < MAX_ENDED_RUNS;
    }

    /**
     * An active run.
     *
     * @param task the task
     * @param run number of the run
     * @param percent progress, 0 to 100
     */
    public record ActiveRun(TaskName task, int run, int percent) {}

    /**
     * A run that has ended.
     *
     * @param endSequence sequence number of the end: rises by one with each end on this
     *     incarnation, from 1
     * @param task the task
     * @param run number of the run
     * @param cause why it ended
     */
    public record EndedRun(long endSequence, TaskName task, int run, EndCause cause) {}
}
