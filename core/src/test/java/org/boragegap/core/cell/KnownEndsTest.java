package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What targets have reported to be done counts, whatever else is known of the job. */
final class KnownEndsTest {
    private static final String JOB = "00000000000000c1";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final TaskName NEXT_TASK = new TaskName(JOB, 0, 0, 1);
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);

    private final ScriptedCell mCell = new ScriptedCell();

    private static TargetReport.EndedRow done(long number, TaskName task, int run) {
        return new TargetReport.EndedRow(number, task, run, EndCause.DONE);
    }

    /** A term begins in which the target reports what ended under an earlier controller. */
    @Nested
    final class BeforeTheJobIsOffered {
        private void inherit(TargetReport.EndedRow... ended) {
            mCell.evacuate(0);
            mCell.on(0, new CellEvent.TermBegan(9, Optional.of(List.of(FIRST))));
            mCell.report(5, FIRST.id(), List.of(), List.of(ended));
            mCell.listed(6, FIRST);
        }

        /** Guards against a job being refused although all its tasks are known to be done. */
        @Test
        void aJobWhoseTasksAreKnownToBeDoneIsCompleted() {
            inherit(done(1, TASK, 1));
            mCell.evacuate(10, "a");
            mCell.offer(20, JOB, 1);
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /**
         * Guards against a job being failed for crashes although all its tasks are known to be
         * done.
         */
        @Test
        void aJobWhoseTasksAreKnownToBeDoneIsNotFailedForCrashes() {
            inherit(done(1, TASK, 3));
            mCell.on(10, new CellEvent.CrashTold(TASK, "t8", CrashEvidence.CONFIRMED));
            mCell.on(10, new CellEvent.CrashTold(TASK, "t9", CrashEvidence.CONFIRMED));
            mCell.offer(20, JOB, 1);
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /** Guards against an end that is forgotten when a first offer of the job is refused. */
        @Test
        void anEndIsStillKnownWhenTheJobIsOfferedAgain() {
            inherit(done(1, TASK, 1));
            mCell.on(8, new CellEvent.PredecessorsKnown(true));
            mCell.evacuate(10, "a");
            mCell.offer(20, JOB, 2);
            assertThat(mCell.starts()).isEmpty();
            mCell.evacuate(30);
            mCell.offer(40, JOB, 2);
            assertThat(mCell.starts().stream().map(CellAction.StartRun::task).toList())
                    .containsExactly(NEXT_TASK);
        }
    }
}
