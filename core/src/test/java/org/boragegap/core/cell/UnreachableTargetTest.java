package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A target's process has died: its VM refuses each connection. */
final class UnreachableTargetTest {
    private static final String JOB = "00000000000000e1";
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);
    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);

    /** The length of a lease on a clock that is 2% slow, plus the time for some calls, in ms. */
    private static final long LEASE_EXPIRED_MS = 1_500;

    private final ScriptedCell mCell = new ScriptedCell();
    private CellAction.StartRun mStart;

    @BeforeEach
    void begin() {
        mCell.evacuate(0);
        mCell.begin(0, 7, FIRST, SECOND);
        mCell.listed(5, FIRST, SECOND);
        mCell.offer(10, JOB, 1);
        mStart = mCell.starts().get(0);
        mCell.acceptStart(12, mStart);
    }

    private void refuseConnectionsUntil(long untilMs) {
        TargetInfo other = mStart.target().equals(FIRST) ? SECOND : FIRST;
        for (long ms = 20; ms <= untilMs; ms += 10) {
            mCell.refused(ms, mStart.target().id());
            mCell.on(ms, new CellEvent.Ticked());
            if (ms % 100 == 0) {
                mCell.report(ms, other.id(), List.of(), List.of());
            }
        }
    }

    /**
     * Guards against runs that are never restarted because calls that were not sent extend their
     * lease.
     */
    @Test
    void runsRestartElsewhereAfterLeaseExpiry() {
        refuseConnectionsUntil(LEASE_EXPIRED_MS);
        assertThat(mCell.starts()).hasSize(2);
        assertThat(mCell.startedOn()).containsNoDuplicates();
    }

    /** Guards against sending orders again and again to a target that accepts no connection. */
    @Test
    void unreachableTargetGetsNoWork() {
        refuseConnectionsUntil(300);
        mCell.clearActions();
        mCell.offer(310, "00000000000000e2", 2);
        assertThat(mCell.startedOn()).doesNotContain(mStart.target().id());
    }

    /**
     * Guards against a healthy target that stays unused when it is reachable again after a network
     * partition.
     */
    @Test
    void targetIsUsedAgainOnceItAnswers() {
        refuseConnectionsUntil(300);
        mCell.ticks(310, 420);
        TargetReport.ActiveRun activeRun =
                new TargetReport.ActiveRun(mStart.task(), mStart.run(), 50);
        mCell.report(430, mStart.target().id(), List.of(activeRun), List.of());
        mCell.clearActions();
        mCell.offer(440, "00000000000000e2", 3);
        assertThat(mCell.startedOn()).contains(mStart.target().id());
    }
}
