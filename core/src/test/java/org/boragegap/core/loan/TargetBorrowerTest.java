package org.boragegap.core.loan;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a cell borrows from whom, and what it may do with a borrowed target. */
final class TargetBorrowerTest {
    private static final TargetBorrower.Demand WAITING =
            new TargetBorrower.Demand(100_000, 0, 32_000, 16_000);

    private final LenderDirectory mLenders = LenderDirectory.create();
    private final TargetBorrower mBorrower = TargetBorrower.create(0, mLenders);

    @BeforeEach
    void hearLenders() {
        hear(0, 7, 9, 0);
        hear(1, 8, 2, 0);
        hear(2, 9, 5, 0);
    }

    private void hear(int cell, long fence, int idle, long ms) {
        mLenders.heard(new LenderDirectory.Lender(cell, "vm" + cell, fence, idle, ms));
    }

    private static ClockReading at(long ms) {
        return new ClockReading(ms, 1_000_000 + ms);
    }

    private static TargetBorrower.Granted granted(long number, List<Long> renewed, Long... loans) {
        List<TargetLoan> targets =
                List.of(loans).stream().map(id -> new TargetLoan(id, "t" + id)).toList();
        return new TargetBorrower.Granted(2, 9, number, 2_000, targets, renewed);
    }

    private BorrowedTarget borrow(long askedMs, long grantedMs) {
        long number = mBorrower.ask(WAITING, at(askedMs)).orElseThrow().number();
        return mBorrower.onGrant(granted(number, List.of(), 5L), at(grantedMs)).get(0);
    }

    @Nested
    final class Requests {
        @Test
        void asksTheCellWithTheMostIdleTargets() {
            TargetBorrower.Ask ask = mBorrower.ask(WAITING, at(10)).orElseThrow();
            assertThat(ask.lender().cell()).isEqualTo(2);
            assertThat(ask.neededCpu()).isEqualTo(32_000);
        }

        /** Guards against a cell that borrows although it has room for its own jobs. */
        @Test
        void asksForNothingWhileEnoughIsFree() {
            assertThat(new TargetBorrower.Demand(100_000, 10_000, 0, 1_000).missingCpu())
                    .isEqualTo(0);
            assertThat(new TargetBorrower.Demand(100_000, 9_000, 0, 1_000).missingCpu())
                    .isEqualTo(1_000);
            assertThat(new TargetBorrower.Demand(100_000, 0, 0, 0).missingCpu()).isEqualTo(0);
        }

        /** Guards against a request to a controller that may be lost. */
        @Test
        void aSilentCellIsNotAsked() {
            hear(1, 8, 2, 1_000);
            assertThat(mBorrower.ask(WAITING, at(1_600)).orElseThrow().lender().cell())
                    .isEqualTo(1);
        }

        /** Guards against a cell that never borrows again because a message was lost. */
        @Test
        void anUnansweredRequestIsRepeated() {
            assertThat(mBorrower.ask(WAITING, at(10))).isPresent();
            assertThat(mBorrower.ask(WAITING, at(109))).isEmpty();
            assertThat(mBorrower.ask(WAITING, at(110))).isPresent();
        }

        @Test
        void aCellThatGrantsNothingIsNotAskedBeforeItsNextHeartbeat() {
            long number = mBorrower.ask(WAITING, at(10)).orElseThrow().number();
            mBorrower.onGrant(granted(number, List.of()), at(15));
            assertThat(mBorrower.ask(WAITING, at(40)).orElseThrow().lender().cell()).isEqualTo(1);
        }
    }

    @Nested
    final class Use {
        /** Guards against use beyond the term, which the lender counts from its grant. */
        @Test
        void theTermIsCountedFromTheRequest() {
            BorrowedTarget loan = borrow(10, 600);
            assertThat(loan.endMs()).isEqualTo(2_010);
            assertThat(loan.mayStart(1_010)).isTrue();
            assertThat(loan.mayStart(1_011)).isFalse();
            assertThat(loan.mayCall(2_009)).isTrue();
            assertThat(loan.mayCall(2_010)).isFalse();
        }

        /** Guards against a grant that is delivered twice, the second time after the return. */
        @Test
        void oneGrantCountsForEachRequest() {
            BorrowedTarget loan = borrow(10, 20);
            mBorrower.remove(loan);
            assertThat(mBorrower.onGrant(granted(1, List.of(), 5L), at(30))).isEmpty();
            assertThat(mBorrower.loans()).isEmpty();
        }

        @Test
        void aGrantOfAnotherTermOfTheLenderIsIgnored() {
            long number = mBorrower.ask(WAITING, at(10)).orElseThrow().number();
            TargetBorrower.Granted other =
                    new TargetBorrower.Granted(
                            2, 10, number, 2_000, List.of(new TargetLoan(5, "t5")), List.of());
            assertThat(mBorrower.onGrant(other, at(20))).isEmpty();
        }

        /**
         * Guards against a VM that was paused: its monotonic clock stood still, but the loan ended.
         */
        @Test
        void aPauseEndsTheLoan() {
            BorrowedTarget loan = borrow(10, 20);
            mBorrower.endAfterPause(new ClockReading(100, 1_000_000 + 1_100));
            assertThat(loan.mayCall(100)).isFalse();
        }

        /** Guards against a pause between the request and the grant, which no later event shows. */
        @Test
        void aPauseDuringTheRequestEndsTheLoan() {
            long number = mBorrower.ask(WAITING, at(10)).orElseThrow().number();
            ClockReading resumed = new ClockReading(20, 1_000_000 + 3_000);
            BorrowedTarget loan = mBorrower.onGrant(granted(number, List.of(), 5L), resumed).get(0);
            assertThat(loan.mayCall(20)).isFalse();
        }

        @Test
        void aRecalledTargetIsCalledButGetsNoWork() {
            BorrowedTarget loan = borrow(10, 20);
            mBorrower.onRecall(2, 9, List.of(5L));
            assertThat(loan.mayStart(30)).isFalse();
            assertThat(loan.mayCall(30)).isTrue();
            assertThat(mBorrower.shouldReturn(loan, true, 30)).isTrue();
        }

        /** Guards against targets that are kept from their owner without need. */
        @Test
        void anUnneededTargetIsReturnedAfterAWhile() {
            BorrowedTarget loan = borrow(10, 20);
            assertThat(mBorrower.shouldReturn(loan, true, 30)).isFalse();
            assertThat(mBorrower.shouldReturn(loan, false, 40)).isFalse();
            assertThat(mBorrower.shouldReturn(loan, false, 239)).isFalse();
            assertThat(mBorrower.shouldReturn(loan, false, 240)).isTrue();
        }
    }

    @Nested
    final class Renewals {
        private final BorrowedTarget mLoan;

        Renewals() {
            hearLenders();
            mLoan = borrow(0, 10);
        }

        private List<TargetBorrower.Ask> renew(long ms) {
            return mBorrower.renew(Set.of("t5"), at(ms));
        }

        @Test
        void aLoanInUseIsRenewedBeforeItsEnd() {
            assertThat(renew(500)).isEmpty();
            TargetBorrower.Ask ask = renew(501).get(0);
            assertThat(ask.renewals()).containsExactly(5L);
            mBorrower.onGrant(granted(ask.number(), List.of(5L)), at(600));
            assertThat(mLoan.endMs()).isEqualTo(2_501);
        }

        /** Guards against a run that ends with its loan because one message was lost. */
        @Test
        void anUnansweredRenewalIsRepeated() {
            renew(600);
            assertThat(renew(699)).isEmpty();
            assertThat(renew(700)).hasSize(1);
        }

        /** Guards against a renewal by the lender's next controller, which knows no such loan. */
        @Test
        void aReplacedLenderIsNotAsked() {
            hear(2, 10, 5, 550);
            assertThat(renew(600)).isEmpty();
        }

        @Test
        void anUnneededLoanIsNotRenewed() {
            assertThat(mBorrower.renew(Set.of(), at(600))).isEmpty();
        }
    }
}
