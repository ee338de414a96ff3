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

    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);
    private static final StepRequest ONE = StepRequest.plain(1, 1_000, 100);

    /** By then the leases of a silent target are over. */
    private static final long LAPSED_MS = 6_000;

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

    /** A run's lease lapses, its task is started again, and then its end is reported. */
    @Nested
    final class AfterTheTaskWasStartedAgain {
        private CellAction.StartRun mLapsed;
        private CellAction.StartRun mAgain;

        private CellAction.StartRun lastStart() {
            return mCell.starts().get(mCell.starts().size() - 1);
        }

        private void lapseAndStartAgain(StepRequest... steps) {
            mCell.evacuate(0);
            mCell.begin(0, 7, FIRST, SECOND);
            mCell.listed(5, FIRST, SECOND);
            mCell.offer(10, JOB, steps);
            mLapsed = lastStart();
            TargetInfo other = mLapsed.target().equals(FIRST) ? SECOND : FIRST;
            mCell.take(12, mLapsed);
            for (long ms = 20; ms <= LAPSED_MS; ms += 10) {
                mCell.on(ms, new CellEvent.Ticked());
                if (mCell.starts().size() == 2) {
                    mCell.take(ms, lastStart());
                }
                if (ms % 100 == 0) {
                    mCell.report(ms, other.id(), atWorkOn(other), List.of());
                }
            }
            mAgain = lastStart();
            assertThat(mCell.starts()).hasSize(2);
            assertThat(mAgain.target().id()).isEqualTo(other.id());
        }

        private List<TargetReport.RunningRow> atWorkOn(TargetInfo target) {
            return mCell.starts().stream()
                    .filter(start -> start.target().id().equals(target.id()))
                    .map(start -> new TargetReport.RunningRow(start.task(), start.run(), 90))
                    .toList();
        }

        private void reportDone(long ms, CellAction.StartRun start) {
            TargetReport.EndedRow row = done(1, start.task(), start.run());
            mCell.report(ms, start.target().id(), List.of(), List.of(row));
        }

        /** Guards against the end of a run being dropped because its task was started again. */
        @Test
        void aTaskThatWasDoneBeforeItsRunWasTakenForLapsedIsDone() {
            lapseAndStartAgain(ONE);
            reportDone(LAPSED_MS + 10, mLapsed);
            mCell.ticks(LAPSED_MS + 20, LAPSED_MS + 200);
            TargetReport.EndedRow failed =
                    new TargetReport.EndedRow(1, TASK, mAgain.run(), EndCause.FAILED);
            mCell.report(LAPSED_MS + 210, mAgain.target().id(), List.of(), List.of(failed));
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /** Guards against a second run that holds room while nobody waits for it. */
        @Test
        void theSecondRunIsStopped() {
            lapseAndStartAgain(ONE);
            reportDone(LAPSED_MS + 10, mLapsed);
            List<CellAction.StopRun> stops = mCell.actions(CellAction.StopRun.class);
            assertThat(stops).isNotEmpty();
            CellAction.StopRun stop = stops.get(stops.size() - 1);
            assertThat(stop.target().id()).isEqualTo(mAgain.target().id());
            assertThat(stop.run()).isEqualTo(mAgain.run());
        }

        /** Guards against a job that stands still since the next step isn't looked at. */
        @Test
        void theNextStepStarts() {
            Optional<String> any = Optional.empty();
            StepRequest next = new StepRequest(1, 1_000, 0, 0, 100, List.of(0), any, any, 0);
            lapseAndStartAgain(ONE, next);
            reportDone(LAPSED_MS + 10, mLapsed);
            assertThat(mCell.starts()).hasSize(3);
            assertThat(lastStart().task().step()).isEqualTo(1);
            assertThat(mCell.verdicts()).isEmpty();
        }
    }
}
