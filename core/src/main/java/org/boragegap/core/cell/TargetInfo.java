package org.boragegap.core.cell;

import java.util.Set;

/**
 * What the platform's list says of one incarnation of a target.
 *
 * @param id names the incarnation; another life of the same VM has another id
 * @param address {@code host:port}
 * @param service the service whose tasks it runs
 * @param failureDomain where it is
 * @param cpuMillis processor room, in thousandths of a core
 * @param memoryMb memory room, in MB
 * @param accelerators accelerators
 * @param labels its kind and its rack
 * @param enforcesCapacity true when it rejects by itself what doesn't fit
 * @param draining true when it leaves soon
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

    /** True when the step's tasks could run there if nothing else did. */
    boolean canHold(StepRequest step) {
        return step.cpuMillis() <= cpuMillis
                && step.memoryMb() <= memoryMb
                && step.accelerators() <= accelerators
                && step.requiredLabel().map(labels::contains).orElse(true);
    }
}
