package org.boragegap.core.cell;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Everything that a controller knows in one term; a later term begins with nothing of it. */
final class Term {
    private final long mFence;
    private final long mSinceMs;
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final Map<String, CellJob> mJobs = new HashMap<>();
    private final TreeSet<CellJob> mWaiting =
            new TreeSet<>(
                    Comparator.comparingLong(CellJob::latestStartMs).thenComparing(CellJob::id));
    private boolean mTargetsListed;
    private long mNowMs;
    private long mActsUntilMs;
    private List<CellAction> mActions;

    Term(long fence, long nowMs) {
        mFence = fence;
        mSinceMs = nowMs;
    }

    /** Sets the clock and the list of actions for the event that is handled now. */
    void at(long nowMs, List<CellAction> actions) {
        mNowMs = nowMs;
        mActions = actions;
    }

    /** Until when nobody else can control the cell. */
    long actsUntilMs() {
        return mActsUntilMs;
    }

    void actsUntil(long untilMs) {
        mActsUntilMs = untilMs;
    }

    long fence() {
        return mFence;
    }

    long sinceMs() {
        return mSinceMs;
    }

    long nowMs() {
        return mNowMs;
    }

    void act(CellAction action) {
        mActions.add(action);
    }

    void log(Decision decision) {
        mActions.add(new CellAction.Log(decision));
    }

    Map<String, Target> targets() {
        return mTargets;
    }

    /** The platform's list of targets was read in this term. */
    void targetsListed() {
        mTargetsListed = true;
    }

    boolean areTargetsListed() {
        return mTargetsListed;
    }

    Map<String, CellJob> jobs() {
        return mJobs;
    }

    /** Jobs with tasks that may start, the one that has to start first in front. */
    TreeSet<CellJob> waiting() {
        return mWaiting;
    }
}
