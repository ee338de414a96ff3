package org.boragegap.core.job;

/**
 * The resources that a task needs, or those that a worker has.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record Resources(int cpuMillis, int memoryMb, int accelerators) {

    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** The sum of both, in every component. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /** The difference of both, in every component. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /** True when no component exceeds that of {@code available}. */
    public boolean fitsInto(Resources available) {
        return cpuMillis <= available.cpuMillis
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }
}
