package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A target restarts under the same id. Its first incarnation is number 1, its second number 2. */
final class RestartedTargetTest {
    private static final String JOB = "00000000000000d1";
    private static final String OTHER_JOB = "00000000000000d2";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final TargetInfo FIRST =
            ScriptedCell.target("t1", "x:1", "a", 2_000).withIncarnation(1);
    private static final TargetInfo OTHER =
            ScriptedCell.target("t2", "x:2", "a", 1_000).withIncarnation(1);

    private final ScriptedCell mCell = new ScriptedCell();

    @BeforeEach
    void begin() {
        mCell.evacuate(0);
    }

    private void beginWith(TargetInfo... targets) {
        mCell.begin(0, 7, targets);
        mCell.listed(5, targets);
    }

    /** The incarnation answers the last lease call to the target. */
    private void report(
            long ms,
            long incarnation,
            List<TargetReport.ActiveRun> running,
            List<TargetReport.EndedRun> ended) {
        TargetReport report = new TargetReport(ms, running, ended, incarnation);
        mCell.on(ms, new CellEvent.LeaseExtended("t1", lastCall().call(), report));
    }

    private void report(long ms, long incarnation, TargetReport.ActiveRun... running) {
        report(ms, incarnation, List.of(running), List.of());
    }

    private CellAction.ExtendLease lastCall() {
        List<CellAction.ExtendLease> calls =
                mCell.actions(CellAction.ExtendLease.class).stream()
                        .filter(call -> call.target().id().equals("t1"))
                        .toList();
        return calls.get(calls.size() - 1);
    }

    private void answerStart(
            long ms, CellAction.StartRun start, OrderResult result, long incarnation) {
        mCell.on(
                ms,
                new CellEvent.StartAnswered(
                        start.target().id(),
                        start.task(),
                        start.run(),
                        start.fence(),
                        result,
                        incarnation));
    }

    private void acknowledgeStop(long ms, CellAction.StopRun stop, long incarnation) {
        mCell.on(ms, new CellEvent.StopAnswered("t1", stop.task(), stop.run(), true, incarnation));
    }

    /** The new incarnation acknowledges the stop and then reports that nothing runs there. */
    private void rejectStart(long ms) {
        acknowledgeStop(ms, lastStop(), 2);
        report(ms + 5, 2);
        mCell.ticks(ms + 10, ms + 10);
        report(ms + 15, 2);
        mCell.ticks(ms + 20, ms + 30);
    }

    private CellAction.StopRun lastStop() {
        List<CellAction.StopRun> stops = mCell.actions(CellAction.StopRun.class);
        return stops.get(stops.size() - 1);
    }

    private static TargetReport.ActiveRun active(CellAction.StartRun start) {
        return new TargetReport.ActiveRun(start.task(), start.run(), 50);
    }

    @Nested
    class TaskRuns {
        private CellAction.StartRun mStart;

        @BeforeEach
        void start() {
            beginWith(FIRST);
            mCell.offer(10, JOB, 1);
            mStart = mCell.starts().get(0);
            answerStart(12, mStart, OrderResult.DONE, 1);
            report(20, 1, List.of(), List.of(end(57, OTHER_JOB, 1)));
            mCell.ticks(25, 40);
        }

        private TargetReport.EndedRun end(long number, String job, int run) {
            return new TargetReport.EndedRun(
                    number, new TaskName(job, 0, 0, 0), run, EndCause.DONE);
        }

        /** Guards against an end that is dropped because its number is below the old cursor. */
        @Test
        void endsWithLowNumbersAreNotLost() {
            report(50, 2);
            report(55, 2);
            mCell.ticks(60, 100);
            CellAction.StartRun again = mCell.starts().get(1);
            report(110, 2, List.of(), List.of(end(1, JOB, again.run())));
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /** Guards against ends that the new incarnation discards and never reports. */
        @Test
        void firstCallAcknowledgesNothing() {
            assertThat(lastCall().acknowledged()).isEqualTo(57);
            report(50, 2);
            assertThat(lastCall().acknowledged()).isEqualTo(0);
            assertThat(lastCall().untilMs()).isEqualTo(0);
        }

        /** Guards against a caller that waits for a run that the restart has ended. */
        @Test
        void lostRunStartsAgainAndIsACrash() {
            mCell.clearActions();
            report(50, 2);
            assertThat(mCell.actions(CellAction.BroadcastCrash.class))
                    .containsExactly(
                            new CellAction.BroadcastCrash(
                                    mStart.task(), "t1@1", CrashEvidence.CONFIRMED));
            report(55, 2);
            mCell.ticks(60, 100);
            assertThat(mCell.startedOn()).containsExactly("t1");
        }

        /** Guards against counting the second crash under the same id as the first one. */
        @Test
        void eachIncarnationThatTheTaskCrashesCounts() {
            report(50, 2);
            report(55, 2);
            mCell.ticks(60, 100);
            answerStart(102, mCell.starts().get(1), OrderResult.DONE, 2);
            report(120, 3);
            assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
        }

        /** Guards against a restart that is seen only when the target answers a call. */
        @Test
        void listedIncarnationReplacesTheEarlierOne() {
            mCell.listed(50, FIRST.withIncarnation(2));
            assertThat(lastCall().acknowledged()).isEqualTo(0);
            assertThat(mCell.actions(CellAction.BroadcastCrash.class)).hasSize(1);
        }

        /** Guards against a list that was read before the restart and takes it back. */
        @Test
        void outdatedListChangesNothing() {
            report(50, 2);
            mCell.clearActions();
            mCell.listed(60, FIRST);
            mCell.listed(70, FIRST.withIncarnation(0));
            assertThat(mCell.actions(CellAction.BroadcastTargets.class))
                    .containsExactly(
                            new CellAction.BroadcastTargets(List.of(FIRST.withIncarnation(2))));
            assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
        }

        /** Guards against work for the new incarnation on the word of the earlier one. */
        @Test
        void lateAnswersOfTheEarlierIncarnationChangeNothing() {
            long earlierCall = lastCall().call();
            report(50, 2);
            report(55, 2);
            mCell.ticks(60, 100);
            CellAction.StartRun again = mCell.starts().get(1);
            mCell.clearActions();
            TargetReport late =
                    new TargetReport(90_000, List.of(), List.of(end(1, JOB, again.run())), 1);
            mCell.on(110, new CellEvent.LeaseExtended("t1", earlierCall, late));
            mCell.on(110, new CellEvent.LeaseExtended("t1", lastCall().call(), late));
            answerStart(111, again, OrderResult.NOT_RUN, 1);
            answerStart(112, mStart, OrderResult.FENCED, 1);
            assertThat(mCell.actions(CellAction.class))
                    .isEqualTo(mCell.actions(CellAction.ExtendLease.class));
        }
    }

    @Nested
    class StartIsUnanswered {
        private CellAction.StartRun mStart;

        @BeforeEach
        void start() {
            beginWith(FIRST);
            mCell.offer(10, JOB, 1);
            mStart = mCell.starts().get(0);
            report(20, 2);
        }

        /** Guards against a delayed start that runs beside the next run of its task. */
        @Test
        void taskWaitsUntilTheNewIncarnationRejectsTheStart() {
            mCell.listed(25, FIRST.withIncarnation(2), OTHER);
            mCell.report(26, "t2", List.of(), List.of());
            report(30, 2);
            mCell.ticks(35, 65);
            assertThat(mCell.starts()).hasSize(1);
            rejectStart(70);
            assertThat(mCell.starts()).hasSize(2);
        }

        /** Guards against a stop that only the earlier incarnation has acknowledged. */
        @Test
        void stopOfTheEarlierIncarnationIsIgnored() {
            report(30, 2);
            acknowledgeStop(40, lastStop(), 1);
            mCell.ticks(50, 60);
            report(65, 2);
            mCell.ticks(70, 90);
            assertThat(mCell.starts()).hasSize(1);
        }

        /** Guards against a second start of a task that the new incarnation has started. */
        @Test
        void startThatTheNewIncarnationCarriesOutRunsOn() {
            answerStart(25, mStart, OrderResult.DONE, 2);
            report(30, 2, active(mStart));
            mCell.ticks(35, 200);
            assertThat(mCell.starts()).hasSize(1);
            assertThat(mCell.actions(CellAction.StopRun.class)).isEmpty();
        }

        /** Guards against a start that takes the target over its capacity when it arrives. */
        @Test
        void targetGetsNoWorkUntilTheStartIsRejected() {
            report(30, 2);
            mCell.offer(40, OTHER_JOB, 2);
            mCell.ticks(50, 300);
            assertThat(mCell.starts()).hasSize(1);
        }
    }

    /** The second incarnation is told to reject a start, and is gone before it has reported. */
    @Nested
    class RestartsAgain {
        @BeforeEach
        void start() {
            beginWith(FIRST);
            mCell.offer(10, JOB, 1);
            answerStart(20, mCell.starts().get(0), OrderResult.UNKNOWN, 0);
            report(25, 1);
            report(30, 2);
            acknowledgeStop(35, lastStop(), 2);
            mCell.clearActions();
        }

        /** Guards against relying on a stop that only the incarnation before has acknowledged. */
        @Test
        void nextIncarnationIsToldToRejectTheStartAsWell() {
            report(40, 3);
            report(45, 3);
            mCell.ticks(50, 80);
            assertThat(mCell.starts()).isEmpty();
            acknowledgeStop(90, lastStop(), 3);
            report(95, 3);
            mCell.ticks(100, 110);
            report(115, 3);
            mCell.ticks(120, 130);
            assertThat(mCell.starts()).hasSize(1);
        }

        /** Guards against the same when the restart shows in the answer to the stop. */
        @Test
        void restartThatAnAnswerShowsCountsToo() {
            mCell.on(40, new CellEvent.StopAnswered("t1", TASK, 1, true, 3));
            assertThat(mCell.actions(CellAction.StopRun.class)).hasSize(1);
            report(45, 3);
            mCell.ticks(50, 60);
            assertThat(mCell.starts()).isEmpty();
        }
    }

    /** The first incarnation has rejected the start and has then started the task again. */
    @Nested
    class StartWasStopped {
        private CellAction.StartRun mStart;

        @BeforeEach
        void start() {
            beginWith(FIRST);
            mCell.offer(10, JOB, 1);
            mStart = mCell.starts().get(0);
            answerStart(20, mStart, OrderResult.UNKNOWN, 0);
            report(25, 1);
            acknowledgeStop(30, lastStop(), 1);
            report(35, 1);
            mCell.ticks(40, 40);
            report(45, 1);
            answerStart(50, mCell.starts().get(1), OrderResult.DONE, 1);
            mCell.clearActions();
            report(60, 2);
        }

        /** Guards against relying on a stop that the new incarnation doesn't know. */
        @Test
        void newIncarnationIsToldToRejectTheStartBeforeTheTaskStartsAgain() {
            mCell.listed(61, FIRST.withIncarnation(2), OTHER);
            mCell.report(62, "t2", List.of(), List.of());
            report(65, 2);
            mCell.ticks(70, 100);
            assertThat(lastStop().run()).isEqualTo(mStart.run());
            assertThat(mCell.starts()).isEmpty();
            rejectStart(110);
            assertThat(mCell.starts()).hasSize(1);
        }
    }

    @Nested
    class RunIsNotExpected {
        /** Guards against exceeding the capacity beside a delayed start of an unknown job. */
        @Test
        void itIsStoppedAndCountsUntilItHasEnded() {
            TaskName task = new TaskName(OTHER_JOB, 0, 0, 0);
            beginWith(FIRST);
            report(20, 2);
            report(25, 2, new TargetReport.ActiveRun(task, 4, 50));
            mCell.offer(30, JOB, 1);
            mCell.ticks(40, 1_000);
            assertThat(mCell.starts()).isEmpty();
            assertThat(lastStop().task()).isEqualTo(task);
            report(1_010, 2);
            mCell.ticks(1_020, 1_030);
            assertThat(mCell.starts()).hasSize(1);
        }
    }

    @Nested
    class ControllerChanges {
        @BeforeEach
        void begin() {
            mCell.on(0, new CellEvent.TermBegan(7, Optional.of(List.of(FIRST, OTHER))));
        }

        /** Guards against dropping runs that the last term started after the restart. */
        @Test
        void runOfTheNewIncarnationIsAdopted() {
            mCell.report(4, "t2", List.of(), List.of());
            report(5, 2, new TargetReport.ActiveRun(TASK, 3, 50));
            mCell.on(6, new CellEvent.PredecessorsKnown());
            mCell.listed(7, FIRST.withIncarnation(2), OTHER);
            mCell.offer(10, JOB, 1);
            mCell.ticks(20, 60);
            assertThat(mCell.starts()).isEmpty();
        }

        /** Guards against starts before the new incarnation has reported what runs there. */
        @Test
        void nothingStartsBeforeTheNewIncarnationReports() {
            report(5, 1);
            mCell.report(6, "t2", List.of(), List.of());
            report(7, 2);
            mCell.on(8, new CellEvent.PredecessorsKnown());
            mCell.offer(10, JOB, 1);
            assertThat(mCell.starts()).isEmpty();
            report(12, 2, new TargetReport.ActiveRun(TASK, 3, 50));
            mCell.ticks(20, 60);
            assertThat(mCell.starts()).isEmpty();
        }
    }

    @Nested
    class TermMayEndSoon {
        /**
         * Guards against a run that outlasts the term: an order to the earlier incarnation extended
         * the lease of the new one, whose clock starts anew, beyond the end of the term.
         */
        @Test
        void noWorkWhileTheLeaseMayOutlastTheTerm() {
            beginWith(FIRST);
            report(20, 2);
            report(25, 2);
            mCell.offer(30, JOB, 1);
            assertThat(mCell.starts()).isEmpty();
            mCell.ticks(35, 60);
            assertThat(mCell.starts()).hasSize(1);
        }
    }
}
