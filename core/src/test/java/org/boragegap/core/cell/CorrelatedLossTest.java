package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Many targets are lost at the same time, with tasks of one job or of several. */
final class CorrelatedLossTest {
    private static final int TARGETS = 5;

    /** A task that takes more than half of a target. */
    private static final StepRequest LARGE = StepRequest.cpuOnly(1, 1_500, 100);

    /** By then the leases of unresponsive targets have expired. */
    private static final long LEASE_EXPIRED_MS = 6_000;

    private final ScriptedCell mCell = new ScriptedCell();
    private final List<TargetInfo> mTargets = new ArrayList<>();

    @BeforeEach
    void begin() {
        for (int i = 0; i < TARGETS; i++) {
            mTargets.add(target("t" + i, i));
        }
        mCell.evacuate(0);
        mCell.begin(0, 7, mTargets.toArray(TargetInfo[]::new));
        mCell.listed(5, mTargets.toArray(TargetInfo[]::new));
    }

    private static TargetInfo target(String id, int port) {
        return ScriptedCell.target(id, "x:" + port, "a", 2_000);
    }

    private static String job(int number) {
        return String.format("%016x", number);
    }

    /**
     * All targets become unresponsive until their leases expire; then their successors are listed.
     */
    private List<CrashEvidence> loseAll() {
        mCell.starts().forEach(start -> mCell.acceptStart(12, start));
        mCell.ticks(20, LEASE_EXPIRED_MS);
        mCell.listed(LEASE_EXPIRED_MS + 10, successors());
        return mCell.actions(CellAction.BroadcastCrash.class).stream()
                .map(CellAction.BroadcastCrash::evidence)
                .toList();
    }

    private static TargetInfo[] successors() {
        TargetInfo[] successors = new TargetInfo[TARGETS];
        for (int i = 0; i < TARGETS; i++) {
            successors[i] = target("s" + i, i);
        }
        return successors;
    }

    @Nested
    class SeveralJobs {
        @BeforeEach
        void offer() {
            for (int i = 0; i < TARGETS; i++) {
                mCell.offer(10, job(i), LARGE);
            }
            assertThat(mCell.startedOn()).containsNoDuplicates();
        }

        /** Guards against suspecting tasks of causing the loss of many targets at once. */
        @Test
        void noTaskIsSuspected() {
            List<CrashEvidence> evidence = loseAll();
            assertThat(evidence).hasSize(TARGETS);
            assertThat(evidence.stream().filter(CrashEvidence::implicatesTask).toList()).isEmpty();
        }
    }

    @Nested
    class OneJob {
        /**
         * Guards against clearing a job of suspicion because its tasks crash all their targets at
         * once.
         */
        @Test
        void eachTaskIsSuspected() {
            mCell.offer(10, job(0), StepRequest.cpuOnly(TARGETS, 1_500, 100));
            List<CrashEvidence> evidence = loseAll();
            assertThat(evidence).hasSize(TARGETS);
            assertThat(evidence.stream().filter(CrashEvidence::implicatesTask).toList())
                    .hasSize(TARGETS);
        }
    }

    @Nested
    class EarlierLoss {
        private final TaskName mTask = new TaskName(job(0), 0, 0, 0);

        private void reportCrash(String target, CrashEvidence evidence) {
            mCell.on(6, new CellEvent.CrashReported(mTask, target, evidence));
        }

        /** Guards against ending a job for two losses that it cannot have caused. */
        @Test
        void twoCoincidentCrashesDoNotEndJob() {
            reportCrash("c1", CrashEvidence.COINCIDENT);
            reportCrash("c2", CrashEvidence.COINCIDENT);
            mCell.offer(10, job(0), 1);
            assertThat(mCell.verdicts()).isEmpty();
            assertThat(mCell.starts()).hasSize(1);
        }

        /** Guards against reserving a target for a task that is not suspect. */
        @Test
        void taskSharesTargetWithOthers() {
            reportCrash("c1", CrashEvidence.COINCIDENT);
            mCell.offer(10, job(0), 1);
            mCell.offer(11, job(1), 2 * TARGETS - 1);
            assertThat(mCell.starts()).hasSize(2 * TARGETS);
        }

        /**
         * Guards against endless restarts of a task because its targets are always lost together
         * with others.
         */
        @Test
        void taskIsNotStartedAfterFourCoincidentCrashes() {
            for (String target : List.of("c1", "c2", "c3", "c4")) {
                reportCrash(target, CrashEvidence.COINCIDENT);
            }
            mCell.offer(10, job(0), 1);
            assertThat(mCell.starts()).isEmpty();
            assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
        }
    }
}
