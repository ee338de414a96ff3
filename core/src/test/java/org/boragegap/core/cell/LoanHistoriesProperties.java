package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragegap.core.HistoryTrace;

/**
 * Two cells with bursts in turn lend targets to each other while VMs are killed, paused and
 * disconnected, messages about loans are lost, delayed and delivered twice, and the store is
 * unavailable. In every history the guarantees to callers and targets must hold.
 */
final class LoanHistoriesProperties {
    private static final int SEEDS = 20;

    /** Guards against tasks that run twice at a time, and targets above their capacity. */
    @Property(tries = 1_000, seed = "18")
    void guaranteesHoldWithLoans(@ForAll long seed) {
        LoanHistory history = new LoanHistory(seed, HistoryTrace.NONE);
        assertWithMessage("seed %s", seed).that(history.play()).isEmpty();
    }

    /** Guards against histories in which nothing is lent, and which so prove nothing. */
    @Example
    void cellsBorrow() {
        int borrowedStarts = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            LoanHistory history = new LoanHistory(seed, HistoryTrace.NONE);
            assertWithMessage("seed %s", seed).that(history.playWithoutFaults()).isEmpty();
            assertThat(history.finished()).isAtLeast(1);
            borrowedStarts += history.borrowedStarts();
        }
        System.out.println("starts on borrowed targets, a history: " + borrowedStarts / SEEDS);
        assertThat(borrowedStarts).isAtLeast(SEEDS);
    }

    /** Guards against a run on a borrowed target that the next controller doesn't know of. */
    @Example
    void guaranteesHoldForSeedsThatOnceFailed() {
        long seed = -190138;
        LoanHistory history = new LoanHistory(seed, HistoryTrace.NONE);
        assertWithMessage("seed %s", seed).that(history.play()).isEmpty();
    }
}
