package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Two cells lend targets to each other while one thing fails at a time. */
final class CellLoansTest extends TwoLendingCells {
    @Nested
    final class Lending {
        /** Guards against orders of two controllers under one fencing token. */
        @Test
        void aLentTargetIsNotCalledListedOrFilled() {
            String lent = lend();
            int before = ordersTo(mLender, lent).size();
            mLender.listed(50, FIRST, SECOND);
            mLender.offer(51, job(LENDER, 2), 4);
            mLender.ticks(60, LOAN_END_MS);
            assertThat(ordersTo(mLender, lent)).hasSize(before);
            assertThat(mLender.controller().state().targets()).isEqualTo(1);
            assertThat(mLender.controller().state().lent()).isEqualTo(1);
        }

        /** Guards against the loan of a target on which a task of the lender may be running. */
        @Test
        void aTargetWithARunIsNotLent() {
            mLender.offer(36, job(LENDER, 2), 1);
            mLender.unanswered(37, mLender.starts().get(0));
            mBorrower.offer(40, job(BORROWER, 1), 2);
            deliver(41, false);
            CellMessage.LoanGrant grant = (CellMessage.LoanGrant) deliver(43, true).get(0);
            assertThat(grant.targets()).isEmpty();
        }

        /** Guards against the loan of a target on which an unknown task runs. */
        @Test
        void aTargetWithAForeignRunIsNotLent() {
            TaskName unknown = new TaskName(job(LENDER, 9), 0, 0, 0);
            TargetReport.ActiveRun run = new TargetReport.ActiveRun(unknown, 1, 10);
            mLender.report(36, "t1", List.of(run), List.of());
            mBorrower.offer(40, job(BORROWER, 1), 2);
            deliver(41, false);
            CellMessage.LoanGrant grant = (CellMessage.LoanGrant) deliver(43, true).get(0);
            assertThat(grant.targets()).isEmpty();
        }

        /** Guards against a refusal because the only target that fits a job is lent. */
        @Test
        void aJobThatFitsOnlyOnALentTargetIsAccepted() {
            String lent = lend();
            mLender.listed(50, lent.equals("t1") ? FIRST : SECOND);
            mLender.ticks(60, 2_700);
            assertThat(mLender.controller().state().targets()).isEqualTo(0);
            mLender.offer(2_710, job(LENDER, 2), 1);
            assertThat(mLender.verdicts()).isEmpty();
        }

        /** Guards against jobs that wait while a target of their own cell is lent. */
        @Test
        void waitingJobsRecallLentTargets() {
            lend();
            mLender.offer(50, job(LENDER, 2), 4);
            mLender.on(60, new CellEvent.Ticked());
            assertThat(loseMessages(true).get(0)).isInstanceOf(CellMessage.LoanRecall.class);
        }

        /**
         * Guards against a run that outlives its controller: a borrower may have extended the lease
         * until the next controller's first call, and the one after that assumes that the run ended
         * with the membership.
         */
        @Test
        void aTargetThatMayHaveBeenLentWaitsForTheMembership() {
            String lent = lend();
            mLender.on(100, new CellEvent.TermEnded());
            mLender.begin(110, 8, FIRST, SECOND);
            mLender.offer(120, job(LENDER, 2), 4);
            int before = mLender.starts().size();
            mLender.on(131, new CellEvent.Ticked());
            assertThat(mLender.startedOn().subList(before, before + 4)).contains(lent);
        }

        /** Guards against a returned target that gets work before it has reported. */
        @Test
        void aReturnedTargetIsUsedAfterItsReport() {
            String lent = lend();
            mLender.offer(50, job(LENDER, 2), 4);
            mLender.on(60, new CellEvent.Ticked());
            deliver(61, true);
            mBorrower.on(65, new CellEvent.Ticked());
            assertThat(deliver(66, false)).isNotEmpty();
            int before = mLender.starts().size();
            mLender.on(67, new CellEvent.Ticked());
            assertThat(mLender.starts()).hasSize(before);
            mLender.report(68, lent, List.of(), List.of());
            mLender.on(90, new CellEvent.Ticked());
            assertThat(mLender.starts()).hasSize(before + 2);
        }

        /** Guards against a lent target in a leaving failure domain that keeps getting work. */
        @Test
        void anEvacuatedTargetIsRecalled() {
            lend();
            mLender.evacuate(50, "a");
            mLender.on(60, new CellEvent.Ticked());
            assertThat(loseMessages(true).get(0)).isInstanceOf(CellMessage.LoanRecall.class);
        }

        /** Guards against a lent target that is leaving and keeps getting work. */
        @Test
        void aDrainingTargetIsRecalled() {
            lend();
            mLender.listed(50, ScriptedCell.leaving(FIRST), ScriptedCell.leaving(SECOND));
            mLender.on(60, new CellEvent.Ticked());
            assertThat(loseMessages(true).get(0)).isInstanceOf(CellMessage.LoanRecall.class);
        }
    }

    @Nested
    final class Borrowing {
        @Test
        void ordersCarryTheLendersFencingToken() {
            CellAction.StartRun start = lendAndStart();
            assertThat(start.fence()).isEqualTo(LENDER_FENCE);
            assertThat(start.term()).isEqualTo(BORROWER_FENCE);
            for (CellAction.ExtendLease call : mBorrower.actions(CellAction.ExtendLease.class)) {
                boolean own = call.target().id().equals(OWN.id());
                assertThat(call.fence()).isEqualTo(own ? BORROWER_FENCE : LENDER_FENCE);
            }
        }

        /** Guards against an update of the cell's list that drops a target on which a task runs. */
        @Test
        void updatesOfTheListDropNoBorrowedTarget() {
            lendAndStart();
            for (long ms = 50; ms < 800; ms += 10) {
                mBorrower.listed(ms, OWN);
                mBorrower.on(ms, new CellEvent.Ticked());
            }
            assertThat(mBorrower.controller().state().borrowed()).isEqualTo(1);
            assertThat(mBorrower.controller().state().runs()).isEqualTo(2);
        }

        /** Guards against a next controller that calls a target of another cell. */
        @Test
        void borrowedTargetsAreNotAnnounced() {
            lendAndStart();
            mBorrower.listed(50, OWN);
            for (CellAction.BroadcastTargets list :
                    mBorrower.actions(CellAction.BroadcastTargets.class)) {
                assertThat(list.targets()).containsExactly(OWN);
            }
            assertThat(mBorrower.controller().hasBorrowed()).isTrue();
        }

        /** Guards against a borrowed target in an evacuated domain that gets more work. */
        @Test
        void anEvacuatedTargetIsReturnedOnceItIsFree() {
            CellAction.StartRun start = lendAndStart();
            mBorrower.evacuate(50, "a");
            ticksOfBorrower(50, 100);
            mBorrower.offer(110, job(BORROWER, 2), 1);
            assertThat(mBorrower.starts()).hasSize(2);
            loseMessages(false);
            mBorrower.report(120, start.target().id(), List.of(), List.of(ended(start, 1)));
            ticksOfBorrower(130, 400);
            assertThat(mBorrower.starts()).hasSize(2);
            assertThat(mBorrower.controller().state().borrowed()).isEqualTo(0);
            Stream<CellMessage> sent = loseMessages(false).stream();
            assertThat(sent.anyMatch(CellMessage.LoanReturn.class::isInstance)).isTrue();
        }

        /** Guards against orders to a target that has been replaced, and a useless loan. */
        @Test
        void aReplacedTargetIsReturnedAtOnce() {
            String lent = lendAndStart().target().id();
            loseMessages(false);
            mBorrower.answerAsReplacement(50, lent);
            int before = ordersTo(mBorrower, lent).size();
            mBorrower.on(60, new CellEvent.Ticked());
            Stream<CellMessage> sent = loseMessages(false).stream();
            assertThat(sent.anyMatch(CellMessage.LoanReturn.class::isInstance)).isTrue();
            assertThat(ordersTo(mBorrower, lent)).hasSize(before);
        }

        /** Guards against a target that is kept for the whole term of the loan without need. */
        @Test
        void anUnneededTargetIsReturned() {
            CellAction.StartRun start = lendAndStart();
            endRun(mBorrower, 70, mBorrower.starts().get(0), 2);
            mBorrower.report(80, start.target().id(), List.of(), List.of(ended(start, 1)));
            loseMessages(false);
            mBorrower.ticks(90, 300);
            assertThat(loseMessages(false).get(0)).isInstanceOf(CellMessage.LoanReturn.class);
            assertThat(mBorrower.controller().state().borrowed()).isEqualTo(0);
        }
    }

    @Nested
    final class LostMessages {
        /** Guards against a lender that calls a target whose borrower may have got the grant. */
        @Test
        void aLostGrantCostsTheLenderTheTerm() {
            mBorrower.offer(40, job(BORROWER, 1), 2);
            deliver(41, false);
            CellMessage.LoanGrant grant = (CellMessage.LoanGrant) loseMessages(true).get(0);
            String lent = grant.targets().get(0).target().id();
            int before = ordersTo(mLender, lent).size();
            mLender.ticks(50, TAKEN_BACK_MS - 10);
            assertThat(ordersTo(mLender, lent)).hasSize(before);
            mLender.ticks(TAKEN_BACK_MS, TAKEN_BACK_MS);
            assertThat(ordersTo(mLender, lent)).hasSize(before + 1);
            assertThat(ordersTo(mBorrower, lent)).isEmpty();
        }

        /** Guards against a task that runs on after the lender has its target back. */
        @Test
        void withoutRenewalsTheLoanRunsOut() {
            String lent = lendAndStart().target().id();
            mBorrower.report(1_900, lent, List.of(active(mBorrower.starts().get(1))), List.of());
            ticksOfBorrower(1_910, LOAN_END_MS);
            for (CellAction.ExtendLease call : mBorrower.actions(CellAction.ExtendLease.class)) {
                if (call.target().id().equals(lent)) {
                    assertThat(call.untilMs()).isAtMost(LOAN_END_MS);
                }
            }
            int before = ordersTo(mBorrower, lent).size();
            ticksOfBorrower(LOAN_END_MS + 10, 3_000);
            assertThat(ordersTo(mBorrower, lent)).hasSize(before);
            assertThat(mBorrower.controller().state().borrowed()).isEqualTo(0);
        }

        /** Guards against the loss of a run that is longer than a loan. */
        @Test
        void aRenewedLoanLastsLonger() {
            CellAction.StartRun start = lendAndStart();
            for (long ms = 50; ms <= 3_000; ms += 10) {
                mBorrower.on(ms, new CellEvent.Ticked());
                mBorrower.report(ms, start.target().id(), List.of(active(start)), List.of());
                hear(LENDER, LENDER_FENCE, mLender);
                deliver(ms, false);
                deliver(ms, true);
            }
            assertThat(mBorrower.controller().state().runs()).isEqualTo(2);
            assertThat(mLender.controller().state().lent()).isEqualTo(1);
        }
    }

    @Nested
    final class LenderLost {
        private static final long NEXT_FENCE = 8;

        /** Guards against a healthy borrower whose term ends with a loan. */
        @Test
        void aRejectedCallEndsTheLoanAndNotTheTerm() {
            CellAction.StartRun start = lendAndStart();
            rejectLastCall(50, start.target().id());
            int before = ordersTo(mBorrower, start.target().id()).size();
            ticksOfBorrower(60, 900);
            assertThat(mBorrower.actions(CellAction.Deposed.class)).isEmpty();
            assertThat(ordersTo(mBorrower, start.target().id())).hasSize(before);
        }

        private void rejectLastCall(long ms, String target) {
            long call =
                    mBorrower.actions(CellAction.ExtendLease.class).stream()
                            .filter(order -> order.target().id().equals(target))
                            .mapToLong(CellAction.ExtendLease::call)
                            .max()
                            .orElseThrow();
            mBorrower.on(ms, new CellEvent.LeaseFailed(target, call, OrderResult.FENCED));
        }

        /** Guards against a task that is started elsewhere while it still has a lease. */
        @Test
        void itsTasksStartElsewhereAfterTheLease() {
            CellAction.StartRun start = lendAndStart();
            rejectLastCall(50, start.target().id());
            endRun(mBorrower, 60, mBorrower.starts().get(0), 2);
            mBorrower.ticks(70, 1_020);
            assertThat(mBorrower.starts()).hasSize(2);
            mBorrower.ticks(1_030, 1_200);
            mBorrower.report(1_210, OWN.id(), List.of(), List.of());
            assertThat(mBorrower.startedOn().get(2)).isEqualTo(OWN.id());
        }

        /** Guards against a task that is lost when its first order is rejected. */
        @Test
        void aRejectedStartIsRepeatedElsewhere() {
            String lent = lend();
            mBorrower.report(45, lent, List.of(), List.of());
            mBorrower.answer(47, mBorrower.starts().get(1), OrderResult.FENCED);
            assertThat(mBorrower.actions(CellAction.Deposed.class)).isEmpty();
            endRun(mBorrower, 60, mBorrower.starts().get(0), 2);
            assertThat(mBorrower.startedOn().get(2)).isEqualTo(OWN.id());
        }

        /**
         * Guards against a task that runs twice at a time: the borrower starts it elsewhere when
         * its own last lease has expired, so nobody else may extend that lease.
         */
        @Test
        void theNextLenderExtendsNoLeaseOfTheBorrowersRuns() {
            CellAction.StartRun start = lendAndStart();
            String lent = start.target().id();
            mLender.on(100, new CellEvent.TermEnded());
            mLender.clearActions();
            mLender.on(
                    110, new CellEvent.TermBegan(NEXT_FENCE, Optional.of(List.of(FIRST, SECOND))));
            mLender.report(112, other(lent), List.of(), List.of());
            for (long ms = 115; ms <= 1_500; ms += 10) {
                mLender.report(ms, lent, List.of(active(start)), List.of());
                mLender.on(ms, new CellEvent.Ticked());
            }
            for (CellAction.ExtendLease call : mLender.actions(CellAction.ExtendLease.class)) {
                if (call.target().id().equals(lent) && call.fence() == NEXT_FENCE) {
                    assertThat(call.untilMs()).isEqualTo(0);
                }
            }
            assertThat(mLender.actions(CellAction.StopRun.class)).isEmpty();
        }

        /** Guards against a target that gets more than its capacity. */
        @Test
        void theNextLenderGivesTheTargetNoWorkBeforeTheRunsHaveEnded() {
            CellAction.StartRun start = lendAndStart();
            String lent = start.target().id();
            mLender.on(100, new CellEvent.TermEnded());
            mLender.on(
                    110, new CellEvent.TermBegan(NEXT_FENCE, Optional.of(List.of(FIRST, SECOND))));
            mLender.listed(111, FIRST, SECOND);
            mLender.on(111, new CellEvent.PredecessorsKnown());
            mLender.report(112, other(lent), List.of(), List.of());
            mLender.report(113, lent, List.of(active(start)), List.of());
            int before = mLender.starts().size();
            mLender.offer(120, job(LENDER, 3), 4);
            mLender.on(140, new CellEvent.Ticked());
            assertThat(mLender.starts()).hasSize(before + 2);
            mLender.report(150, lent, List.of(), List.of(ended(start, 1)));
            assertThat(mLender.starts()).hasSize(before + 4);
        }
    }

    @Nested
    final class BorrowerLost {
        /** Guards against an answer to an order of an earlier term under the same token. */
        @Test
        void anAnswerToAnEarlierTermConfirmsNothing() {
            CellAction.StartRun start = lendAndStart();
            mBorrower.answer(50, start, OrderResult.DONE);
            CellEvent earlier =
                    new CellEvent.StartAnswered(
                            start.target().id(),
                            start.task(),
                            start.run(),
                            BORROWER_FENCE - 1,
                            OrderResult.NOT_RUN);
            mBorrower.on(60, earlier);
            assertThat(mBorrower.controller().state().runs()).isEqualTo(2);
        }

        /** Guards against a lender that waits for the end of a loan although nothing runs there. */
        @Test
        void aTermThatEndsAsPlannedReturnsIdleTargets() {
            lend();
            mBorrower.on(50, new CellEvent.TermEnded());
            deliver(51, false);
            assertThat(mLender.controller().state().lent()).isEqualTo(0);
        }

        /** Guards against a grant to an earlier term of the borrower. */
        @Test
        void aGrantToAnEarlierTermIsIgnored() {
            mBorrower.offer(40, job(BORROWER, 1), 2);
            deliver(41, false);
            mBorrower.on(42, new CellEvent.TermEnded());
            mBorrower.begin(43, BORROWER_FENCE + 1, OWN);
            CellMessage grant = deliver(44, true).get(0);
            assertThat(((CellMessage.LoanGrant) grant).targets()).isNotEmpty();
            assertThat(mBorrower.controller().state().borrowed()).isEqualTo(0);
        }
    }
}
