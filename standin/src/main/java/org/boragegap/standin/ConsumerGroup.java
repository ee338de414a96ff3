package org.boragegap.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The store's consumer group: its members, and which of them holds each partition.
 *
 * <p>A change of the membership distributes the partitions again. One that moves is no longer
 * listed for its holder, and moves once the holder has joined with the new generation, has left or
 * has expired. Not thread-safe; times are on one monotonic clock, in ms.
 */
final class ConsumerGroup {
    /** Number of partitions of each topic. */
    static final int PARTITIONS = 12;

    /** One in this many members holds no partition after a change, if that is enabled. */
    private static final int UNASSIGNED_ONE_IN = 2;

    /** A partition of a topic. */
    record Partition(String topic, int number) {}

    /** A partition and its holder. */
    record Row(Partition partition, String member) {}

    /** Answer to a join. */
    record Assignment(long generation, List<Partition> partitions) {}

    private record Transfer(String nextHolder, long generation) {}

    private static final class Member {
        private long mLastJoinMs;
        private long mLeaseMs;
        private Set<String> mTopics = Set.of();

        /** The member holds no partition until it joins with this generation; 0 if it does. */
        private long mUnassignedUntil;
    }

    private final Map<String, Member> mMembers = new TreeMap<>();
    private final Map<Partition, String> mHolders = new HashMap<>();
    private final Map<Partition, Transfer> mTransfers = new HashMap<>();

    /** The generation since which its holder holds each partition without a break. */
    private final Map<Partition, Long> mHeldSince = new HashMap<>();

    private Optional<SplittableRandom> mUnassigning = Optional.empty();
    private long mGeneration = 1;
    private int mFirstSubscriber;

    private ConsumerGroup() {}

    static ConsumerGroup create() {
        return new ConsumerGroup();
    }

    /**
     * From now on each change of the generation leaves some members without any partition until
     * they have joined with that generation.
     */
    void unassignMembersOnChange(SplittableRandom random) {
        mUnassigning = Optional.of(random);
    }

    Assignment join(String name, Set<String> topics, long leaseMs, long generation, long nowMs) {
        expire(nowMs);
        Member member = mMembers.computeIfAbsent(name, key -> new Member());
        boolean changed = !member.mTopics.equals(topics);
        member.mLastJoinMs = nowMs;
        member.mLeaseMs = leaseMs;
        member.mTopics = Set.copyOf(topics);
        confirm(name, generation);
        if (changed) {
            mHolders.entrySet()
                    .removeIf(
                            entry ->
                                    entry.getValue().equals(name)
                                            && !topics.contains(entry.getKey().topic()));
            changed();
        }
        return new Assignment(mGeneration, listed(name));
    }

    private List<Partition> listed(String name) {
        List<Partition> listed = new ArrayList<>();
        if (mMembers.get(name).mUnassignedUntil > 0) {
            return listed;
        }
        for (Map.Entry<Partition, String> entry : mHolders.entrySet()) {
            if (entry.getValue().equals(name) && !mTransfers.containsKey(entry.getKey())) {
                listed.add(entry.getKey());
            }
        }
        return listed;
    }

    private void confirm(String name, long generation) {
        Member member = mMembers.get(name);
        if (member.mUnassignedUntil > 0 && generation >= member.mUnassignedUntil) {
            member.mUnassignedUntil = 0;
            mHeldSince.replaceAll(
                    (partition, since) ->
                            name.equals(mHolders.get(partition)) ? mGeneration : since);
        }
        for (Partition partition : List.copyOf(mTransfers.keySet())) {
            if (name.equals(mHolders.get(partition))
                    && generation >= mTransfers.get(partition).generation()) {
                assign(partition, mTransfers.remove(partition).nextHolder());
            }
        }
    }

    private void assign(Partition partition, String holder) {
        mHolders.put(partition, holder);
        mHeldSince.put(partition, mGeneration);
    }

    /**
     * Returns true if a commit is accepted: the member holds the partition, and has held it since
     * the generation that it names.
     */
    boolean commit(String name, Partition partition, long generation, long nowMs) {
        expire(nowMs);
        return mMembers.containsKey(name)
                && listed(name).contains(partition)
                && generation >= mHeldSince.get(partition);
    }

    void leave(String name) {
        if (mMembers.remove(name) != null) {
            changed();
        }
    }

    private void expire(long nowMs) {
        for (String name : List.copyOf(mMembers.keySet())) {
            Member member = mMembers.get(name);
            if (nowMs - member.mLastJoinMs > member.mLeaseMs) {
                leave(name);
            }
        }
    }

    /** Distributes all partitions again; each moves at once, whatever its holder knows. */
    void reassignAtOnce(SplittableRandom random) {
        mFirstSubscriber = random.nextInt(PARTITIONS);
        mGeneration++;
        distribute();
        mTransfers.forEach((partition, transfer) -> mHolders.put(partition, transfer.nextHolder()));
        mTransfers.clear();
        mHeldSince.replaceAll((partition, since) -> mGeneration);
    }

    private void changed() {
        mGeneration++;
        distribute();
        mUnassigning.ifPresent(this::unassignMembers);
    }

    private void unassignMembers(SplittableRandom random) {
        for (Member member : mMembers.values()) {
            if (random.nextInt(UNASSIGNED_ONE_IN) == 0) {
                member.mUnassignedUntil = mGeneration;
            }
        }
    }

    private void distribute() {
        // What its holder wasn't listed for is held anew, also by the same one.
        mTransfers.keySet().forEach(partition -> mHeldSince.put(partition, mGeneration));
        mTransfers.clear();
        mHolders.values().removeIf(name -> !mMembers.containsKey(name));
        Set<String> topics = new TreeSet<>();
        mMembers.values().forEach(member -> topics.addAll(member.mTopics));
        topics.forEach(this::distribute);
    }

    private void distribute(String topic) {
        List<String> subscribers =
                mMembers.keySet().stream()
                        .filter(name -> mMembers.get(name).mTopics.contains(topic))
                        .toList();
        for (int number = 0; number < PARTITIONS; number++) {
            Partition partition = new Partition(topic, number);
            String next = subscribers.get((number + mFirstSubscriber) % subscribers.size());
            String holder = mHolders.get(partition);
            if (holder == null) {
                assign(partition, next);
            } else if (!holder.equals(next)) {
                mTransfers.put(partition, new Transfer(next, mGeneration));
            }
        }
    }

    /** All partitions that are held, with their holders. */
    List<Row> owners(long nowMs) {
        expire(nowMs);
        List<Row> rows = new ArrayList<>();
        mHolders.forEach(
                (partition, name) -> {
                    if (mMembers.get(name).mUnassignedUntil == 0) {
                        rows.add(new Row(partition, name));
                    }
                });
        return rows;
    }

    Optional<String> holder(String topic, int number) {
        return Optional.ofNullable(mHolders.get(new Partition(topic, number)));
    }
}
