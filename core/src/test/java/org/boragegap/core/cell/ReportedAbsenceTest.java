package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * A target reports a limited number of ended runs at a time: a run that it doesn't report may have
 * ended.
 */
final class ReportedAbsenceTest {
    private static final String JOB = "00000000000000c1";
    private static final String OTHER_JOB = "00000000000000c2";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);
    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);

    /** Maximum number of ended runs that the platform's targets report at a time. */
    private static final int LISTED_AT_A_TIME = 500;

    private final ScriptedCell mCell = new ScriptedCell();

    @BeforeEach
    void evacuateNothing() {
        mCell.evacuate(0);
    }

    private static List<TargetReport.EndedRun> endsOfOthers(int count) {
        List<TargetReport.EndedRun> ends = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            TaskName task = new TaskName(OTHER_JOB, 0, 0, i);
            ends.add(new TargetReport.EndedRun(i, task, 1, EndCause.DONE));
        }
        return ends;
    }

    private static TargetReport.EndedRun done(long number, int run) {
        return new TargetReport.EndedRun(number, TASK, run, EndCause.DONE);
    }

    @Nested
    final class OfAnOwnRun {
        private CellAction.StartRun mStart;

        @BeforeEach
        void runsAndIsReported() {
            mCell.begin(0, 7, FIRST, SECOND);
            mCell.listed(5, FIRST, SECOND);
            mCell.offer(10, JOB, 1);
            mStart = mCell.starts().get(0);
            mCell.acceptStart(12, mStart);
            report(20, List.of(new TargetReport.ActiveRun(TASK, mStart.run(), 50)), List.of());
        }

        private void report(
                long ms, List<TargetReport.ActiveRun> running, List<TargetReport.EndedRun> ended) {
            mCell.report(ms, mStart.target().id(), running, ended);
        }

        /** Guards against a run being taken for lost while the target has yet to report its end. */
        @Test
        void aReportFullOfEndsProvesNoAbsence() {
            report(30, List.of(), endsOfOthers(LISTED_AT_A_TIME));
            mCell.ticks(40, 200);
            assertThat(mCell.starts()).hasSize(1);
        }

        @Test
        void itsEndIsInTheNextReport() {
            report(30, List.of(), endsOfOthers(LISTED_AT_A_TIME));
            report(40, List.of(), List.of(done(LISTED_AT_A_TIME + 1, mStart.run())));
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }

        /** Guards against a task that waits forever for a run that its target doesn't have. */
        @Test
        void aReportOfAllEndsProvesAbsence() {
            report(30, List.of(), endsOfOthers(LISTED_AT_A_TIME));
            report(40, List.of(), List.of());
            mCell.ticks(50, 200);
            assertThat(mCell.starts()).hasSize(2);
        }
    }

    @Nested
    final class OfARunOfAnEarlierTerm {
        /** Guards against a task being done again while the target has yet to report its end. */
        @Test
        void aReportFullOfEndsProvesNoAbsence() {
            mCell.on(0, new CellEvent.TermBegan(9, Optional.of(List.of(FIRST))));
            TargetReport.ActiveRun row = new TargetReport.ActiveRun(TASK, 1, 50);
            mCell.report(5, FIRST.id(), List.of(row), List.of());
            mCell.on(6, new CellEvent.PredecessorsKnown());
            mCell.listed(6, FIRST);
            mCell.report(10, FIRST.id(), List.of(), endsOfOthers(LISTED_AT_A_TIME));
            mCell.offer(20, JOB, 1);
            mCell.report(30, FIRST.id(), List.of(), List.of(done(LISTED_AT_A_TIME + 1, 1)));
            assertThat(mCell.starts()).isEmpty();
            assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
        }
    }
}
