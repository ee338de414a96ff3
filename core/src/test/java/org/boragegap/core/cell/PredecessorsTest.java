package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.Predecessors.Knowledge;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * VMs are stopped and started in turn; at each move of the cell callers wait until the new
 * controller may start tasks. It may when nothing of an earlier one can be at work unseen.
 */
final class PredecessorsTest {
    private static final long LAST_TERM = 7_000;
    private static final long BEGAN_MS = 9_600;
    private static final long LISTED_MS = 9_610;
    private static final Set<String> PEERS = Set.of("vm2", "vm3");

    private final Predecessors mBefore = new Predecessors();

    private static CellMessage.Following answer(boolean steady, long ownFence, long endedAgoMs) {
        return new CellMessage.Following(
                9_000, new ClockReading(0, 0), false, steady, ownFence, endedAgoMs, 0);
    }

    private Knowledge knowledge(CellMessage.Following vm2, CellMessage.Following vm3) {
        mBefore.membersListed(PEERS, LISTED_MS);
        mBefore.answered("vm2", vm2);
        mBefore.answered("vm3", vm3);
        return mBefore.knowledge(PEERS, true, 10_000);
    }

    @Nested
    final class MayStart {
        @Test
        void whenNobodyControlledTheCellLately() {
            mBefore.termBegan(0, BEGAN_MS);
            assertThat(knowledge(answer(true, 0, 0), answer(true, 5_000, 1_101)))
                    .isEqualTo(Knowledge.OVER);
        }

        /** The controller has just stopped as planned; its targets are known and are asked. */
        @Test
        void afterTheTargetsOfTheOneThatJustEndedHaveReported() {
            mBefore.termBegan(LAST_TERM, BEGAN_MS);
            Knowledge knowledge = knowledge(answer(true, LAST_TERM, 200), answer(true, 0, 0));
            assertThat(knowledge).isEqualTo(Knowledge.TARGETS_KNOWN);
            assertThat(knowledge.enough()).isTrue();
        }
    }

    /**
     * All VMs were dark and start again, the strong ones first. Callers waited until the slowest
     * had answered, though none of them can have controlled the cell since.
     */
    @Nested
    final class WhoComesLater {
        private static final Set<String> WITH_NEWCOMERS = Set.of("vm2", "vm3", "vm4", "vm5");

        @Test
        void isNotWaitedFor() {
            mBefore.termBegan(0, BEGAN_MS);
            knowledge(answer(true, 0, 0), answer(true, 0, 0));
            assertThat(mBefore.knowledge(WITH_NEWCOMERS, true, 10_000)).isEqualTo(Knowledge.OVER);
        }

        @Test
        void countsIfItAnswersThatItHasKeptAControllerInOffice() {
            mBefore.termBegan(0, BEGAN_MS);
            knowledge(answer(true, 0, 0), answer(false, 0, 0));
            mBefore.answered("vm4", answer(false, 0, 0));
            assertThat(mBefore.knowledge(WITH_NEWCOMERS, true, 10_000))
                    .isEqualTo(Knowledge.STORE_WAS_AWAY);
        }
    }

    @Nested
    final class HasToWait {
        @Test
        void untilAllHaveAnswered() {
            mBefore.termBegan(LAST_TERM, BEGAN_MS);
            mBefore.membersListed(PEERS, LISTED_MS);
            mBefore.answered("vm2", answer(true, 0, 0));
            assertThat(mBefore.knowledge(PEERS, true, 10_000)).isEqualTo(Knowledge.AWAITS_ANSWERS);
        }

        /** Asked for before the term began, it may lack who controlled the cell in between. */
        @Test
        void forAReadingOfThisTerm() {
            mBefore.termBegan(LAST_TERM, BEGAN_MS);
            mBefore.membersListed(PEERS, BEGAN_MS - 1);
            mBefore.answered("vm2", answer(true, 0, 0));
            mBefore.answered("vm3", answer(true, 0, 0));
            assertThat(mBefore.knowledge(PEERS, true, 10_000)).isEqualTo(Knowledge.AWAITS_ANSWERS);
        }

        /** One that ended just now had targets that this VM was not told of. */
        @Test
        void whileALaterTermsTargetsAreUnknown() {
            mBefore.termBegan(LAST_TERM, BEGAN_MS);
            assertThat(knowledge(answer(true, 8_000, 200), answer(true, 0, 0)))
                    .isEqualTo(Knowledge.TARGETS_UNKNOWN);
        }

        @Test
        void whileMostMayHaveKeptAControllerInOffice() {
            mBefore.termBegan(LAST_TERM, BEGAN_MS);
            assertThat(knowledge(answer(false, 0, 0), answer(false, 0, 0)))
                    .isEqualTo(Knowledge.STORE_WAS_AWAY);
        }

        /** Answers that were given to an earlier term of this VM say nothing of this one. */
        @Test
        void forAnswersToThisTerm() {
            mBefore.termBegan(LAST_TERM, BEGAN_MS);
            knowledge(answer(true, 0, 0), answer(true, 0, 0));
            mBefore.termBegan(LAST_TERM, BEGAN_MS);
            mBefore.membersListed(PEERS, LISTED_MS);
            assertThat(mBefore.knowledge(PEERS, true, 10_000)).isEqualTo(Knowledge.AWAITS_ANSWERS);
        }
    }

    @Test
    void itsOwnLastTermCountsToo() {
        mBefore.ownTermEnded(LAST_TERM, 9_500);
        assertThat(mBefore.ownOver(10_000)).isFalse();
        mBefore.termBegan(0, BEGAN_MS);
        assertThat(knowledge(answer(true, 0, 0), answer(true, 0, 0)))
                .isEqualTo(Knowledge.TARGETS_UNKNOWN);
    }
}
