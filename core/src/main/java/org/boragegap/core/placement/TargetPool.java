package org.boragegap.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.RefusalCause;
import org.boragegap.core.job.Resources;

/**
 * The targets of this failure domain, from which one is chosen for each task.
 *
 * <p>Each target is owned by one entry VM at a time. Only the owner accounts for the target's
 * capacity, so the VMs need no message per task to agree on it.
 */
public final class TargetPool {
    private static final int MAX_SAMPLES = 8;
    private static final long SLOT_COUNT_MAX_AGE_MS = 200;

    private final PlacementPolicy mPolicy;
    private final RandomGenerator mRandom;
    private final Map<String, TargetState> mTargets = new LinkedHashMap<>();
    private final Map<String, List<TargetState>> mByService = new HashMap<>();
    private final Map<String, List<TargetState>> mOwnedByService = new HashMap<>();
    private Predicate<Target> mIsOwned = target -> true;
    private final Map<String, Integer> mSlotsByService = new HashMap<>();
    private long mSlotsCountedMs = Long.MIN_VALUE / 2;
    private long mTurn;

    private TargetPool(PlacementPolicy policy, RandomGenerator random) {
        mPolicy = policy;
        mRandom = random;
    }

    /** Makes an empty pool. */
    public static TargetPool create(PlacementPolicy policy, RandomGenerator random) {
        return new TargetPool(policy, random);
    }

    /** Limits the choice to the targets that this VM owns; to be called when ownership changes. */
    public void setOwned(Predicate<Target> isOwned) {
        mIsOwned = isOwned;
        rebuildIndexes();
    }

    /**
     * Updates the targets from the platform's list, which may be out of date.
     *
     * <p>A target that is no longer listed gets no new tasks; it is kept while any of its slots is
     * accounted for here as in use.
     */
    public void onListed(List<Target> listed, Set<String> leaving) {
        Map<String, TargetState> before = new HashMap<>(mTargets);
        mTargets.clear();
        for (Target target : listed) {
            TargetState known = before.get(target.address());
            boolean same = known != null && known.target().equals(target);
            TargetState state = same ? known : new TargetState(target);
            state.onListed(leaving.contains(target.address()));
            mTargets.put(target.address(), state);
        }
        before.keySet().removeAll(mTargets.keySet());
        before.values().removeIf(state -> state.running() == 0);
        before.values().forEach(state -> state.onListed(true));
        mTargets.putAll(before);
        rebuildIndexes();
    }

    private void rebuildIndexes() {
        mByService.clear();
        mOwnedByService.clear();
        mSlotsByService.clear();
        for (TargetState state : mTargets.values()) {
            String service = state.target().service();
            mByService.computeIfAbsent(service, name -> new ArrayList<>()).add(state);
            if (mIsOwned.test(state.target())) {
                mOwnedByService.computeIfAbsent(service, name -> new ArrayList<>()).add(state);
            }
        }
    }

    /** Chooses a target that has capacity for the task, if there is one, without allocating it. */
    public Optional<TargetState> choose(
            String service, Resources need, Set<String> excluded, long nowMs) {
        List<TargetState> owned = mOwnedByService.getOrDefault(service, List.of());
        Predicate<TargetState> accepts =
                state -> state.accepts(need, nowMs) && !excluded.contains(state.target().address());
        if (mPolicy.usesSampling() && owned.size() > MAX_SAMPLES) {
            Optional<TargetState> sampled = sample(owned, accepts);
            if (sampled.isPresent()) {
                return sampled;
            }
        }
        List<TargetState> candidates = owned.stream().filter(accepts).toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(mPolicy.choose(candidates, mTurn++, mRandom));
    }

    /**
     * Chooses among a few random targets, so that the cost doesn't depend on the number of targets.
     * Empty if fewer than two of them accept the task; the caller then checks all targets.
     */
    private Optional<TargetState> sample(List<TargetState> owned, Predicate<TargetState> accepts) {
        List<TargetState> candidates = new ArrayList<>(2);
        for (int i = 0; i < MAX_SAMPLES && candidates.size() < 2; i++) {
            TargetState state = owned.get(mRandom.nextInt(owned.size()));
            if (accepts.test(state)) {
                candidates.add(state);
            }
        }
        return candidates.size() < 2
                ? Optional.empty()
                : Optional.of(mPolicy.choose(candidates, mTurn++, mRandom));
    }

    /** Allocates capacity for an attempt or a lent slot. */
    public void onStarted(TargetState state, Resources need) {
        state.onStarted(need);
    }

    /** Releases the capacity of an attempt and updates the target's health by the outcome. */
    public void onEnded(TargetState state, Resources need, Outcome outcome, long nowMs) {
        state.onEnded(need, targetAtFault(outcome), nowMs);
    }

    /** Gives a target no more tasks once it has refused one because it is leaving. */
    void markIfLeaving(TargetState state, Outcome outcome) {
        boolean leaving =
                outcome instanceof Outcome.NotRun refused
                        && refused.cause() == RefusalCause.LEAVING;
        if (leaving) {
            state.onReportedLeaving();
        }
    }

    /** Releases the capacity of a lent slot. */
    void onLoanEnded(TargetState state, Resources need, boolean targetAtFault, long nowMs) {
        if (targetAtFault) {
            state.onEnded(need, true, nowMs);
        } else {
            state.onReleased(need);
        }
    }

    /** The target at an address. */
    public Optional<TargetState> find(String address) {
        return Optional.ofNullable(mTargets.get(address));
    }

    /** True when the outcome counts as a failure of the target. */
    public static boolean targetAtFault(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun refused) {
            return refused.cause().targetAtFault();
        }
        return !(outcome instanceof Outcome.Succeeded);
    }

    /** True when some target of the service could run such a task if it were idle. */
    public boolean canEverFit(String service, Resources need) {
        for (TargetState state : mByService.getOrDefault(service, List.of())) {
            boolean worker = state.target().role() == Role.WORKER;
            if (!worker || need.fitsInto(state.target().capacity())) {
                return true;
            }
        }
        return false;
    }

    /** True when any target of the service is known. */
    public boolean hasTargets(String service) {
        return mByService.containsKey(service);
    }

    /**
     * How many tasks the usable targets of a service, owned or not, can run at once. The count may
     * be slightly out of date, since it is cached for a short time.
     */
    public int totalSlots(String service, long nowMs) {
        if (nowMs - mSlotsCountedMs >= SLOT_COUNT_MAX_AGE_MS) {
            mSlotsByService.clear();
            mSlotsCountedMs = nowMs;
        }
        return mSlotsByService.computeIfAbsent(service, this::countSlots);
    }

    private int countSlots(String service) {
        int slots = 0;
        for (TargetState state : mByService.getOrDefault(service, List.of())) {
            if (!state.leaving() && !state.quarantined()) {
                slots += state.target().slots();
            }
        }
        return slots;
    }

    /** The states of all targets. */
    public List<TargetState> all() {
        return List.copyOf(mTargets.values());
    }
}
