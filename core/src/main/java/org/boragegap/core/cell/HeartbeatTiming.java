package org.boragegap.core.cell;

/**
 * How often the controller of a cell is heard, and from which silence on it counts as missed.
 *
 * <p>The controller states its period in each heartbeat, so that a silence is judged by what was
 * promised. A constant period has two faults. Heartbeats of all cells to all VMs grow with their
 * product: at 300 VMs and 31 cells each VM would handle 400 a second. And a VM with an eighth of a
 * core is held up for longer than three short periods by its own work: two cells changed hands 13
 * times in ten seconds before any load.
 */
final class HeartbeatTiming {
    /** Shortest period, in ms: small deployments notice a lost controller within half a second. */
    private static final long MIN_PERIOD_MS = 150;

    /**
     * Heartbeats that one VM hears a second at the most. Each costs it two wake-ups and its answer,
     * some 0.2 ms, so less than a hundredth of a core, however many cells there are.
     */
    private static final int MAX_RECEIVED_PER_S = 40;

    /** Looks at the clock in a period: a silence is noticed a third of one late at the most. */
    private static final long TICKS_PER_PERIOD = 3;

    /**
     * Longest time between two looks at the clock, in ms: less than half of the 250 ms for which a
     * caller waits for a controller to be known.
     */
    private static final long MAX_TICK_MS = 100;

    /**
     * Heartbeats that a controller sends a second at the most, for each core that it has; by the
     * same cost a twentieth of its processor.
     */
    private static final int MAX_SENT_PER_CORE_S = 250;

    /**
     * Longest period that a controller states for its hold-ups, in ms. Its loss is noticed some
     * periods after: were it to state all of a long hold-up, the callers of its cell would be
     * refused for several times as long when it is lost.
     */
    private static final long MAX_STALL_PERIOD_MS = 600;

    private static final int MILLIS_PER_CORE = 1_000;
    private static final int MS_PER_S = 1_000;

    /** Silence in periods after which the others are told: 300 ms at the shortest period. */
    private static final long MISSED_PERIODS = 2;

    /** Thirds of a period: three heartbeats and a third, so that one that is late isn't a loss. */
    private static final long LOST_PERIOD_THIRDS = 10;

    private long mPeriodMs = MIN_PERIOD_MS;

    /**
     * Period for a controller.
     *
     * @param cells how many cells the deployment has
     * @param peers how many other VMs there are
     * @param cpuMillis processor of this VM, in thousandths of a core
     * @param heldUpMs longest time for which this VM was held up lately
     */
    static long periodMs(int cells, int peers, int cpuMillis, long heldUpMs) {
        long heardMs = (long) cells * MS_PER_S / MAX_RECEIVED_PER_S;
        long perS = Math.max(1, (long) MAX_SENT_PER_CORE_S * cpuMillis / MILLIS_PER_CORE);
        long sentMs = peers * (long) MS_PER_S / perS;
        long promisedMs = Math.min(heldUpMs, MAX_STALL_PERIOD_MS);
        return Math.max(Math.max(MIN_PERIOD_MS, promisedMs), Math.max(heardMs, sentMs));
    }

    /** How often a VM that controls nothing has to look at the clock, in ms. */
    long tickMs() {
        return Math.min(MAX_TICK_MS, mPeriodMs / TICKS_PER_PERIOD);
    }

    /** A controller has stated its period. */
    void periodAnnounced(long periodMs) {
        mPeriodMs = Math.max(MIN_PERIOD_MS, periodMs);
    }

    /** Silence after which the others are told that the controller is missed, in ms. */
    long missingAfterMs() {
        return MISSED_PERIODS * mPeriodMs;
    }

    /** Silence after which the controller counts as lost, in ms. */
    long lostAfterMs() {
        return LOST_PERIOD_THIRDS * mPeriodMs / 3;
    }
}
