package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragegap.core.HistoryTrace;

/**
 * The group assigns the cell anew at once, and lists no row for a member for a moment, while VMs
 * restart and all other failures occur. A new controller must not take what it hasn't heard of for
 * ended.
 */
final class ReassignedCellProperties {
    /** Guards against two controllers that run one task at the same time. */
    @Property(tries = 1_000, seed = "21")
    void noTaskRunsUnderTwoControllers(@ForAll long seed) {
        assertHolds(HistoryKind.REASSIGNMENTS_AND_RESTARTS, seed);
    }

    /** Guards against a wait for earlier leases that is shorter than the lease of the group. */
    @Property(tries = 1_000, seed = "22")
    void noTaskRunsUnderTwoControllersWithLongLease(@ForAll long seed) {
        assertHolds(HistoryKind.REASSIGNMENTS_WITH_LONG_LEASE, seed);
    }

    /**
     * Guards against two controllers when VMs that don't hear each other are named in turn, each
     * for a moment, so that the term of each goes on.
     */
    @Property(tries = 1_000, seed = "25")
    void guaranteesHoldWhenSplitVmsAreNamedInTurn(@ForAll long seed) {
        assertHolds(HistoryKind.SPLITS_WITH_REASSIGNMENTS, seed);
    }

    /** Guards against the same when a VM settles while the one that was named after it acts. */
    @Property(tries = 500, seed = "26")
    void guaranteesHoldWhenSplitVmsSettleInTurn(@ForAll long seed) {
        assertHolds(HistoryKind.SPLITS_WITH_PAIRS_OF_REASSIGNMENTS, seed);
    }

    /** Guards against a VM that settles by the clock while a later term extends the leases. */
    @Example
    void noTaskRunsTwiceWhenAVmSettlesBesideALaterTerm() {
        for (long seed : new long[] {94_011_173, 94_015_348}) {
            assertHolds(HistoryKind.SPLITS_WITH_PAIRS_OF_REASSIGNMENTS, seed);
        }
    }

    /** Guards against VMs that are named in turn: seeds of histories in which a task ran twice. */
    @Example
    void noTaskRunsTwiceWhenAVmIsNamedAgain() {
        for (long seed : new long[] {63_000_164, 63_000_403, 63_000_717, 63_000_816, 63_000_865}) {
            assertHolds(HistoryKind.SPLITS_WITH_REASSIGNMENTS, seed);
        }
    }

    /** Guards against two controllers when a VM is replaced between two of its own renewals. */
    @Example
    void noTaskRunsTwiceWhenAVmIsReplacedBetweenTwoRenewals() {
        assertHolds(HistoryKind.SPLITS_WITH_REASSIGNMENTS, 63_001_466);
    }

    /** Guards against a VM that is named again and refuses what the other one has started. */
    @Example
    void noStartedJobIsRefusedByAVmThatIsNamedAgain() {
        for (long seed : new long[] {63_000_870, 63_001_246}) {
            InvariantChecker seen =
                    HistoryKind.SPLITS_WITH_REASSIGNMENTS.play(seed, HistoryTrace.NONE);
            assertWithMessage("seed %s", seed).that(seen.falseRefusals()).isEmpty();
        }
    }

    /** Guards against a task that runs twice: seeds of histories in which one did. */
    @Example
    void guaranteesHoldForSeedsThatOnceFailed() {
        long[] seeds = {3_002_311, 3_000_075, 3_000_078, 3_002_876, 3_002_904, 20_015_429};
        for (long seed : seeds) {
            assertHolds(HistoryKind.REASSIGNMENTS_AND_RESTARTS, seed);
        }
        for (long seed : new long[] {3_002_023, 3_001_792, 3_000_365, 3_000_368}) {
            assertHolds(HistoryKind.REASSIGNMENTS_WITH_LONG_LEASE, seed);
        }
    }

    private static void assertHolds(HistoryKind kind, long seed) {
        assertWithMessage("seed %s", seed)
                .that(kind.play(seed, HistoryTrace.NONE).violations())
                .isEmpty();
    }
}
