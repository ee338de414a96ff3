package org.boragegap.core.cell;

import java.util.Set;

/**
 * One incarnation of a target, as the platform lists it.
 *
 * @param id identifies the target; after a restart the same VM has another id, or the same id and a
 *     higher {@code incarnation}
 * @param address {@code host:port}
 * @param service the service whose tasks it runs
 * @param failureDomain failure domain that it belongs to
 * @param cpuMillis processor capacity, in thousandths of a core
 * @param memoryMb memory capacity, in MB
 * @param accelerators number of accelerators
 * @param labels its kind and its rack
 * @param enforcesCapacity true when the target itself rejects orders that exceed its capacity
 * @param draining true when it will leave soon
 * @param incarnation number of this incarnation among those with the same id, rising with each
 *     restart; 0 when it isn't known, or on a platform where each incarnation has an id of its own
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
        boolean draining,
        long incarnation) {

    /** Creates a target of which only the id is known to identify its incarnation. */
    public TargetInfo(
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
        this(
                id,
                address,
                service,
                failureDomain,
                cpuMillis,
                memoryMb,
                accelerators,
                labels,
                enforcesCapacity,
                draining,
                0);
    }

    /** The same target with another incarnation number. */
    public TargetInfo withIncarnation(long number) {
        return new TargetInfo(
                id,
                address,
                service,
                failureDomain,
                cpuMillis,
                memoryMb,
                accelerators,
                labels,
                enforcesCapacity,
                draining,
                number);
    }

    /** Identifies the incarnation among all incarnations of all targets. */
    String incarnationName() {
        return incarnation == 0 ? id : id + "@" + incarnation;
    }

    /** True unless the other one is known to be another incarnation. */
    boolean mayBeSameIncarnation(TargetInfo other) {
        boolean sameNumber =
                incarnation == 0 || other.incarnation == 0 || incarnation == other.incarnation;
        return id.equals(other.id) && sameNumber;
    }

    /** True when the target could run a task of the step if it were idle. */
    boolean canHold(StepRequest step) {
        return step.cpuMillis() <= cpuMillis
                && step.memoryMb() <= memoryMb
                && step.accelerators() <= accelerators
                && step.requiredLabel().map(labels::contains).orElse(true);
    }
}
