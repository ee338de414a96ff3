package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.Predecessors.Knowledge;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * During a rolling restart, callers wait at each move of the cell until the new controller may
 * start tasks. It may do so once no task of an earlier controller can be running unnoticed.
 */
final class PredecessorsTest {
    private static final long LAST_TERM = 7_000;
    private static final long BEGAN_MS = 9_600;
    private static final long LISTED_MS = 9_610;
    private static final Set<String> PEERS = Set.of("vm2", "vm3");

    private final Predecessors mPredecessors = new Predecessors();

    private static CellMessage.HeartbeatReply answer(
            boolean sawNoOutage, long lastOwnFence, long endedAgoMs) {
        return new CellMessage.HeartbeatReply(
                9_000, new ClockReading(0, 0), false, sawNoOutage, lastOwnFence, endedAgoMs, 0);
    }

    private Knowledge assess(CellMessage.HeartbeatReply vm2, CellMessage.HeartbeatReply vm3) {
        mPredecessors.membersListed(PEERS, LISTED_MS);
        mPredecessors.answered("vm2", vm2);
        mPredecessors.answered("vm3", vm3);
        return mPredecessors.assess(true, 10_000);
    }

    @Nested
    final class MayStart {
        @Test
        void whenNobodyControlledTheCellLately() {
            mPredecessors.termBegan(0, BEGAN_MS);
            assertThat(assess(answer(true, 0, 0), answer(true, 5_000, 1_101)))
                    .isEqualTo(Knowledge.NO_RECENT_TERM);
        }

        /** The controller has just stopped as planned; its targets are known and are asked. */
        @Test
        void afterTheTargetsOfTheOneThatJustEndedHaveReported() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            Knowledge knowledge = assess(answer(true, LAST_TERM, 200), answer(true, 0, 0));
            assertThat(knowledge).isEqualTo(Knowledge.TARGETS_KNOWN);
            assertThat(knowledge.isSufficient()).isTrue();
        }
    }

    /**
     * All VMs were down and start again, the strong ones first. Callers waited until the slowest VM
     * had replied, although none of them can have controlled the cell since.
     */
    @Nested
    final class LaterMembers {
        @Test
        void areNotWaitedFor() {
            mPredecessors.termBegan(0, BEGAN_MS);
            assess(answer(true, 0, 0), answer(true, 0, 0));
            mPredecessors.membersListed(Set.of("vm2", "vm3", "vm4", "vm5"), LISTED_MS + 100);
            assertThat(mPredecessors.assess(true, 10_000)).isEqualTo(Knowledge.NO_RECENT_TERM);
        }

        @Test
        void countIfTheyReportAnOutage() {
            mPredecessors.termBegan(0, BEGAN_MS);
            assess(answer(true, 0, 0), answer(false, 0, 0));
            mPredecessors.answered("vm4", answer(false, 0, 0));
            assertThat(mPredecessors.assess(true, 10_000)).isEqualTo(Knowledge.STORE_WAS_AWAY);
        }
    }

    @Nested
    final class HasToWait {
        /** Guards against the answer of a VM that counts only while the list names the VM. */
        @Test
        void forALaterTermOfAnUnlistedVm() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            mPredecessors.membersListed(PEERS, LISTED_MS);
            mPredecessors.answered("vm2", answer(true, 0, 0));
            mPredecessors.answered("vm3", answer(true, 0, 0));
            mPredecessors.answered("vm4", answer(true, 8_000, 54));
            assertThat(mPredecessors.assess(true, 10_000)).isEqualTo(Knowledge.TARGETS_UNKNOWN);
        }

        @Test
        void untilAllHaveAnswered() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            mPredecessors.membersListed(PEERS, LISTED_MS);
            mPredecessors.answered("vm2", answer(true, 0, 0));
            assertThat(mPredecessors.assess(true, 10_000)).isEqualTo(Knowledge.AWAITS_ANSWERS);
        }

        /**
         * A list that was requested before the term began may lack a VM that controlled the cell in
         * between.
         */
        @Test
        void untilTheMembersAreReadInThisTerm() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            mPredecessors.membersListed(PEERS, BEGAN_MS - 1);
            mPredecessors.answered("vm2", answer(true, 0, 0));
            mPredecessors.answered("vm3", answer(true, 0, 0));
            assertThat(mPredecessors.assess(true, 10_000)).isEqualTo(Knowledge.AWAITS_ANSWERS);
        }

        /**
         * Guards against tasks that run twice at a time: the reports of the listed targets don't
         * tell what runs on the borrowed ones.
         */
        @Test
        void whileALaterTermsBorrowedTargetsMayBeBusy() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            CellMessage.HeartbeatReply borrower =
                    new CellMessage.HeartbeatReply(
                            LAST_TERM + 1,
                            new ClockReading(0, 0),
                            false,
                            true,
                            LAST_TERM,
                            200,
                            0,
                            true);
            assertThat(assess(borrower, answer(true, 0, 0))).isEqualTo(Knowledge.TARGETS_UNKNOWN);
        }

        /** The targets of a term that has just ended were not sent to this VM. */
        @Test
        void whileALaterTermsTargetsAreUnknown() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            assertThat(assess(answer(true, 8_000, 200), answer(true, 0, 0)))
                    .isEqualTo(Knowledge.TARGETS_UNKNOWN);
        }

        @Test
        void whileAMajorityMayHaveEndorsedAController() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            assertThat(assess(answer(false, 0, 0), answer(false, 0, 0)))
                    .isEqualTo(Knowledge.STORE_WAS_AWAY);
        }

        /** Replies to an earlier term of this VM don't count for this one. */
        @Test
        void forAnswersToThisTerm() {
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            assess(answer(true, 0, 0), answer(true, 0, 0));
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            mPredecessors.membersListed(PEERS, LISTED_MS);
            assertThat(mPredecessors.assess(true, 10_000)).isEqualTo(Knowledge.AWAITS_ANSWERS);
        }
    }

    /**
     * Guards against tasks that run twice on a borrowed target: the new process of a controller
     * that was killed answers for it, or the list of VMs misses it.
     */
    @Nested
    final class WhereTargetsAreBorrowed {
        @Test
        void hasToWaitUnlessTheLastControllerAnswers() {
            mPredecessors.targetsMayBeBorrowed();
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            assertThat(assess(answer(true, 0, 0), answer(true, 0, 0)))
                    .isEqualTo(Knowledge.TARGETS_UNKNOWN);
        }

        @Test
        void mayStartIfTheLastControllerBorrowedNone() {
            mPredecessors.targetsMayBeBorrowed();
            mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
            assertThat(assess(answer(true, LAST_TERM, 200), answer(true, 0, 0)))
                    .isEqualTo(Knowledge.TARGETS_KNOWN);
        }
    }

    /** Guards against tasks of the own last term that run twice at a time. */
    @Test
    void itsOwnBorrowedTargetsCountToo() {
        mPredecessors.ownTermEnded(LAST_TERM, true, 9_500);
        mPredecessors.termBegan(LAST_TERM, BEGAN_MS);
        assertThat(assess(answer(true, 0, 0), answer(true, 0, 0)))
                .isEqualTo(Knowledge.TARGETS_UNKNOWN);
    }

    @Test
    void itsOwnLastTermCountsToo() {
        mPredecessors.ownTermEnded(LAST_TERM, false, 9_500);
        assertThat(mPredecessors.ownLeasesExpired(10_000)).isFalse();
        mPredecessors.termBegan(0, BEGAN_MS);
        assertThat(assess(answer(true, 0, 0), answer(true, 0, 0)))
                .isEqualTo(Knowledge.TARGETS_UNKNOWN);
    }
}
