package org.boragegap.core.loan;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which targets a cell lends, and when it has them back. */
final class TargetLenderTest {
    private static final TargetLender.BorrowerTerm BORROWER = new TargetLender.BorrowerTerm(2, 70);
    private static final int CPU = 32_000;

    /** End of the loan, a lease on a clock that is 2% slow, and 100 ms. */
    private static final long EXPIRED_MS = 2_000 + 1_021 + 100;

    private final TargetLender mLender = TargetLender.create();

    private static TargetLender.Request request(
            TargetLender.BorrowerTerm borrower, long number, int cpu, Long... renewals) {
        return new TargetLender.Request(borrower, number, cpu, 16_000, List.of(renewals));
    }

    private static List<TargetLender.IdleTarget> idle(int count) {
        List<TargetLender.IdleTarget> idle = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            idle.add(new TargetLender.IdleTarget("t" + i, CPU));
        }
        return idle;
    }

    private List<TargetLoan> lend(int cpu, int idle) {
        return mLender.onRequest(request(BORROWER, 1, cpu), idle(idle), 0).loans();
    }

    @Nested
    final class Grants {
        @Test
        void lendsWhatIsMissing() {
            assertThat(lend(40_000, 10)).hasSize(2);
        }

        /** Guards against a lender that is left without room for its next burst. */
        @Test
        void keepsHalfOfItsIdleTargets() {
            assertThat(lend(1_000_000, 7)).hasSize(3);
            TargetLender.Request again = request(BORROWER, 2, 1_000_000);
            assertThat(mLender.onRequest(again, idle(4), 10).loans()).isEmpty();
        }

        /** Guards against loans on which the borrower can place none of its tasks. */
        @Test
        void lendsNoTargetThatIsTooSmall() {
            TargetLender.Request large =
                    new TargetLender.Request(BORROWER, 1, CPU, CPU + 1, List.of());
            assertThat(mLender.onRequest(large, idle(8), 0).loans()).isEmpty();
        }

        /** Guards against a request that is delivered twice and occupies twice as many targets. */
        @Test
        void aRepeatedOrOvertakenRequestIsGrantedNothing() {
            mLender.onRequest(request(BORROWER, 2, CPU), idle(10), 0);
            for (long number = 1; number <= 2; number++) {
                TargetLender.Grant grant =
                        mLender.onRequest(request(BORROWER, number, CPU), idle(9), 5);
                assertThat(grant.loans()).isEmpty();
            }
            assertThat(mLender.lentTargets()).isEqualTo(1);
        }

        /** Guards against loans to a controller that has been replaced. */
        @Test
        void anEarlierTermIsGrantedNothingAfterALaterOne() {
            TargetLender.BorrowerTerm later = new TargetLender.BorrowerTerm(2, 71);
            mLender.onRequest(request(later, 1, CPU), idle(10), 0);
            assertThat(lend(CPU, 9)).isEmpty();
        }
    }

    @Nested
    final class Ends {
        private final long mLoan = lend(CPU, 4).get(0).id();

        /** Guards against calls to a target whose borrower may still use it. */
        @Test
        void anUnreturnedTargetComesBackALeaseAfterTheLoan() {
            assertThat(mLender.onTick(EXPIRED_MS)).isEmpty();
            assertThat(mLender.onTick(EXPIRED_MS + 1)).containsExactly("t0");
            assertThat(mLender.onTick(EXPIRED_MS + 2)).isEmpty();
        }

        @Test
        void aReturnedTargetComesBackAtOnce() {
            assertThat(mLender.onReturn(BORROWER, List.of(mLoan))).containsExactly("t0");
            assertThat(mLender.lentTargets()).isEqualTo(0);
        }

        /** Guards against the return of an earlier loan that ends a later one of the target. */
        @Test
        void theReturnOfAnEarlierLoanEndsNoLaterOne() {
            mLender.onReturn(BORROWER, List.of(mLoan));
            mLender.onRequest(request(BORROWER, 2, CPU), idle(4), 10);
            assertThat(mLender.onReturn(BORROWER, List.of(mLoan))).isEmpty();
            assertThat(mLender.lentTargets()).isEqualTo(1);
        }

        /** Guards against a target that comes back while the borrower's next term waits for it. */
        @Test
        void onlyTheBorrowersTermCanReturn() {
            TargetLender.BorrowerTerm next = new TargetLender.BorrowerTerm(2, 71);
            TargetLender.BorrowerTerm other = new TargetLender.BorrowerTerm(3, 70);
            assertThat(mLender.onReturn(next, List.of(mLoan))).isEmpty();
            assertThat(mLender.onReturn(other, List.of(mLoan))).isEmpty();
        }

        /** Guards against a renewed target that is taken back at the end of its first term. */
        @Test
        void aRenewedLoanLastsForAnotherTerm() {
            TargetLender.Grant grant =
                    mLender.onRequest(request(BORROWER, 2, 0, mLoan), List.of(), 1_000);
            assertThat(grant.renewed()).containsExactly(mLoan);
            assertThat(mLender.onTick(EXPIRED_MS + 1_000)).isEmpty();
            assertThat(mLender.onTick(EXPIRED_MS + 1_001)).containsExactly("t0");
        }

        /** Guards against a delayed renewal of a loan whose target is in use by its owner. */
        @Test
        void aReturnedLoanIsNotRenewed() {
            mLender.onReturn(BORROWER, List.of(mLoan));
            TargetLender.Grant grant =
                    mLender.onRequest(request(BORROWER, 2, 0, mLoan), List.of(), 1_000);
            assertThat(grant.renewed()).isEmpty();
        }

        /** Guards against a lender that never gets a target back because a recall was lost. */
        @Test
        void recallsAreRepeatedAtIntervals() {
            assertThat(mLender.recall(Set.of(), 0, 10)).isEmpty();
            TargetLender.Recall recall = new TargetLender.Recall(BORROWER, List.of(mLoan));
            assertThat(mLender.recall(Set.of(), 3, 10)).containsExactly(recall);
            assertThat(mLender.recall(Set.of(), 3, 209)).isEmpty();
            assertThat(mLender.recall(Set.of("t0"), 0, 210)).containsExactly(recall);
        }
    }
}
