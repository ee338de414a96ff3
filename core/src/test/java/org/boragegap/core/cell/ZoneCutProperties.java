package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragegap.core.HistoryTrace;

/**
 * Zones of any size are cut off from the others and from the store, one after the other, while all
 * other failures occur.
 */
final class ZoneCutProperties {
    /** Guards against two controllers, and against a refusal of what another one has started. */
    @Property(tries = 1_000, seed = "23")
    void guaranteesHoldWhenZonesAreCutOff(@ForAll long seed) {
        assertHolds(HistoryKind.ZONE_CUTS, seed);
    }

    /** Guards against the same where tasks outlast the wait of the later controller. */
    @Property(tries = 1_000, seed = "24")
    void guaranteesHoldWhenZonesAreCutOffDuringLongRuns(@ForAll long seed) {
        assertHolds(HistoryKind.ZONE_CUTS_WITH_LONG_RUNS, seed);
    }

    /** Guards against two controllers that run one long task: seeds of histories with two. */
    @Example
    void noLongTaskRunsTwiceForSeedsThatOnceFailed() {
        for (long seed : new long[] {62_000_027, 62_000_194, 62_000_368, 62_000_894, 62_001_541}) {
            assertHolds(HistoryKind.ZONE_CUTS_WITH_LONG_RUNS, seed);
        }
    }

    /**
     * Guards against a controller that takes a silent target's lease for ended which a later one
     * has extended: the cut moves, and a VM that has followed the first one is assigned the cell.
     */
    @Example
    void noTaskRunsTwiceWhenTheCutMoves() {
        assertHolds(HistoryKind.ZONE_CUTS, 61_000_817);
    }

    /** Guards against two controllers when the zone with most VMs is cut off with the first one. */
    @Example
    void noTaskRunsTwiceForSeedsThatOnceFailed() {
        long[] seeds = {
            60_000_123, 60_000_857, 60_001_260, 60_001_516, 60_001_953, 61_000_708, 61_001_389
        };
        for (long seed : seeds) {
            assertHolds(HistoryKind.ZONE_CUTS, seed);
        }
    }

    /** Guards against a refusal by one of two controllers of what the other one has started. */
    @Example
    void noStartedJobIsRefusedForSeedsThatOnceFailed() {
        for (long seed : new long[] {60_000_640, 60_001_014, 60_001_131, 60_001_504, 61_001_217}) {
            assertHolds(HistoryKind.ZONE_CUTS, seed);
        }
    }

    private static void assertHolds(HistoryKind kind, long seed) {
        InvariantChecker seen = kind.play(seed, HistoryTrace.NONE);
        assertWithMessage("seed %s", seed).that(seen.violations()).isEmpty();
        assertWithMessage("seed %s", seed).that(seen.falseRefusals()).isEmpty();
    }
}
