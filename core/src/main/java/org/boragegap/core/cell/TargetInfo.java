package org.boragegap.core.cell;

import java.util.Set;

/**
 * One incarnation of a target, as the platform lists it.
 *
 * @param id identifies the incarnation; after a restart the same VM has another id
 * @param address {@code host:port}
 * @param service the service whose tasks it runs
 * @param failureDomain failure domain that it belongs to
 * @param cpuMillis processor capacity, in thousandths of a core
 * @param memoryMb memory capacity, in MB
 * @param accelerators number of accelerators
 * @param labels its kind and its rack
 * @param enforcesCapacity true when the target itself rejects orders that exceed its capacity
 * @param draining true when it will leave soon
 */
public record TargetInfo(
        String id,
        String address,
        String service,
        String failureDomain,
        int cpuMillis,
        int memoryMb,
        int accelerators,
        Set<String> labels,
        boolean enforcesCapacity,
        boolean draining) {

    /** True when the target could run a task of the step if it were idle. */
    boolean canHold(StepRequest step) {
        return step.cpuMillis() <= cpuMillis
                && step.memoryMb() <= memoryMb
                && step.accelerators() <= accelerators
                && step.requiredLabel().map(labels::contains).orElse(true);
    }
}
