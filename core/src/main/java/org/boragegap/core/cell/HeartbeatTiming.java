package org.boragegap.core.cell;

/**
 * How often the controller of a cell sends heartbeats, and after which silence it counts as missing
 * or lost.
 *
 * <p>The controller announces its period in each heartbeat, so that a silence is measured against
 * the announced period. A constant period has two faults. The heartbeats of all cells to all VMs
 * grow with the product of both numbers: with 300 VMs and 31 cells each VM would handle 400 a
 * second. And a VM with an eighth of a core is stalled by its own work for longer than three short
 * periods: two cells changed their controller 13 times in ten seconds before there was any load.
 */
final class HeartbeatTiming {
    /** Shortest period, in ms: small deployments notice a lost controller within half a second. */
    private static final long MIN_PERIOD_MS = 150;

    /**
     * Maximum number of heartbeats that one VM receives per second. Each costs it two wake-ups and
     * a reply, some 0.2 ms, so they take less than a hundredth of a core, however many cells there
     * are.
     */
    private static final int MAX_RECEIVED_PER_S = 40;

    /** Ticks in a period: a silence is noticed at most a third of a period late. */
    private static final long TICKS_PER_PERIOD = 3;

    /**
     * Longest time between two ticks, in ms: less than half of the 250 ms for which a caller waits
     * until a controller is known.
     */
    private static final long MAX_TICK_MS = 100;

    /**
     * Maximum number of heartbeats that a controller sends per second and core; at the same cost
     * for each, they take a twentieth of its processor.
     */
    private static final int MAX_SENT_PER_CORE_S = 250;

    /**
     * Longest period that a controller announces because of its stalls, in ms. Its loss is noticed
     * after some periods: if it announced the whole length of a long stall, the callers of its cell
     * would be refused for several times that long after its loss.
     */
    private static final long MAX_STALL_PERIOD_MS = 600;

    /**
     * Heartbeats that one VM should receive per second and core. With the reply and the wake-ups
     * each takes about 1 ms of CPU time in code that is mostly interpreted, so all of them take a
     * twentieth of the VM's processor.
     */
    private static final int RECEIVED_PER_CORE_S = 50;

    /**
     * Longest period that weak receivers cause, in ms. The group drops a lost controller one second
     * after its last join. Two missed periods are 666 ms, so its loss is noticed before that.
     */
    private static final long MAX_WEAK_RECEIVER_PERIOD_MS = 333;

    private static final int MILLIS_PER_CORE = 1_000;
    private static final int MS_PER_S = 1_000;

    /**
     * Silence, in periods, after which the other VMs are notified: 300 ms at the shortest period.
     */
    private static final long MISSED_PERIODS = 2;

    /**
     * Silence after which the controller is lost, in thirds of a period: three heartbeats and a
     * third, so that one late heartbeat isn't a loss.
     */
    private static final long LOST_PERIOD_THIRDS = 10;

    private long mPeriodMs = MIN_PERIOD_MS;

    /**
     * Period for a controller.
     *
     * @param cells number of cells in the deployment
     * @param peers number of other VMs
     * @param cpuMillis processor of this VM, in thousandths of a core
     * @param stallMs longest recent stall of this VM, in ms
     */
    static long periodMs(int cells, int peers, int cpuMillis, long stallMs) {
        long receivedMs = (long) cells * MS_PER_S / MAX_RECEIVED_PER_S;
        long perS = Math.max(1, (long) MAX_SENT_PER_CORE_S * cpuMillis / MILLIS_PER_CORE);
        long sentMs = peers * (long) MS_PER_S / perS;
        long stallPeriodMs = Math.min(stallMs, MAX_STALL_PERIOD_MS);
        return Math.max(Math.max(MIN_PERIOD_MS, stallPeriodMs), Math.max(receivedMs, sentMs));
    }

    /**
     * Period that the other VMs can bear, in ms; short if they have enough processor.
     *
     * @param cells number of cells in the deployment
     * @param peerCpuMillis processor of the median VM, in thousandths of a core
     */
    static long weakReceiverPeriodMs(int cells, int peerCpuMillis) {
        long perS = Math.max(1, (long) RECEIVED_PER_CORE_S * peerCpuMillis / MILLIS_PER_CORE);
        return Math.min(MAX_WEAK_RECEIVER_PERIOD_MS, (long) cells * MS_PER_S / perS);
    }

    /** Time between two ticks of a VM that controls nothing, in ms. */
    long tickMs() {
        return Math.min(MAX_TICK_MS, mPeriodMs / TICKS_PER_PERIOD);
    }

    /** Sets the period that a controller has announced. */
    void periodAnnounced(long periodMs) {
        mPeriodMs = Math.max(MIN_PERIOD_MS, periodMs);
    }

    /** Silence after which the other VMs are notified that the controller is missing, in ms. */
    long missingAfterMs() {
        return MISSED_PERIODS * mPeriodMs;
    }

    /** Silence after which the controller counts as lost, in ms. */
    long lostAfterMs() {
        return LOST_PERIOD_THIRDS * mPeriodMs / 3;
    }
}
