package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Targets announce less capacity, or more, while tasks run there. They start everything that they
 * are ordered to: one task too many slows down all that run beside it, and their callers wait.
 */
final class TargetCapacityChangeTest {
    private static final String JOB = "00000000000000e1";
    private static final String OTHER_JOB = "00000000000000e2";

    private final ScriptedCell mCell = new ScriptedCell();

    private static TargetInfo withCapacity(int cpuMillis) {
        return ScriptedCell.target("t1", "x:1", "a", cpuMillis);
    }

    private void begin() {
        mCell.evacuate(0);
        mCell.begin(0, 7, withCapacity(2_000));
        mCell.listed(5, withCapacity(2_000));
    }

    private static TargetReport.EndedRun end(
            int number, CellAction.StartRun start, EndCause cause) {
        return new TargetReport.EndedRun(number, start.task(), start.run(), cause);
    }

    @Test
    void nothingStartsWhileRunsExceedShrunkCapacity() {
        begin();
        mCell.offer(10, JOB, 2);
        mCell.listed(20, withCapacity(1_000));
        mCell.offer(30, OTHER_JOB, 1);
        assertThat(mCell.starts()).hasSize(2);
        mCell.report(110, "t1", List.of(), List.of(end(1, mCell.starts().get(0), EndCause.DONE)));
        assertThat(mCell.starts()).hasSize(2);
        mCell.report(120, "t1", List.of(), List.of(end(2, mCell.starts().get(1), EndCause.DONE)));
        assertThat(mCell.starts()).hasSize(3);
    }

    @Test
    void grownCapacityIsUsedImmediately() {
        begin();
        mCell.offer(10, JOB, 3);
        assertThat(mCell.starts()).hasSize(2);
        mCell.listed(20, withCapacity(3_000));
        assertThat(mCell.starts()).hasSize(3);
    }

    /** One task has failed for good; the other is stopped and uses capacity until it has ended. */
    @Test
    void stoppingRunStillUsesCapacity() {
        begin();
        mCell.offer(10, JOB, 2);
        mCell.starts().forEach(start -> mCell.acceptStart(12, start));
        CellAction.StartRun first = mCell.starts().get(0);
        CellAction.StartRun second = mCell.starts().get(1);
        mCell.report(20, "t1", List.of(), List.of(end(1, first, EndCause.FAILED)));
        assertThat(mCell.actions(CellAction.StopRun.class)).hasSize(1);
        mCell.listed(25, withCapacity(1_000));
        mCell.offer(30, OTHER_JOB, 1);
        assertThat(mCell.starts()).hasSize(2);
        mCell.report(60, "t1", List.of(), List.of(end(2, second, EndCause.STOPPED)));
        assertThat(mCell.starts()).hasSize(3);
    }

    /**
     * A new controller learns of runs whose job has not been offered yet: their needs are unknown.
     */
    @Test
    void inheritedRunsCountAgainstCurrentCapacity() {
        TaskName found = new TaskName(JOB, 0, 0, 0);
        mCell.evacuate(0);
        mCell.begin(0, 7, withCapacity(2_000));
        mCell.listed(5, withCapacity(1_000));
        mCell.report(10, "t1", List.of(new TargetReport.ActiveRun(found, 1, 50)), List.of());
        mCell.offer(20, OTHER_JOB, 1);
        assertThat(mCell.starts()).isEmpty();
        mCell.offer(30, JOB, 1);
        assertThat(mCell.starts()).isEmpty();
    }

    /** No task of the job has started, and no target can hold one any more. */
    @Test
    void waitingJobThatNoLongerFitsIsDeclined() {
        begin();
        mCell.offer(10, JOB, 1);
        mCell.offer(11, OTHER_JOB, StepRequest.cpuOnly(1, 2_000, 100));
        assertThat(mCell.verdicts()).isEmpty();
        mCell.listed(20, withCapacity(1_500));
        assertThat(mCell.verdicts()).hasSize(1);
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
    }
}
