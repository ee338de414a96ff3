package org.boragegap.core.dispatch;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Runs simulated histories in which clients submit their jobs again to other entry VMs, while entry
 * VMs are killed, replaced, paused and disconnected, and the log is slow, unavailable, or past its
 * retention. In all of them no task starts twice, every answer has all results or is a failure, and
 * nothing had run of a submission that was answered as not run.
 */
final class HistoriesProperties {
    private static final int HISTORIES_PER_TRY = Integer.getInteger("boragegap.histories", 100);
    private static final Long ONE_SEED = Long.getLong("boragegap.seed");

    @Property(
            tries = 100,
            seed = "20261202",
            shrinking = ShrinkingMode.OFF,
            edgeCases = EdgeCasesMode.NONE)
    void noHistoryViolatesAGuarantee(@ForAll long first) {
        if (ONE_SEED != null) {
            check(ONE_SEED);
            return;
        }
        for (int i = 0; i < HISTORIES_PER_TRY; i++) {
            check(first + i);
        }
    }

    /**
     * Guards against a submission being started by two VMs when the platform's list lacks running
     * VMs that another one can't reach.
     */
    @Property(
            tries = 100,
            seed = "20261203",
            shrinking = ShrinkingMode.OFF,
            edgeCases = EdgeCasesMode.NONE)
    void noHistoryWithAnUnreliableListViolatesAGuarantee(@ForAll long first) {
        if (ONE_SEED != null) {
            check(ONE_SEED, History.withUnreliableList(ONE_SEED));
            return;
        }
        for (int i = 0; i < HISTORIES_PER_TRY; i++) {
            check(first + i, History.withUnreliableList(first + i));
        }
    }

    private static void check(long seed) {
        check(seed, new History(seed));
    }

    private static void check(long seed, History history) {
        List<String> violations = history.run();
        assertWithMessage("run again: mvn -pl core test -Dboragegap.seed=%s", seed)
                .that(violations)
                .isEmpty();
    }
}
