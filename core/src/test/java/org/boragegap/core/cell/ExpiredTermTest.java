package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A controller whose term may be over, although it has not noticed that yet. */
final class ExpiredTermTest {
    private static final TargetInfo TARGET =
            ScriptedCell.target("t1", "x:1", "a", 1_000).withIncarnation(1);
    private static final long RESUMED_MS = 1_500;

    private static final StepRequest TOO_LARGE = StepRequest.cpuOnly(1, 2_000, 100);

    private final ScriptedCell mCell = new ScriptedCell();

    @BeforeEach
    void begin() {
        mCell.evacuate(0);
        mCell.begin(0, 7, TARGET);
        mCell.listed(5, TARGET);
        mCell.ticks(10, 200);
    }

    @Nested
    class ResumedAfterPause {
        /**
         * Guards against a task that a resumed VM starts beside its next run: the target has
         * restarted meanwhile, and its new clock lies before the lease end of the order.
         */
        @Test
        void startsNothing() {
            mCell.onAfterPause(RESUMED_MS, offered());
            assertThat(mCell.starts()).isEmpty();
        }

        /** Guards against a job that is never started because it came at the wrong moment. */
        @Test
        void startsOnceTheGroupHasConfirmedTheTerm() {
            mCell.onAfterPause(RESUMED_MS, offered());
            mCell.ticks(RESUMED_MS + 20, RESUMED_MS + 20);
            assertThat(mCell.startedOn()).containsExactly("t1");
        }

        /** Guards against a lease that outlasts the term on a target that has restarted. */
        @Test
        void extendsNoLease() {
            mCell.onAfterPause(RESUMED_MS, new CellEvent.Ticked());
            CellAction.ExtendLease last =
                    mCell.actions(CellAction.ExtendLease.class).stream()
                            .reduce((earlier, later) -> later)
                            .orElseThrow();
            assertThat(last.untilMs()).isEqualTo(0);
        }

        /** Guards against a caller being told that its job has not run, which runs elsewhere. */
        @Test
        void refusesNoOffer() {
            mCell.onAfterPause(RESUMED_MS, mCell.offerOf("00000000000000d1", TOO_LARGE));
            assertThat(mCell.verdicts()).isEmpty();
            mCell.listed(RESUMED_MS + 10, TARGET);
            assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
        }

        /** Guards against the same for a job that was waiting when the VM was paused. */
        @Test
        void refusesNoWaitingJob() {
            mCell.offer(200, "00000000000000d1", 1);
            mCell.offer(200, "00000000000000d2", 1);
            mCell.clearActions();
            mCell.onAfterPause(RESUMED_MS + 1_500, new CellEvent.Ticked());
            assertThat(mCell.verdicts()).isEmpty();
        }

        private CellEvent offered() {
            return mCell.offerOf("00000000000000d1", 1);
        }
    }

    @Nested
    class WithASilentTarget {
        private static final String JOB = "00000000000000e1";
        private static final long CONFIRMED_MS = 600;
        private static final long LEASE_EXPIRED_MS = 1_500;
        private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 1_000);
        private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 1_000);

        private final ScriptedCell mSilent = new ScriptedCell();

        @BeforeEach
        void beginAndStart() {
            mSilent.evacuate(0);
            mSilent.begin(0, 7, FIRST, SECOND);
            mSilent.offer(10, JOB, 1);
            mSilent.acceptStart(12, mSilent.starts().get(0));
        }

        private void staySilentUntil(long untilMs) {
            String silent = mSilent.startedOn().get(0);
            String other = silent.equals("t1") ? "t2" : "t1";
            for (long ms = 20; ms <= untilMs; ms += 10) {
                mSilent.refused(ms, silent);
                mSilent.report(ms, other, List.of(), List.of());
                mSilent.on(ms, new CellEvent.Ticked());
            }
        }

        /**
         * Guards against a task that is started again beside its run: a later controller, which
         * this one doesn't hear yet, reaches the target and has extended its lease.
         */
        @Test
        void startsNothingAgainUntilTheTermIsConfirmedAfterTheLeaseEnd() {
            mSilent.lastConfirmed(CONFIRMED_MS);
            staySilentUntil(LEASE_EXPIRED_MS);
            assertThat(mSilent.starts()).hasSize(1);
        }

        @Test
        void startsItAgainOnceTheTermIsConfirmed() {
            mSilent.lastConfirmed(CONFIRMED_MS);
            staySilentUntil(LEASE_EXPIRED_MS);
            mSilent.lastConfirmed(LEASE_EXPIRED_MS);
            mSilent.ticks(LEASE_EXPIRED_MS + 10, LEASE_EXPIRED_MS + 10);
            assertThat(mSilent.startedOn()).hasSize(2);
            assertThat(mSilent.startedOn()).containsNoDuplicates();
        }
    }
}
