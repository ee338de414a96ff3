package org.boragegap.core.job;

/**
 * What a task needs of a worker, or what a worker has.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record Resources(int cpuMillis, int memoryMb, int accelerators) {

    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Sum of both. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /** Difference of both. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /** True when this fits into {@code room} in every respect. */
    public boolean fitsInto(Resources room) {
        return cpuMillis <= room.cpuMillis
                && memoryMb <= room.memoryMb
                && accelerators <= room.accelerators;
    }
}
