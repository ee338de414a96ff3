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

    /** The group names this VM in a later generation than that of its term. */
    @Nested
    final class NamedInALaterGeneration {
        private static final long NAMED_MS = 500;

        private long mFirstFence;

        private Membership.HoldCheck namedAgain() {
            join(3, true, 0);
            mFirstFence = mMembership.fence().get();
            join(5, true, NAMED_MS);
            return mMembership.takeHoldCheck().get();
        }

        private void answer(Membership.HoldCheck check, boolean unbroken, long sentMs) {
            mMembership.holdChecked(check, unbroken, at(sentMs), at(sentMs + 5));
        }

        /** Guards against leases that are extended beside those of the VM named in between. */
        @Test
        void extendsNothingWithoutProof() {
            namedAgain();
            assertThat(mMembership.fence()).hasValue(mFirstFence);
            assertThat(mMembership.exclusiveUntilMs(at(NAMED_MS + 5))).isEqualTo(LEASE_MS);
        }

        /** Guards against a term that ends whenever a VM joins or is dropped. */
        @Test
        void goesOnIfItsHoldIsUnbroken() {
            answer(namedAgain(), true, NAMED_MS + 10);
            assertThat(mMembership.fence()).hasValue(mFirstFence);
            assertThat(mMembership.exclusiveUntilMs(at(NAMED_MS + 20)))
                    .isEqualTo(NAMED_MS + 10 + LEASE_MS);
            join(5, true, NAMED_MS + 250);
            assertThat(mMembership.takeHoldCheck()).isEmpty();
            assertThat(mMembership.exclusiveUntilMs(at(NAMED_MS + 255)))
                    .isEqualTo(NAMED_MS + 250 + LEASE_MS);
        }

        /** Guards against a term that goes on although another VM held the cell in it. */
        @Test
        void beginsAnotherTermIfItsHoldWasBroken() {
            answer(namedAgain(), false, NAMED_MS + 10);
            assertThat(mMembership.fence().get()).isGreaterThan(mFirstFence);
            assertThat(mMembership.exclusiveUntilMs(at(NAMED_MS + 20)))
                    .isEqualTo(NAMED_MS + LEASE_MS);
        }

        /** Guards against a VM that takes the cell although the group names another one. */
        @Test
        void endsItsTermIfItIsNotNamedAnyMore() {
            Membership.HoldCheck check = namedAgain();
            join(6, false, NAMED_MS + 5);
            answer(check, false, NAMED_MS + 10);
            assertThat(mMembership.fence()).isEmpty();
        }

        /** Guards against a VM that gives the cell up because answers of the store are lost. */
        @Test
        void beginsAnotherTermWhenNoAnswerComesInTime() {
            namedAgain();
            join(5, true, NAMED_MS + 400);
            mMembership.tick(at(LEASE_MS + 1), Optional.empty());
            assertThat(mMembership.fence().get()).isGreaterThan(mFirstFence);
        }

        /** Guards against an answer that ends a term that it doesn't concern. */
        @Test
        void answersToEarlierChecksChangeNothing() {
            Membership.HoldCheck first = namedAgain();
            answer(first, false, NAMED_MS + 10);
            long second = mMembership.fence().get();
            answer(first, false, NAMED_MS + 20);
            assertThat(mMembership.fence()).hasValue(second);
        }

        /** Guards against authority by an answer that doesn't describe the present. */
        @Test
        void anAnswerOlderThanTheLeaseProvesNothing() {
            Membership.HoldCheck check = namedAgain();
            mMembership.holdChecked(check, true, at(NAMED_MS), at(NAMED_MS + LEASE_MS));
            assertThat(mMembership.lastHeld()).hasValue(at(0));
        }

        /** Guards against endorsements of a term that was broken counting for the next one. */
        @Test
        void endorsementsOfTheEarlierTermDoNotCount() {
            Membership.HoldCheck check = namedAgain();
            mMembership.tick(at(NAMED_MS + 8), Optional.of(at(NAMED_MS + 7)));
            answer(check, false, NAMED_MS + 10);
            assertThat(mMembership.exclusiveUntilMs(at(NAMED_MS + 20)))
                    .isEqualTo(NAMED_MS + LEASE_MS);
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
