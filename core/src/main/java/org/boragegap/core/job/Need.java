package org.boragegap.core.job;

/**
 * What a task needs of a worker, or what a worker has.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record Need(int cpuMillis, int memoryMb, int accelerators) {

    /** Nothing at all. */
    public static final Need NONE = new Need(0, 0, 0);

    /** Sum of both. */
    public Need plus(Need other) {
        return new Need(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /** Difference of both. */
    public Need minus(Need other) {
        return new Need(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /** True when this fits into {@code room} in every respect. */
    public boolean fits(Need room) {
        return cpuMillis <= room.cpuMillis
                && memoryMb <= room.memoryMb
                && accelerators <= room.accelerators;
    }
}
