package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Operators evacuate a failure domain before they cut its power. A task that is started there after
 * their request is killed, and its caller gets no answer, though other domains had free capacity.
 */
final class EvacuationTest {
    private static final TargetInfo IN_A = ScriptedCell.target("t1", "x:1", "a", 2_000);
    private static final TargetInfo IN_B = ScriptedCell.target("t2", "x:2", "b", 2_000);
    private static final String JOB = "00000000000000a1";
    private static final String OTHER_JOB = "00000000000000a2";

    private final ScriptedCell mCell = new ScriptedCell();

    @Nested
    final class OneDomainEvacuated {
        @BeforeEach
        void evacuateA() {
            mCell.evacuate(0);
            mCell.begin(0, 7, IN_A, IN_B);
            mCell.evacuate(10, "a");
        }

        @Test
        void tasksStartOnlyInOtherDomain() {
            mCell.offer(20, JOB, 2);
            assertThat(mCell.startedOn()).containsExactly("t2", "t2");
        }

        @Test
        void jobThatFitsOnlyThereIsDeclined() {
            mCell.listed(15, IN_A, ScriptedCell.target("t2", "x:2", "b", 500));
            mCell.offer(20, JOB, 1);
            assertThat(mCell.verdicts()).hasSize(1);
            assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
        }

        @Test
        void domainIsUsedAgainAfterEvacuation() {
            mCell.evacuate(30);
            mCell.offer(40, JOB, 4);
            assertThat(mCell.startedOn()).containsExactly("t1", "t1", "t2", "t2");
        }

        @Test
        void evacuationPersistsIntoNextTerm() {
            mCell.on(30, new CellEvent.TermEnded());
            mCell.begin(40, 9, IN_A, IN_B);
            mCell.offer(50, JOB, 4);
            assertThat(mCell.startedOn()).containsExactly("t2", "t2");
        }
    }

    /**
     * A task was running when the request came: if it were stopped, its caller would wait for a
     * second run.
     */
    @Test
    void runningTaskIsNotStopped() {
        mCell.evacuate(0);
        mCell.begin(0, 7, IN_A);
        mCell.offer(10, JOB, 1);
        CellAction.StartRun start = mCell.starts().get(0);
        mCell.acceptStart(12, start);
        mCell.evacuate(20, "a");
        assertThat(mCell.actions(CellAction.StopRun.class)).isEmpty();
        TargetReport.EndedRun end =
                new TargetReport.EndedRun(1, start.task(), start.run(), EndCause.DONE);
        mCell.report(110, "t1", List.of(), List.of(end));
        assertThat(mCell.verdicts()).containsExactly(new Verdict.Completed());
    }

    /**
     * All domains are evacuated: jobs that wait and jobs that arrive later are refused immediately.
     */
    @Test
    void jobsAreDeclinedWhenAllDomainsAreEvacuated() {
        mCell.evacuate(0);
        mCell.begin(0, 7, IN_A, IN_B);
        mCell.listed(5, IN_A, IN_B);
        mCell.offer(10, JOB, 4);
        mCell.offer(11, OTHER_JOB, 1);
        assertThat(mCell.starts()).hasSize(4);
        mCell.evacuate(20, "a", "b");
        assertThat(mCell.verdicts()).hasSize(1);
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
        mCell.offer(30, "00000000000000a3", 1);
        assertThat(mCell.verdicts()).hasSize(2);
    }

    /**
     * A process starts in the middle of an evacuation and is assigned the cell before it has read
     * which domains are evacuated.
     */
    @Test
    void nothingStartsBeforeEvacuationsAreKnown() {
        mCell.begin(0, 7, IN_A, IN_B);
        mCell.listed(5, IN_A, IN_B);
        mCell.offer(10, JOB, 2);
        assertThat(mCell.starts()).isEmpty();
        assertThat(mCell.verdicts()).isEmpty();
        mCell.evacuate(20, "b");
        assertThat(mCell.startedOn()).containsExactly("t1", "t1");
    }
}
