package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A VM controls the cell anew while answers to orders of its earlier term are under way. */
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

        /** Guards against an answer to a call of an earlier term being taken for one of this. */
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

        /** Guards against a term that ends since a target rejects an order of an earlier term. */
        @Test
        void aRejectedCallOfAnEarlierTermDeposesNobody() {
            long earlier = firstCall("t1");
            nextTerm();
            mCell.on(65, new CellEvent.LeaseFailed("t1", earlier, OrderResult.FENCED));
            assertThat(mCell.actions(CellAction.Deposed.class)).isEmpty();
        }

        /** Guards against a term that is settled by what targets told its predecessor. */
        @Test
        void aReportToAnEarlierTermSettlesNothing() {
            long earlierFirst = firstCall("t1");
            long earlierSecond = firstCall("t2");
            nextTerm();
            TargetReport report = new TargetReport(65, List.of(), List.of());
            mCell.on(65, new CellEvent.LeaseExtended("t1", earlierFirst, report));
            mCell.on(65, new CellEvent.LeaseExtended("t2", earlierSecond, report));
            mCell.on(66, new CellEvent.PredecessorsKnown(false));
            mCell.listed(67, FIRST, SECOND);
            mCell.offer(70, "00000000000000c1", 1);
            assertThat(mCell.starts()).isEmpty();
        }
    }
}
