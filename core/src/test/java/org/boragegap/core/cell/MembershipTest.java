package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Whether a VM may assume that it controls the cell. */
final class MembershipTest {
    private static final long LEASE_MS = 1_000;

    private final Membership mMembership = Membership.create(LEASE_MS, at(0));

    private static ClockReading at(long ms) {
        return new ClockReading(ms, ms);
    }

    private void join(long generation, boolean holds, long ms) {
        mMembership.joined(generation, holds, at(ms), at(ms + 5));
    }

    @Nested
    final class Terms {
        @Test
        void eachTermHasAHigherFencingToken() {
            join(3, true, 0);
            long first = mMembership.fence().get();
            mMembership.deposed();
            join(3, true, 250);
            long second = mMembership.fence().get();
            join(4, false, 500);
            mMembership.tick(at(250 + LEASE_MS + 1), Optional.empty());
            assertThat(mMembership.fence()).isEmpty();
            join(5, true, 1_500);
            assertThat(second).isGreaterThan(first);
            assertThat(mMembership.fence().get()).isGreaterThan(second);
        }

        @Test
        void aResignedVmTakesTheCellNoMore() {
            join(3, true, 0);
            mMembership.resign();
            join(4, true, 250);
            assertThat(mMembership.fence()).isEmpty();
        }

        /**
         * Guards against refusing callers for a second each time another VM joins or leaves: the
         * group rebalances, and names the same holder again 20 ms later.
         */
        @Test
        void aTermContinuesWhenTheCellIsReassignedToItsHolder() {
            join(3, true, 0);
            long fence = mMembership.fence().get();
            join(4, false, 250);
            assertThat(mMembership.fence()).hasValue(fence);
            assertThat(mMembership.exclusiveUntilMs(at(255))).isEqualTo(LEASE_MS);
            join(5, true, 270);
            assertThat(mMembership.fence()).hasValue(fence);
        }

        /** Guards against a VM that doesn't notice that another one held the cell in its term. */
        @Test
        void aVmThatIsNamedAgainIsTold() {
            join(3, true, 0);
            assertThat(mMembership.namedAgain()).isFalse();
            join(4, false, 250);
            assertThat(mMembership.namedAgain()).isFalse();
            join(5, true, 270);
            assertThat(mMembership.namedAgain()).isTrue();
            join(5, true, 520);
            assertThat(mMembership.namedAgain()).isFalse();
        }

        /**
         * The answer to a join was delayed by a network partition, so it doesn't describe the
         * present.
         */
        @Test
        void anAnswerOlderThanTheLeaseBeginsNoTerm() {
            mMembership.joined(3, true, at(0), at(LEASE_MS));
            assertThat(mMembership.fence()).isEmpty();
        }
    }

    @Nested
    final class Expiry {
        @Test
        void aTermEndsWithTheMembership() {
            join(3, true, 0);
            mMembership.tick(at(LEASE_MS), Optional.empty());
            assertThat(mMembership.fence()).isPresent();
            mMembership.tick(at(LEASE_MS + 1), Optional.empty());
            assertThat(mMembership.fence()).isEmpty();
        }

        /**
         * The store is unavailable, and all other VMs follow this one: none of them has been
         * assigned the cell, and work continues.
         */
        @Test
        void aTermOutlastsAStoreOutageThatAffectsAll() {
            join(3, true, 0);
            mMembership.tick(at(5_000), Optional.of(at(4_900)));
            assertThat(mMembership.fence()).isPresent();
        }

        /**
         * The store is unavailable, and the followers that endorsed the controller fall silent:
         * each endorsement is valid for one lease from the heartbeat that it answers, so that the
         * next controller can tell when the last one has expired.
         */
        @Test
        void aTermWithoutTheStoreEndsALeaseAfterTheLastAnsweredHeartbeat() {
            join(3, true, 0);
            mMembership.tick(at(5_000), Optional.of(at(4_900)));
            assertThat(mMembership.exclusiveUntilMs(at(5_000))).isEqualTo(4_900 + LEASE_MS);
            mMembership.tick(at(4_900 + LEASE_MS + 1), Optional.of(at(4_900)));
            assertThat(mMembership.fence()).isEmpty();
        }

        /**
         * The store is available again and rebalances; its first answer names no holder. Callers
         * were refused for over a second each time the store returned, although the others followed
         * this VM all the time.
         */
        @Test
        void aTermContinuesWhileTheGroupRebalances() {
            join(3, true, 0);
            mMembership.tick(at(5_000), Optional.of(at(4_900)));
            long fence = mMembership.fence().get();
            join(8, false, 5_010);
            assertThat(mMembership.fence()).hasValue(fence);
            assertThat(mMembership.exclusiveUntilMs(at(5_015))).isEqualTo(4_900 + LEASE_MS);
            join(9, true, 5_030);
            assertThat(mMembership.fence()).hasValue(fence);
        }

        /** The group has assigned the cell to another VM, and the endorsements have expired. */
        @Test
        void aTermEndsWhenTheCellIsReassignedAndNoEndorsementLasts() {
            join(3, true, 0);
            mMembership.tick(at(5_000), Optional.of(at(4_900)));
            join(8, false, 5_010);
            mMembership.tick(at(4_900 + LEASE_MS + 1), Optional.empty());
            assertThat(mMembership.fence()).isEmpty();
        }

        /** Paused since that heartbeat: the others may have found another controller meanwhile. */
        @Test
        void anAnswerFromBeforeAPauseGrantsNothing() {
            join(3, true, 0);
            ClockReading resumed = new ClockReading(5_000, 8_000);
            mMembership.tick(resumed, Optional.of(at(4_900)));
            assertThat(mMembership.exclusiveUntilMs(resumed)).isAtMost(resumed.monotonicMs());
        }

        /**
         * The process is paused for two seconds, which its monotonic clock doesn't count. Another
         * VM may have the cell by then, so nothing may be started before the group has answered.
         */
        @Test
        void aPausedProcessHasNoAuthority() {
            join(3, true, 0);
            ClockReading resumed = new ClockReading(100, 2_100);
            assertThat(mMembership.exclusiveUntilMs(resumed)).isAtMost(resumed.monotonicMs());
            mMembership.joined(3, true, resumed, resumed);
            assertThat(mMembership.exclusiveUntilMs(resumed)).isGreaterThan(resumed.monotonicMs());
        }

        /**
         * The store is unavailable for less than a lease, and the controller continues without it.
         * A VM that takes the cell afterwards must not state that there was no outage.
         */
        @Test
        void aShortOutageIsNoticed() {
            for (long ms = 0; ms <= 3_000; ms += 250) {
                join(3, false, ms);
            }
            join(3, false, 3_000 + LEASE_MS - 50);
            assertThat(mMembership.sawNoOutage(at(3_000 + LEASE_MS))).isFalse();
        }

        /**
         * All VMs lose power and start again at once. Callers are refused until the first term may
         * start tasks. Endorsements by an earlier incarnation of this VM expire a lease after it
         * ended, and it ended before this process started.
         */
        @Test
        void aNewProcessRulesOutAnOutageAfterALease() {
            for (long ms = 700; ms <= LEASE_MS; ms += 100) {
                join(3, false, ms);
            }
            assertThat(mMembership.sawNoOutage(at(LEASE_MS + 50))).isFalse();
            assertThat(mMembership.sawNoOutage(at(LEASE_MS + 51))).isTrue();
        }

        /** Before its first join the process endorsed a controller, which still may act. */
        @Test
        void endorsingAControllerCountsAsAnOutage() {
            mMembership.endorsedController(at(800));
            join(3, false, 1_000);
            assertThat(mMembership.sawNoOutage(at(LEASE_MS + 51))).isFalse();
            assertThat(mMembership.sawNoOutage(at(800 + LEASE_MS + 50))).isFalse();
        }

        /**
         * A VM that was paused during an outage of the store must not state that there was none.
         */
        @Test
        void aPauseCountsAsAnOutage() {
            for (long ms = 0; ms <= 3_000; ms += 250) {
                join(3, false, ms);
            }
            assertThat(mMembership.sawNoOutage(at(3_100))).isTrue();
            ClockReading resumed = new ClockReading(3_300, 6_300);
            mMembership.joined(3, false, resumed, resumed);
            assertThat(mMembership.sawNoOutage(resumed)).isFalse();
        }
    }
}
