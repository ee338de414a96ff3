package org.boragegap.standin;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Members and partitions of the store's group. */
final class ConsumerGroupTest {
    private static final Set<String> TOPIC = Set.of("cell-0");
    private static final long LEASE_MS = 1_000;

    private final ConsumerGroup mGroup = ConsumerGroup.create();

    private ConsumerGroup.Assignment join(String member, long generation, long nowMs) {
        return mGroup.join(member, TOPIC, LEASE_MS, generation, nowMs);
    }

    private Set<String> listedMembers(long nowMs) {
        return Set.copyOf(mGroup.owners(nowMs).stream().map(ConsumerGroup.Row::member).toList());
    }

    @Nested
    final class Commit {
        private static final ConsumerGroup.Partition FIRST =
                new ConsumerGroup.Partition("cell-0", 0);

        private boolean accepted(String member, long generation, long nowMs) {
            return mGroup.commit(member, FIRST, generation, nowMs);
        }

        /** A holder that keeps a partition while others come and go must not lose its proof. */
        @Test
        void isAcceptedWhileThePartitionIsHeld() {
            long first = join("a", 0, 0).generation();
            join("b", 0, 10);
            mGroup.leave("b");
            assertThat(accepted("a", first, 20)).isTrue();
        }

        /** A partition that was reassigned in between must not count as held all the while. */
        @Test
        void isRefusedWithAGenerationFromBeforeItHeldIt() {
            long first = join("a", 0, 0).generation();
            mGroup.reassignAtOnce(new SplittableRandom(1));
            long second = join("a", first, 10).generation();
            assertThat(accepted("a", first, 20)).isFalse();
            assertThat(accepted("a", second, 20)).isTrue();
        }

        /** A member that doesn't hold the partition must not be taken for its holder. */
        @Test
        void isRefusedToOtherMembers() {
            long first = join("a", 0, 0).generation();
            join("b", 0, 10);
            assertThat(accepted("b", first, 20)).isFalse();
            assertThat(accepted("a", first, LEASE_MS + 30)).isFalse();
        }
    }

    @Nested
    final class Transfer {
        /** A partition must not have two holders: the next one waits for the earlier one's join. */
        @Test
        void partitionMovesWhenItsHolderJoinsWithTheNewGeneration() {
            long first = join("b", 0, 0).generation();
            ConsumerGroup.Assignment added = join("a", 0, 10);
            assertThat(added.generation()).isGreaterThan(first);
            assertThat(added.partitions()).isEmpty();

            List<ConsumerGroup.Partition> kept = join("b", first, 20).partitions();
            assertThat(kept).hasSize(ConsumerGroup.PARTITIONS / 2);
            assertThat(join("a", added.generation(), 30).partitions()).isEmpty();

            join("b", added.generation(), 40);
            assertThat(join("a", added.generation(), 50).partitions())
                    .hasSize(ConsumerGroup.PARTITIONS / 2);
        }

        /** The cell of a VM that has left must not wait for that VM's lease. */
        @Test
        void partitionsOfAMemberThatLeavesMoveAtOnce() {
            join("a", 0, 0);
            join("b", 0, 10);
            mGroup.leave("a");
            assertThat(join("b", 0, 20).partitions()).hasSize(ConsumerGroup.PARTITIONS);
        }

        /** The partitions of a silent member must move after its lease, and not before it. */
        @Test
        void partitionsOfASilentMemberMoveAfterItsLease() {
            join("a", 0, 0);
            join("b", 0, LEASE_MS);
            assertThat(mGroup.holder("cell-0", 0)).hasValue("a");
            assertThat(join("b", 0, LEASE_MS + 1).partitions()).hasSize(ConsumerGroup.PARTITIONS);
        }

        /** A member that stops requesting a topic must not keep its partitions. */
        @Test
        void droppedTopicIsReleased() {
            join("a", 0, 0);
            mGroup.join("a", Set.of("roster-1"), LEASE_MS, 0, 10);
            assertThat(mGroup.holder("cell-0", 0)).isEmpty();
        }
    }

    @Nested
    final class ReassignedAtOnce {
        /**
         * The store may give a silent member's partitions to another one while its lease is still
         * valid.
         */
        @Test
        void partitionMovesWithoutAJoinOfItsHolder() {
            join("a", 0, 0);
            join("b", 0, 10);
            SplittableRandom random = new SplittableRandom(1);
            int tries = 0;
            while (mGroup.holder("cell-0", 0).filter("a"::equals).isPresent()) {
                mGroup.reassignAtOnce(random);
                assertThat(++tries).isLessThan(100);
            }
            assertThat(join("b", 0, 20).partitions())
                    .contains(new ConsumerGroup.Partition("cell-0", 0));
        }
    }

    @Nested
    final class Unassigned {
        private final SplittableRandom mRandom = new SplittableRandom(1);

        private long changeUntilUnassigned(String member) {
            mGroup.unassignMembersOnChange(mRandom);
            long generation = 0;
            for (int i = 0; listedMembers(20).contains(member); i++) {
                generation = join("added-" + i, 0, 20).generation();
                assertThat(i).isLessThan(100);
            }
            return generation;
        }

        /**
         * A VM that holds no partition for a moment isn't listed, although it is a member. It is
         * listed again once it has joined with the new generation, and not before.
         */
        @Test
        void memberIsNotListedUntilItJoinsWithTheNewGeneration() {
            long old = join("a", 0, 0).generation();
            long generation = changeUntilUnassigned("a");
            assertThat(join("a", old, 30).partitions()).isEmpty();
            assertThat(listedMembers(30)).doesNotContain("a");
            assertThat(join("a", generation, 40).partitions()).isNotEmpty();
            assertThat(listedMembers(40)).contains("a");
        }

        /** Off by default: a test that doesn't ask for it must see every member that holds. */
        @Test
        void everyHolderIsListedByDefault() {
            join("a", 0, 0);
            for (int i = 0; i < ConsumerGroup.PARTITIONS - 1; i++) {
                join("added-" + i, 0, 10);
                assertThat(listedMembers(10)).contains("a");
            }
        }
    }
}
