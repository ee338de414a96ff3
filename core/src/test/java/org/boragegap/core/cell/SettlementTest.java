package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a term may start tasks beside those that earlier terms have started. */
final class SettlementTest {
    private static final String JOB = "00000000000000d1";
    private static final String LATER_JOB = "00000000000000d2";
    private static final TargetInfo FREE = ScriptedCell.target("t1", "x:1", "a", 1_000);
    private static final TargetInfo BUSY = ScriptedCell.target("t2", "x:2", "a", 1_000);
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);

    private final ScriptedCell mCell = new ScriptedCell();

    /**
     * Begins a term for which no VM knows of an earlier controller; only the first target has
     * reported.
     */
    private void begin(TargetInfo free, TargetInfo busy) {
        mCell.evacuate(0);
        mCell.on(0, new CellEvent.TermBegan(7, Optional.of(List.of(free, busy))));
        mCell.on(1, new CellEvent.PredecessorsKnown());
        mCell.listed(2, free, busy);
        mCell.report(3, free.id(), List.of(), List.of());
        mCell.offer(4, JOB, 1);
    }

    private void reportRun(long ms, String target) {
        TargetReport.ActiveRun run = new TargetReport.ActiveRun(TASK, 1, 50);
        mCell.report(ms, target, List.of(run), List.of());
    }

    /** Offers a job late enough that it still waits when the lease ends. */
    private void assertStartsOnlyAfterALeaseOf3S() {
        mCell.ticks(10, 2_900);
        mCell.report(2_902, "t1", List.of(), List.of());
        mCell.offer(2_905, LATER_JOB, 1);
        mCell.ticks(2_910, 3_100);
        assertThat(mCell.starts()).isEmpty();
        mCell.ticks(3_110, 3_200);
        assertThat(mCell.startedOn()).containsExactly("t1");
    }

    @Nested
    class TargetThatHasNotReported {
        /** Guards against a task that runs twice, under an earlier controller and this one. */
        @Test
        void isAskedBeforeATaskStarts() {
            begin(FREE, BUSY);
            assertThat(mCell.starts()).isEmpty();
            reportRun(8, "t2");
            mCell.ticks(10, 50);
            assertThat(mCell.starts()).isEmpty();
        }

        /** Guards against callers that wait for a target that doesn't answer at all. */
        @Test
        void isWaitedForUntilEarlierLeasesHaveExpired() {
            begin(FREE, BUSY);
            mCell.ticks(10, 1_120);
            assertThat(mCell.starts()).isEmpty();
            mCell.ticks(1_130, 1_130);
            assertThat(mCell.startedOn()).containsExactly("t1");
        }

        /**
         * Guards against a task that runs twice: the group keeps a silent member for 3 s, and an
         * earlier controller that reaches the target extends its lease as long.
         */
        @Test
        void isWaitedForUntilTheLeaseOfTheGroupHasExpired() {
            mCell.groupLeaseMs(3_000);
            begin(FREE, BUSY);
            assertStartsOnlyAfterALeaseOf3S();
        }

        /**
         * Guards against a task that runs twice: the target was taken off the platform's list, and
         * forgotten before the leases of earlier controllers had expired.
         */
        @Test
        void isWaitedForIfItIsNoLongerListed() {
            mCell.groupLeaseMs(3_000);
            begin(FREE, BUSY);
            mCell.listed(6, FREE);
            assertStartsOnlyAfterALeaseOf3S();
        }

        /** Guards against leases that a later controller extends before they have expired. */
        @Test
        void isWaitedForUntilTheTermIsConfirmedAfterThat() {
            begin(FREE, BUSY);
            mCell.lastConfirmed(1_120);
            mCell.ticks(10, 1_250);
            assertThat(mCell.starts()).isEmpty();
            assertThat(mCell.controller().awaitsConfirmation()).isTrue();
            mCell.lastConfirmed(1_260);
            mCell.ticks(1_260, 1_260);
            assertThat(mCell.startedOn()).containsExactly("t1");
        }

        /** Guards against a lost connection that is taken for the end of what runs there. */
        @Test
        void isWaitedForWhenNoConnectionIsEstablished() {
            begin(FREE, BUSY);
            mCell.refused(8, "t2");
            mCell.ticks(10, 1_120);
            assertThat(mCell.starts()).isEmpty();
            mCell.ticks(1_130, 1_130);
            assertThat(mCell.startedOn()).containsExactly("t1");
        }

        /**
         * Guards against a task that is started beside its earlier run: a delayed lease call has
         * extended the lease of a restarted target beyond the term that sent the call.
         */
        @Test
        void isAskedIfItMayHaveRestarted() {
            begin(FREE.withIncarnation(1), BUSY.withIncarnation(2));
            assertThat(mCell.starts()).isEmpty();
            reportRun(8, "t2");
            mCell.ticks(10, 50);
            assertThat(mCell.starts()).isEmpty();
        }
    }

    @Nested
    class ListOfTargets {
        /**
         * Guards against a task that runs twice: the platform's list misses a target for a while,
         * and no controller has announced its targets to this VM.
         */
        @Test
        void isNotTrustedAlone() {
            mCell.evacuate(0);
            mCell.on(0, new CellEvent.TermBegan(7, Optional.empty()));
            mCell.listed(1, FREE);
            mCell.on(2, new CellEvent.PredecessorsKnown());
            mCell.report(3, "t1", List.of(), List.of());
            mCell.offer(4, JOB, 1);
            mCell.ticks(10, 1_000);
            assertThat(mCell.starts()).isEmpty();
        }

        /** Guards against targets that only a controller used which this VM has not heard. */
        @Test
        void isReadBeforeATaskStarts() {
            mCell.evacuate(0);
            mCell.on(0, new CellEvent.TermBegan(7, Optional.of(List.of(FREE))));
            mCell.on(1, new CellEvent.PredecessorsKnown());
            mCell.report(3, "t1", List.of(), List.of());
            mCell.offer(4, JOB, 1);
            mCell.ticks(10, 50);
            assertThat(mCell.starts()).isEmpty();
            mCell.listed(60, FREE, BUSY);
            reportRun(65, "t2");
            mCell.ticks(70, 100);
            assertThat(mCell.starts()).isEmpty();
        }
    }
}
