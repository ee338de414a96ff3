package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tasks that targets have reported as done count as done, whatever else is known of the job. */
final class KnownEndsTest {
    private static final String JOB = "00000000000000c1";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final TaskName NEXT_TASK = new TaskName(JOB, 0, 0, 1);
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);

    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);
    private static final StepRequest ONE_TASK = StepRequest.cpuOnly(1, 1_000, 100);

    /** By this time the leases of an unresponsive target have expired, in ms. */
    private static final long LEASE_EXPIRED_MS = 6_000;

    private final ScriptedCell mCell = new ScriptedCell();

    private static TargetReport.EndedRun done(long number, TaskName task, int run) {
        return new TargetReport.EndedRun(number, task, run, EndCause.DONE);
    }

    /** A target reports in a new term what ended under an earlier controller. */
    @Nested
    final class BeforeTheJobIsOffered {
        private void inherit(TargetReport.EndedRun... ended) {
            mCell.evacuate(0);
            mCell.on(0, new CellEvent.TermBegan(9, Optional.of(List.of(FIRST))));
            mCell.report(5, FIRST.id(), List.of(), List.of(ended));
            mCell.listed(6, FIRST);
        }

        /** Guards against the refusal of a job although all its tasks are known to be done. */
        @Test
        void aJobWhoseTasksAreKnownToBeDoneIsCompleted() {
            inherit(done(1, TASK, 1));
            mCell.evacuate(10, "a");
            mCell.offer(20, JOB, 1);
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /**
         * Guards against a job that is ended for crashes although all its tasks are known to be
         * done.
         */
        @Test
        void aJobWhoseTasksAreKnownToBeDoneIsNotFailedForCrashes() {
            inherit(done(1, TASK, 3));
            mCell.on(10, new CellEvent.CrashReported(TASK, "t8", CrashEvidence.CONFIRMED));
            mCell.on(10, new CellEvent.CrashReported(TASK, "t9", CrashEvidence.CONFIRMED));
            mCell.offer(20, JOB, 1);
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /** Guards against losing a reported end when the first offer of its job is refused. */
        @Test
        void anEndIsStillKnownWhenTheJobIsOfferedAgain() {
            inherit(done(1, TASK, 1));
            mCell.on(8, new CellEvent.PredecessorsKnown());
            mCell.evacuate(10, "a");
            mCell.offer(20, JOB, 2);
            assertThat(mCell.starts()).isEmpty();
            mCell.evacuate(30);
            mCell.offer(40, JOB, 2);
            assertThat(mCell.starts().stream().map(CellAction.StartRun::task).toList())
                    .containsExactly(NEXT_TASK);
        }
    }

    /**
     * The lease of a run expires, its task is started again, and then the end of the run is
     * reported.
     */
    @Nested
    final class AfterTheTaskWasStartedAgain {
        private CellAction.StartRun mExpiredStart;
        private CellAction.StartRun mSecondStart;

        private CellAction.StartRun lastStart() {
            return mCell.starts().get(mCell.starts().size() - 1);
        }

        private void expireLeaseAndRestart(StepRequest... steps) {
            mCell.evacuate(0);
            mCell.begin(0, 7, FIRST, SECOND);
            mCell.listed(5, FIRST, SECOND);
            mCell.offer(10, JOB, steps);
            mExpiredStart = lastStart();
            TargetInfo otherTarget = mExpiredStart.target().equals(FIRST) ? SECOND : FIRST;
            mCell.acceptStart(12, mExpiredStart);
            for (long ms = 20; ms <= LEASE_EXPIRED_MS; ms += 10) {
                mCell.on(ms, new CellEvent.Ticked());
                if (mCell.starts().size() == 2) {
                    mCell.acceptStart(ms, lastStart());
                }
                if (ms % 100 == 0) {
                    mCell.report(ms, otherTarget.id(), runningOn(otherTarget), List.of());
                }
            }
            mSecondStart = lastStart();
            assertThat(mCell.starts()).hasSize(2);
            assertThat(mSecondStart.target().id()).isEqualTo(otherTarget.id());
        }

        private List<TargetReport.ActiveRun> runningOn(TargetInfo target) {
            return mCell.starts().stream()
                    .filter(start -> start.target().id().equals(target.id()))
                    .map(start -> new TargetReport.ActiveRun(start.task(), start.run(), 90))
                    .toList();
        }

        private void reportDone(long ms, CellAction.StartRun start) {
            TargetReport.EndedRun row = done(1, start.task(), start.run());
            mCell.report(ms, start.target().id(), List.of(), List.of(row));
        }

        /** Guards against ignoring the end of a run because its task was started again. */
        @Test
        void aTaskReportedDoneAfterItsLeaseExpiredIsDone() {
            expireLeaseAndRestart(ONE_TASK);
            reportDone(LEASE_EXPIRED_MS + 10, mExpiredStart);
            mCell.ticks(LEASE_EXPIRED_MS + 20, LEASE_EXPIRED_MS + 200);
            TargetReport.EndedRun failed =
                    new TargetReport.EndedRun(1, TASK, mSecondStart.run(), EndCause.FAILED);
            mCell.report(
                    LEASE_EXPIRED_MS + 210, mSecondStart.target().id(), List.of(), List.of(failed));
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /** Guards against a second run that keeps its capacity although its task is done. */
        @Test
        void theSecondRunIsStopped() {
            expireLeaseAndRestart(ONE_TASK);
            reportDone(LEASE_EXPIRED_MS + 10, mExpiredStart);
            List<CellAction.StopRun> stops = mCell.actions(CellAction.StopRun.class);
            assertThat(stops).isNotEmpty();
            CellAction.StopRun stop = stops.get(stops.size() - 1);
            assertThat(stop.target().id()).isEqualTo(mSecondStart.target().id());
            assertThat(stop.run()).isEqualTo(mSecondStart.run());
        }

        /** Guards against a job that stalls because its next step is not scheduled. */
        @Test
        void theNextStepStarts() {
            Optional<String> any = Optional.empty();
            StepRequest next = new StepRequest(1, 1_000, 0, 0, 100, List.of(0), any, any, 0);
            expireLeaseAndRestart(ONE_TASK, next);
            reportDone(LEASE_EXPIRED_MS + 10, mExpiredStart);
            assertThat(mCell.starts()).hasSize(3);
            assertThat(lastStart().task().step()).isEqualTo(1);
            assertThat(mCell.verdicts()).isEmpty();
        }
    }
}
