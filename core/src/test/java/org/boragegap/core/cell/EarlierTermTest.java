package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A VM controls the cell again while answers to orders of its earlier term are in flight. */
final class EarlierTermTest {
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);
    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);

    private final ScriptedCell mCell = new ScriptedCell();

    @BeforeEach
    void begin() {
        mCell.evacuate(0);
        mCell.begin(0, 7, FIRST, SECOND);
        mCell.listed(5, FIRST, SECOND);
    }

    @Nested
    final class Leases {
        private List<CellAction.ExtendLease> calls() {
            return mCell.actions(CellAction.ExtendLease.class);
        }

        private long firstCall(String target) {
            return calls().stream()
                    .filter(call -> call.target().id().equals(target))
                    .findFirst()
                    .orElseThrow()
                    .call();
        }

        private void nextTerm() {
            mCell.on(50, new CellEvent.TermEnded());
            mCell.on(60, new CellEvent.TermBegan(9, Optional.of(List.of(FIRST, SECOND))));
        }

        /**
         * Guards against an answer to a call of an earlier term being taken for one of the current
         * term.
         */
        @Test
        void callsOfTwoTermsHaveDifferentNumbers() {
            Set<Long> before = new HashSet<>();
            calls().forEach(call -> before.add(call.call()));
            int sent = calls().size();
            mCell.on(50, new CellEvent.TermEnded());
            mCell.begin(60, 9, FIRST, SECOND);
            List<CellAction.ExtendLease> later = calls().subList(sent, calls().size());
            assertThat(later).isNotEmpty();
            for (CellAction.ExtendLease call : later) {
                assertThat(before).doesNotContain(call.call());
            }
        }

        /** Guards against a term that ends because a target rejects an order of an earlier term. */
        @Test
        void aRejectedCallOfAnEarlierTermDeposesNobody() {
            long earlier = firstCall("t1");
            nextTerm();
            mCell.on(65, new CellEvent.LeaseFailed("t1", earlier, OrderResult.FENCED));
            assertThat(mCell.actions(CellAction.Deposed.class)).isEmpty();
        }

        /** Guards against a term that is settled by reports of targets to an earlier term. */
        @Test
        void aReportToAnEarlierTermSettlesNothing() {
            long earlierFirst = firstCall("t1");
            long earlierSecond = firstCall("t2");
            nextTerm();
            TargetReport report = new TargetReport(65, List.of(), List.of());
            mCell.on(65, new CellEvent.LeaseExtended("t1", earlierFirst, report));
            mCell.on(65, new CellEvent.LeaseExtended("t2", earlierSecond, report));
            mCell.on(66, new CellEvent.PredecessorsKnown());
            mCell.listed(67, FIRST, SECOND);
            mCell.offer(70, "00000000000000c1", 1);
            assertThat(mCell.starts()).isEmpty();
        }
    }

    @Nested
    final class Starts {
        private static final String JOB = "00000000000000c1";

        private CellAction.StartRun mEarlier;
        private CellAction.StartRun mLater;

        /** Both terms order the same run of the same task on the same target. */
        @BeforeEach
        void sameRunInTwoTerms() {
            mCell.offer(10, JOB, 1);
            mEarlier = mCell.starts().get(0);
            mCell.on(20, new CellEvent.TermEnded());
            mCell.begin(30, 9, mEarlier.target());
            mCell.listed(35, mEarlier.target());
            mCell.offer(40, JOB, 1);
            mLater = mCell.starts().get(1);
            assertThat(mLater.run()).isEqualTo(mEarlier.run());
            assertThat(mLater.target()).isEqualTo(mEarlier.target());
        }

        /**
         * Guards against a task that runs twice at a time because an order of an earlier term
         * failed.
         */
        @ParameterizedTest
        @EnumSource(names = {"NOT_SENT", "NOT_RUN", "NO_ROOM", "OLD_RUN"})
        void anEarlierOrderThatFailedReleasesNothing(OrderResult result) {
            mCell.answer(50, mEarlier, result);
            mCell.ticks(60, 200);
            assertThat(mCell.starts()).hasSize(2);
        }

        /** Guards against a run being taken for confirmed although its target may not have it. */
        @Test
        void anEarlierOrderThatWasTakenConfirmsNothing() {
            mCell.answer(50, mEarlier, OrderResult.DONE);
            mCell.answer(60, mLater, OrderResult.NO_ROOM);
            mCell.ticks(70, 1_000);
            assertThat(mCell.starts().size()).isGreaterThan(2);
        }

        /** Guards against a term that ends because a target rejects an order of an earlier term. */
        @Test
        void aRejectedOrderOfAnEarlierTermDeposesNobody() {
            mCell.answer(50, mEarlier, OrderResult.FENCED);
            assertThat(mCell.actions(CellAction.Deposed.class)).isEmpty();
        }

        @Test
        void aRejectedOrderOfThisTermDeposes() {
            mCell.answer(50, mLater, OrderResult.FENCED);
            assertThat(mCell.actions(CellAction.Deposed.class)).hasSize(1);
        }
    }
}
