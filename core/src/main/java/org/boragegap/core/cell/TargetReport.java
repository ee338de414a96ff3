package org.boragegap.core.cell;

import java.util.List;

/**
 * What a target says of itself when its lease is extended.
 *
 * @param clockMs its own clock, in ms
 * @param running what runs
 * @param ended what has ended and was not acknowledged yet, oldest first
 */
public record TargetReport(long clockMs, List<RunningRow> running, List<EndedRow> ended) {
    /** How many ends a target lists at a time; it lists the others once these are acknowledged. */
    private static final int MOST_ENDED = 500;

    /** True when no end can be held back, so that a run that isn't listed is not there. */
    boolean listsAllEnds() {
        return ended.size() < MOST_ENDED;
    }

    /**
     * A run at work.
     *
     * @param task the task
     * @param run number of the start
     * @param percent how far it is, 0 to 100
     */
    public record RunningRow(TaskName task, int run, int percent) {}

    /**
     * A run that has ended.
     *
     * @param number rises by one with each end of this incarnation, from 1
     * @param task the task
     * @param run number of the start
     * @param cause why it ended
     */
    public record EndedRow(long number, TaskName task, int run, EndCause cause) {}
}
