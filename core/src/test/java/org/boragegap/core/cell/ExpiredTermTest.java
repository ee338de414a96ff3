package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
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

    /** The group has named another VM for a moment, and names this one again. */
    @Nested
    class NamedAgain {
        private static final long NAMED_AGAIN_MS = 1_000;
        private static final long NEXT_FENCE = 8;

        /** A lease of the group on a slow clock, and an order in flight, after it was named. */
        private static final long OTHER_TERM_OVER_MS = 2_130;

        private final ScriptedCell mNamed = new ScriptedCell();

        /** Guards against a second run beside those of the VM that was named in between. */
        @Test
        void anUnsettledTermWaitsForAnotherLease() {
            mNamed.evacuate(0);
            mNamed.on(0, new CellEvent.TermBegan(7, Optional.empty()));
            mNamed.listed(5, TARGET);
            mNamed.ticks(10, NAMED_AGAIN_MS);
            mNamed.on(NAMED_AGAIN_MS, new CellEvent.TermEnded());
            mNamed.on(NAMED_AGAIN_MS, new CellEvent.TermBegan(NEXT_FENCE, Optional.empty()));
            mNamed.listed(NAMED_AGAIN_MS, TARGET);
            mNamed.ticks(NAMED_AGAIN_MS, OTHER_TERM_OVER_MS - 100);
            mNamed.report(OTHER_TERM_OVER_MS - 90, "t1", List.of(), List.of());
            mNamed.offer(OTHER_TERM_OVER_MS - 80, "00000000000000e1", 1);
            mNamed.ticks(OTHER_TERM_OVER_MS - 70, OTHER_TERM_OVER_MS - 20);
            assertThat(mNamed.starts()).isEmpty();
            mNamed.ticks(OTHER_TERM_OVER_MS, OTHER_TERM_OVER_MS);
            assertThat(mNamed.starts()).hasSize(1);
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
            staySilent(20, untilMs);
        }

        private void staySilent(long fromMs, long untilMs) {
            String silent = mSilent.startedOn().get(0);
            String other = silent.equals("t1") ? "t2" : "t1";
            for (long ms = fromMs; ms <= untilMs; ms += 10) {
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

        /**
         * Guards against the same where a VM that was named for a moment has extended the lease.
         */
        @Test
        void startsNothingAgainForALeaseAfterItWasNamedAgain() {
            staySilentUntil(900);
            mSilent.on(900, new CellEvent.TermEnded());
            mSilent.on(900, new CellEvent.TermBegan(8, Optional.empty()));
            mSilent.listed(900, FIRST, SECOND);
            mSilent.offer(905, JOB, 1);
            staySilent(910, 2_010);
            assertThat(mSilent.starts()).hasSize(1);
            staySilent(2_020, 2_100);
            assertThat(mSilent.starts()).hasSize(2);
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
