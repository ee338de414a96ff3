package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One entry VM of a history, over all its lives. */
final class FakeEntryVm {
    final String mAddress;
    CellMember mMember;
    int mLife;
    boolean mAlive;
    long mFrozenUntilMs;
    long mHeldUpUntilMs;
    long mStoodStillMs;
    boolean mStoreCut;
    boolean mFollowsTargets;
    final Set<String> mCutFrom = new HashSet<>();
    final List<Runnable> mHeldBack = new ArrayList<>();
    final Map<Long, JobRequest> mCallers = new HashMap<>();

    FakeEntryVm(String address) {
        mAddress = address;
    }

    String member() {
        return mAddress + "/" + mLife;
    }
}
