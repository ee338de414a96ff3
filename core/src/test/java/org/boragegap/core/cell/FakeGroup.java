package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/** The store's group with one partition, according to the platform's protocol. */
final class FakeGroup {
    static final long LEASE_MS = 1_000;

    private final Map<String, Long> mMembers = new LinkedHashMap<>();
    private final Set<String> mCandidates = new TreeSet<>();
    private final SplittableRandom mRandom;
    private String mOwner = "";
    private String mNextOwner = "";
    private long mGeneration = 1;
    private long mNextOwnerGeneration;

    FakeGroup(SplittableRandom random) {
        mRandom = random;
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
            mGeneration++;
            if (mRandom.nextInt(3) == 0) {
                rebalance();
            }
        }
        if (mOwner.isEmpty() && wantsCell) {
            mOwner = mNextOwner.isEmpty() ? member : mNextOwner;
            mNextOwner = "";
            mGeneration++;
        }
        boolean released =
                member.equals(mOwner)
                        && !mNextOwner.isEmpty()
                        && generation >= mNextOwnerGeneration;
        if (released) {
            mOwner = mNextOwner;
            mNextOwner = "";
        }
        boolean holds = member.equals(mOwner) && mNextOwner.isEmpty();
        return new Answer(mGeneration, holds, addresses());
    }

    Set<String> addresses(long nowMs) {
        expire(nowMs);
        return addresses();
    }

    private Set<String> addresses() {
        Set<String> addresses = new HashSet<>();
        mMembers.keySet().forEach(member -> addresses.add(address(member)));
        return addresses;
    }

    static String address(String member) {
        return member.substring(0, member.indexOf('/'));
    }

    void leave(String member) {
        mMembers.remove(member);
        mGeneration++;
        release(member);
    }

    /**
     * Selects a random candidate as the next owner of the partition. From then on the current owner
     * no longer holds it; the next one gets it once the current one has confirmed the new
     * generation or is gone.
     */
    void rebalance() {
        if (mMembers.isEmpty()) {
            return;
        }
        List<String> candidates = new ArrayList<>(mCandidates);
        if (candidates.isEmpty()) {
            return;
        }
        mNextOwner = candidates.get(mRandom.nextInt(candidates.size()));
        mGeneration++;
        mNextOwnerGeneration = mGeneration;
        if (mNextOwner.equals(mOwner)) {
            mNextOwner = "";
        }
    }

    private void expire(long nowMs) {
        for (String member : List.copyOf(mMembers.keySet())) {
            if (nowMs - mMembers.get(member) > LEASE_MS) {
                mMembers.remove(member);
                mCandidates.remove(member);
                mGeneration++;
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
