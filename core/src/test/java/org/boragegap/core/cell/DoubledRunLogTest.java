package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.boragegap.core.cell.TargetReport.ActiveRun;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What a controller logs about a task of which it finds a second run. */
final class DoubledRunLogTest {
    private static final String JOB = "00000000000000c1";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);
    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);
    private static final long FENCE = 7;

    /** Longer than a foreign run is left running. */
    private static final long FOREIGN_STOPPED_AFTER_MS = 700;

    private final ScriptedCell mCell = new ScriptedCell();

    @BeforeEach
    void begin() {
        mCell.evacuate(0);
        mCell.begin(0, FENCE, FIRST, SECOND);
        mCell.listed(5, FIRST, SECOND);
    }

    private List<Decision> decisions(String what) {
        return mCell.actions(CellAction.Log.class).stream()
                .map(CellAction.Log::decision)
                .filter(decision -> decision.what().equals(what))
                .toList();
    }

    private void assertStatesTerm(Decision decision, long ageMs) {
        assertThat(decision.input("fence")).hasValue(Long.toString(FENCE));
        assertThat(decision.input("term_age_ms")).hasValue(Long.toString(ageMs));
    }

    private static TargetInfo otherThan(TargetInfo target) {
        return target.id().equals(FIRST.id()) ? SECOND : FIRST;
    }

    @Nested
    final class OfAStartedTask {
        private static final int EARLIER_RUN = 9;

        private CellAction.StartRun mStart;
        private TargetInfo mEarlierTarget;

        @BeforeEach
        void starts() {
            mCell.offer(10, JOB, 1);
            mStart = mCell.starts().get(0);
            mCell.acceptStart(12, mStart);
            mEarlierTarget = otherThan(mStart.target());
        }

        private void reportEarlierRun(long ms) {
            ActiveRun earlier = new ActiveRun(TASK, EARLIER_RUN, 50);
            mCell.report(ms, mEarlierTarget.id(), List.of(earlier), List.of());
        }

        /** Guards against orders of two controllers that can't be told apart. */
        @Test
        void startStatesItsTerm() {
            assertStatesTerm(decisions("start").get(0), 10);
        }

        /** Guards against a task that runs twice without a line that names both runs. */
        @Test
        void bothRunsAreNamedOnce() {
            reportEarlierRun(30);
            reportEarlierRun(40);

            assertThat(decisions("doubled")).hasSize(1);
            Decision doubled = decisions("doubled").get(0);
            assertStatesTerm(doubled, 30);
            assertThat(doubled.task()).isEqualTo(TASK.text());
            assertThat(doubled.target()).isEqualTo(mEarlierTarget.id());
            assertThat(doubled.input("run")).hasValue(Integer.toString(EARLIER_RUN));
            assertThat(doubled.input("other_run")).hasValue(Integer.toString(mStart.run()));
            assertThat(doubled.input("other_target")).hasValue(mStart.target().id());
        }

        /** Guards against a stopped run of an earlier term without a line that says who did it. */
        @Test
        void stopOfTheEarlierRunStatesTheTerm() {
            reportEarlierRun(30);
            mCell.ticks(40, 30 + FOREIGN_STOPPED_AFTER_MS);

            Decision stop = decisions("stop").get(0);
            assertThat(stop.input("fence")).hasValue(Long.toString(FENCE));
            assertThat(stop.target()).isEqualTo(mEarlierTarget.id());
            assertThat(stop.input("run")).hasValue(Integer.toString(EARLIER_RUN));
        }

        /** Guards against a run that is stopped for an earlier one without a line. */
        @Test
        void stopOfTheOwnRunAfterTheEarlierOneIsDoneStatesTheTerm() {
            TargetReport.EndedRun done =
                    new TargetReport.EndedRun(1, TASK, EARLIER_RUN, EndCause.DONE);
            mCell.report(30, mEarlierTarget.id(), List.of(), List.of(done));

            Decision stop = decisions("stop").get(0);
            assertStatesTerm(stop, 30);
            assertThat(stop.target()).isEqualTo(mStart.target().id());
        }
    }

    @Nested
    final class OfAJobThatIsOfferedLater {
        /** Guards against two earlier runs of a task of which only the adopted one is logged. */
        @Test
        void bothRunsAreNamed() {
            mCell.report(30, FIRST.id(), List.of(new ActiveRun(TASK, 1, 50)), List.of());
            mCell.report(30, SECOND.id(), List.of(new ActiveRun(TASK, 2, 50)), List.of());
            mCell.offer(40, JOB, 1);

            assertThat(decisions("adopt")).hasSize(1);
            assertStatesTerm(decisions("adopt").get(0), 40);
            assertThat(decisions("doubled")).hasSize(1);
        }
    }
}
