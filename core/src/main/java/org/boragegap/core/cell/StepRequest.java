package org.boragegap.core.cell;

import java.util.List;
import java.util.Optional;

/**
 * One step of a job: tasks that are alike.
 *
 * @param count number of tasks
 * @param cpuMillis processor need of each, in thousandths of a core
 * @param memoryMb memory need of each, in MB
 * @param accelerators accelerators that each needs
 * @param estimateMs the caller's rough estimate of a task's run time, in ms; 0 for none
 * @param dependsOn positions of earlier steps that must be done first
 * @param requiredLabel label that the target must have
 * @param preferredRack rack where the data is; tasks run longer elsewhere
 * @param maxPerTarget most tasks of the step on one target; 0 for no limit
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

    /** A step that asks for nothing but processor time. */
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
