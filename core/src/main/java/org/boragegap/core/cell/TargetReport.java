package org.boragegap.core.cell;

import java.util.List;

/**
 * What a target says of itself when its lease is extended.
 *
 * @param clockMs its own clock, in ms
 * @param running what runs
 * @param ended what has ended and was not acknowledged yet, oldest first
 */
public record TargetReport(long clockMs, List<ActiveRun> running, List<EndedRun> ended) {
    /** How many ends a target lists at a time; it lists the others once these are acknowledged. */
    private static final int MAX_ENDED_RUNS = 500;

    /** True when no end can be held back, so that a run that isn't listed is not there. */
    boolean listsAllEnds() {
        return ended.size() < MAX_ENDED_RUNS;
    }

    /**
     * A run at work.
     *
     * @param task the task
     * @param run number of the start
     * @param percent how far it is, 0 to 100
     */
    public record ActiveRun(TaskName task, int run, int percent) {}

    /**
     * A run that has ended.
     *
     * @param endSequence rises by one with each end of this incarnation, from 1
     * @param task the task
     * @param run number of the start
     * @param cause why it ended
     */
    public record EndedRun(long endSequence, TaskName task, int run, EndCause cause) {}
}
