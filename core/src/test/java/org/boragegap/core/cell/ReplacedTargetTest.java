package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * A target was replaced by another incarnation, and an answer to a start is the first to say so.
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

        /** Guards against a task ordered again and again to an incarnation that is gone. */
        @Test
        void theTaskGoesToAnotherTarget() {
            mCell.answer(12, mStart, OrderResult.OTHER_INCARNATION);
            List<String> startedOn = mCell.startedOn();
            assertThat(startedOn).hasSize(2);
            assertThat(startedOn.get(1)).isNotEqualTo(startedOn.get(0));
        }

        /** Guards against the order that told of the replacement being counted as a crash. */
        @Test
        void theOrderIsNoCrash() {
            mCell.answer(12, mStart, OrderResult.OTHER_INCARNATION);
            assertThat(mCell.actions(CellAction.TellCrash.class)).isEmpty();
        }
    }

    @Nested
    class AnotherTaskRunsThere {
        private static final String OTHER_JOB = "00000000000000d2";

        /** Guards against a caller waiting for a run that is known to be gone with its target. */
        @Test
        void theLostRunStartsElsewhereAtOnce() {
            mCell.offer(10, OTHER_JOB, 1);
            CellAction.StartRun lost = mCell.starts().get(0);
            mCell.take(12, lost);
            mCell.offer(20, JOB, 3);
            CellAction.StartRun replaced =
                    mCell.starts().stream()
                            .filter(start -> start.task().job().equals(JOB))
                            .filter(start -> start.target().equals(lost.target()))
                            .findFirst()
                            .orElseThrow();
            mCell.forget();
            mCell.answer(25, replaced, OrderResult.OTHER_INCARNATION);
            assertThat(mCell.actions(CellAction.TellCrash.class))
                    .containsExactly(
                            new CellAction.TellCrash(
                                    lost.task(), lost.target().id(), CrashEvidence.CONFIRMED));
            assertThat(mCell.startedOn()).doesNotContain(lost.target().id());
        }
    }
}
