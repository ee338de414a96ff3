package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * A target is replaced by another incarnation; in some cases the answer to a start is the first
 * sign of it.
 */
final class ReplacedTargetTest {
    private static final String JOB = "00000000000000d1";
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);
    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);

    private final ScriptedCell mCell = new ScriptedCell();

    @BeforeEach
    void begin() {
        mCell.evacuate(0);
        mCell.begin(0, 7, FIRST, SECOND);
        mCell.listed(5, FIRST, SECOND);
    }

    @Nested
    class OneTaskOrdered {
        private CellAction.StartRun mStart;

        @BeforeEach
        void order() {
            mCell.offer(10, JOB, 1);
            mStart = mCell.starts().get(0);
        }

        /**
         * Guards against sending the start of a task again and again to an incarnation that is
         * gone.
         */
        @Test
        void taskStartsOnAnotherTarget() {
            mCell.answer(12, mStart, OrderResult.OTHER_INCARNATION);
            List<String> startedOn = mCell.startedOn();
            assertThat(startedOn).hasSize(2);
            assertThat(startedOn.get(1)).isNotEqualTo(startedOn.get(0));
        }

        /** Guards against counting the start that revealed the replacement as a crash. */
        @Test
        void orderIsNotACrash() {
            mCell.answer(12, mStart, OrderResult.OTHER_INCARNATION);
            assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
        }
    }

    @Nested
    class AnotherTaskRunsThere {
        private static final String OTHER_JOB = "00000000000000d2";

        /** Guards against a caller waiting for a run that is known to be lost with its target. */
        @Test
        void lostRunRestartsElsewhereImmediately() {
            mCell.offer(10, OTHER_JOB, 1);
            CellAction.StartRun lost = mCell.starts().get(0);
            mCell.acceptStart(12, lost);
            mCell.offer(20, JOB, 3);
            CellAction.StartRun replaced =
                    mCell.starts().stream()
                            .filter(start -> start.task().job().equals(JOB))
                            .filter(start -> start.target().equals(lost.target()))
                            .findFirst()
                            .orElseThrow();
            mCell.clearActions();
            mCell.answer(25, replaced, OrderResult.OTHER_INCARNATION);
            assertThat(mCell.actions(CellAction.BroadcastCrash.class))
                    .containsExactly(
                            new CellAction.BroadcastCrash(
                                    lost.task(), lost.target().id(), CrashEvidence.CONFIRMED));
            assertThat(mCell.startedOn()).doesNotContain(lost.target().id());
        }
    }

    @Nested
    class AllTargetsReplaced {
        /**
         * Guards against refusing a job as impossible to place while all targets that could hold it
         * restart.
         */
        @Test
        void jobWaitsForSuccessors() {
            mCell.answerAsReplacement(100, FIRST.id());
            mCell.answerAsReplacement(100, SECOND.id());
            mCell.offer(110, JOB, 1);
            assertThat(mCell.verdicts()).isEmpty();
            TargetInfo successor = ScriptedCell.target("t9", FIRST.address(), "a", 2_000);
            mCell.listed(500, successor);
            mCell.report(510, successor.id(), List.of(), List.of());
            mCell.ticks(520, 800);
            assertThat(mCell.startedOn()).containsExactly("t9");
        }

        /** Guards against a job that waits for targets that don't come back. */
        @Test
        void jobIsDeclinedWhenNoSuccessorComes() {
            mCell.answerAsReplacement(100, FIRST.id());
            mCell.answerAsReplacement(100, SECOND.id());
            mCell.ticks(110, 2_700);
            mCell.offer(2_710, JOB, 1);
            assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
        }
    }

    @Nested
    class Successor {
        private static final long LEASE_EXPIRED_MS = 7_000;
        private static final TargetInfo SUCCESSOR = ScriptedCell.target("t9", "x:1", "a", 2_000);

        /**
         * The first target is replaced; its successor accepts a task and is unresponsive until its
         * lease expires.
         */
        private void runOnSuccessorUntilLeaseExpires() {
            mCell.answerAsReplacement(10, FIRST.id());
            mCell.listed(20, ScriptedCell.leaving(SECOND), SUCCESSOR);
            mCell.report(30, SUCCESSOR.id(), List.of(), List.of());
            mCell.on(300, new CellEvent.Ticked());
            mCell.report(310, SUCCESSOR.id(), List.of(), List.of());
            mCell.offer(320, JOB, 1);
            CellAction.StartRun start = mCell.starts().get(0);
            assertThat(start.target().id()).isEqualTo(SUCCESSOR.id());
            mCell.acceptStart(330, start);
            mCell.ticks(340, LEASE_EXPIRED_MS);
            mCell.clearActions();
        }

        /** Guards against taking the list entry of a replaced target for a later incarnation. */
        @Test
        void stalePredecessorEntryDoesNotReplaceSuccessor() {
            runOnSuccessorUntilLeaseExpires();
            mCell.listed(LEASE_EXPIRED_MS + 10, FIRST, SECOND, SUCCESSOR);
            assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
        }

        /** Guards against taking a target for crashed because of its own answer. */
        @Test
        void successorAnsweringForPredecessorHasNotCrashed() {
            mCell.ticks(20, 3_000);
            mCell.listed(3_010, FIRST, SECOND, SUCCESSOR);
            mCell.report(3_020, SUCCESSOR.id(), List.of(), List.of());
            mCell.on(3_300, new CellEvent.Ticked());
            mCell.report(3_310, SUCCESSOR.id(), List.of(), List.of());
            mCell.offer(3_320, JOB, 1);
            CellAction.StartRun start = mCell.starts().get(0);
            assertThat(start.target().id()).isEqualTo(SUCCESSOR.id());
            mCell.acceptStart(3_330, start);
            mCell.ticks(3_340, 9_000);
            mCell.answerAsReplacement(9_010, FIRST.id());
            assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
        }

        /** Guards against calling a replaced target for as long as the list contains it. */
        @Test
        void nothingIsSentToReplacedTarget() {
            mCell.answerAsReplacement(10, FIRST.id());
            int calls = mCell.actions(CellAction.ExtendLease.class).size();
            mCell.listed(20, FIRST, SECOND);
            assertThat(mCell.actions(CellAction.ExtendLease.class)).hasSize(calls);
        }
    }
}
