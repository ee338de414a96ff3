package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;

/**
 * One step of a job: a number of tasks with the same demands.
 *
 * @param count number of tasks
 * @param cpuMillis processor demand of each task, in thousandths of a core
 * @param memoryMb memory demand of each task, in MB
 * @param accelerators number of accelerators that each task needs
 * @param estimateMs the caller's rough estimate of a task's run time, in ms; 0 for none
 * @param dependsOn positions of earlier steps that have to be done first
 * @param requiredLabel label that the target must have
 * @param preferredRack rack that holds the data; tasks run longer on other racks
 * @param maxPerTarget maximum number of tasks of the step on one target; 0 for no limit
 */
public record StepRequest(
        int count,
        int cpuMillis,
        int memoryMb,
        int accelerators,
        long estimateMs,
        List<Integer> dependsOn,
        Optional<String> requiredLabel,
        Optional<String> preferredRack,
        int maxPerTarget) {

    /** Rejects what would give a target room, or a task before its time. */
    public StepRequest {
        if (count < 1) {
            throw new IllegalArgumentException("a step has " + count + " tasks");
        }
        if (cpuMillis < 0 || memoryMb < 0 || accelerators < 0) {
            throw new IllegalArgumentException(
                    "a task needs " + cpuMillis + ", " + memoryMb + ", " + accelerators);
        }
        if (estimateMs < 0 || maxPerTarget < 0) {
            throw new IllegalArgumentException(
                    "a step has the estimate " + estimateMs + " and the limit " + maxPerTarget);
        }
    }

    /** Creates a step whose tasks need only processor time. */
    public static StepRequest cpuOnly(int count, int cpuMillis, long estimateMs) {
        return new StepRequest(
                count,
                cpuMillis,
                0,
                0,
                estimateMs,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                0);
    }
}
