package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The store's group with one partition for the cell, according to the platform's protocol. Each
 * member also holds partitions by which it is listed.
 *
 * <p>As the protocol allows, it assigns partitions anew at once now and then, without a join of
 * their owner, and lists no row for a member that holds none for a moment.
 */
final class FakeGroup {
    static final long LEASE_MS = 1_000;

    /** Longest lease that a layout asks the group for. */
    static final long LONG_LEASE_MS = 3_000;

    private static final long FIRST_REBALANCE_MS = 1_700;

    private final Map<String, Long> mMembers = new LinkedHashMap<>();
    private final Set<String> mCandidates = new TreeSet<>();
    private final SplittableRandom mRandom;
    private String mOwner = "";
    private String mNextOwner = "";
    private long mGeneration = 1;
    private long mNextOwnerGeneration;
    private final long mLeaseMs;

    /** The generation since which the owner has held the partition without a break. */
    private long mHeldSince;

    /** Members that hold no partition, each until it has joined with a generation. */
    private final Map<String, Long> mUnlistedBeforeGeneration = new HashMap<>();

    /**
     * Creates a group without members.
     *
     * @param leaseMs how long it keeps a silent member, in ms
     */
    FakeGroup(SplittableRandom random, long leaseMs) {
        mRandom = random;
        mLeaseMs = leaseMs;
    }

    long leaseMs() {
        return mLeaseMs;
    }

    /**
     * Answers a commit: whether the member holds the partition, and has held it since the
     * generation that it names.
     */
    boolean commit(String member, long generation, long nowMs) {
        expire(nowMs);
        return holds(member) && generation >= mHeldSince;
    }

    private boolean holds(String member) {
        return member.equals(mOwner) && mNextOwner.isEmpty();
    }

    private void assign(String owner) {
        mOwner = owner;
        mNextOwner = "";
        mHeldSince = mGeneration;
    }

    /** Answer to a join. */
    record Answer(long generation, boolean holds, Set<String> addresses) {}

    Answer join(String member, boolean wantsCell, long generation, long nowMs) {
        expire(nowMs);
        boolean changed = wantsCell ? mCandidates.add(member) : mCandidates.remove(member);
        if (!wantsCell) {
            release(member);
        }
        if (mMembers.put(member, nowMs) == null || changed) {
            nextGeneration();
            if (mRandom.nextInt(3) == 0) {
                rebalance();
            }
        }
        if (mOwner.isEmpty() && wantsCell) {
            nextGeneration();
            assign(mNextOwner.isEmpty() ? member : mNextOwner);
        }
        boolean released =
                member.equals(mOwner)
                        && !mNextOwner.isEmpty()
                        && generation >= mNextOwnerGeneration;
        if (released) {
            assign(mNextOwner);
        }
        if (generation >= mUnlistedBeforeGeneration.getOrDefault(member, 0L)) {
            mUnlistedBeforeGeneration.remove(member);
        }
        return new Answer(mGeneration, holds(member), addresses());
    }

    Set<String> addresses(long nowMs) {
        expire(nowMs);
        return addresses();
    }

    private Set<String> addresses() {
        Set<String> addresses = new HashSet<>();
        mMembers.keySet().stream()
                .filter(member -> !mUnlistedBeforeGeneration.containsKey(member))
                .forEach(member -> addresses.add(address(member)));
        return addresses;
    }

    static String address(String member) {
        return member.substring(0, member.indexOf('/'));
    }

    void leave(String member) {
        mMembers.remove(member);
        nextGeneration();
        release(member);
    }

    /** Begins a generation, in which a member may hold no partition until it has joined with it. */
    private void nextGeneration() {
        mGeneration++;
        if (!mMembers.isEmpty() && mRandom.nextBoolean()) {
            List<String> members = new ArrayList<>(mMembers.keySet());
            String unlisted = members.get(mRandom.nextInt(members.size()));
            mUnlistedBeforeGeneration.put(unlisted, mGeneration);
        }
    }

    /**
     * Selects a random candidate as the next owner of the partition. From then on the current owner
     * no longer holds it; the next one gets it once the current one has confirmed the new
     * generation or is gone, or at once.
     */
    void rebalance() {
        if (mMembers.isEmpty()) {
            return;
        }
        List<String> candidates = new ArrayList<>(mCandidates);
        if (candidates.isEmpty()) {
            return;
        }
        boolean listed = mNextOwner.isEmpty();
        mNextOwner = candidates.get(mRandom.nextInt(candidates.size()));
        nextGeneration();
        if (mRandom.nextBoolean()) {
            assign(mNextOwner);
            return;
        }
        mNextOwnerGeneration = mGeneration;
        if (mNextOwner.equals(mOwner)) {
            mNextOwner = "";
            // One that was not listed for a moment holds it anew.
            mHeldSince = listed ? mHeldSince : mGeneration;
        }
    }

    /** A pattern in which the group assigns the partition anew. */
    interface Rebalances {
        void schedule(FakeGroup group, SimulatedClock clock, SplittableRandom random, long untilMs);
    }

    /** Assigns the partition anew every 50 to 650 ms. */
    void scheduleRebalances(SimulatedClock clock, SplittableRandom random, long untilMs) {
        for (long at = FIRST_REBALANCE_MS; at < untilMs; at += 50 + random.nextLong(600)) {
            clock.after(at, this::rebalance);
        }
    }

    /** Assigns the partition anew twice within a lease, and again after a pause. */
    void schedulePairsOfRebalances(SimulatedClock clock, SplittableRandom random, long untilMs) {
        for (long at = FIRST_REBALANCE_MS; at < untilMs; at += 1_300 + random.nextLong(1_000)) {
            clock.after(at, this::rebalance);
            clock.after(at + 300 + random.nextLong(700), this::rebalance);
        }
    }

    private void expire(long nowMs) {
        for (String member : List.copyOf(mMembers.keySet())) {
            if (nowMs - mMembers.get(member) > mLeaseMs) {
                mMembers.remove(member);
                mUnlistedBeforeGeneration.remove(member);
                mCandidates.remove(member);
                nextGeneration();
                release(member);
            }
        }
    }

    private void release(String member) {
        if (member.equals(mOwner)) {
            mOwner = "";
        }
        if (member.equals(mNextOwner)) {
            mNextOwner = "";
        }
    }
}
