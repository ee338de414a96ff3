package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/** The store's group with one partition, as the platform's protocol has it. */
final class FakeGroup {
    static final long LEASE_MS = 1_000;

    private final Map<String, Long> mMembers = new LinkedHashMap<>();
    private final Set<String> mAsking = new TreeSet<>();
    private final SplittableRandom mRandom;
    private String mOwner = "";
    private String mNext = "";
    private long mGeneration = 1;
    private long mNextSince;

    FakeGroup(SplittableRandom random) {
        mRandom = random;
    }

    /** An answer to a join. */
    record Answer(long generation, boolean holds, Set<String> addresses) {}

    Answer join(String member, boolean asks, long generation, long nowMs) {
        expire(nowMs);
        boolean changed = asks ? mAsking.add(member) : mAsking.remove(member);
        if (!asks) {
            free(member);
        }
        if (mMembers.put(member, nowMs) == null || changed) {
            mGeneration++;
            if (mRandom.nextInt(3) == 0) {
                deal();
            }
        }
        if (mOwner.isEmpty() && asks) {
            mOwner = mNext.isEmpty() ? member : mNext;
            mNext = "";
            mGeneration++;
        }
        boolean released = member.equals(mOwner) && !mNext.isEmpty() && generation >= mNextSince;
        if (released) {
            mOwner = mNext;
            mNext = "";
        }
        boolean holds = member.equals(mOwner) && mNext.isEmpty();
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
        free(member);
    }

    /** Deals the partition anew. */
    void deal() {
        if (mMembers.isEmpty()) {
            return;
        }
        List<String> members = new ArrayList<>(mAsking);
        if (members.isEmpty()) {
            return;
        }
        mNext = members.get(mRandom.nextInt(members.size()));
        mGeneration++;
        mNextSince = mGeneration;
        if (mNext.equals(mOwner)) {
            mNext = "";
        }
    }

    private void expire(long nowMs) {
        for (String member : List.copyOf(mMembers.keySet())) {
            if (nowMs - mMembers.get(member) > LEASE_MS) {
                mMembers.remove(member);
                mAsking.remove(member);
                mGeneration++;
                free(member);
            }
        }
    }

    private void free(String member) {
        if (member.equals(mOwner)) {
            mOwner = "";
        }
        if (member.equals(mNext)) {
            mNext = "";
        }
    }
}
