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
 * The targets of this failure domain and the choice among them.
 *
 * <p>Each target belongs to one entry VM at a time, so that one VM alone accounts for its room and
 * no message a task is needed to agree on it.
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

    /** Limits placement to the targets that this VM owns; to be called when that changes. */
    public void setOwned(Predicate<Target> owned) {
        mIsOwned = owned;
        rebuildIndexes();
    }

    /**
     * Takes the platform's list, which lags.
     *
     * <p>A target that is no longer listed gets nothing new; it stays known while attempts run.
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

    /** The target for a task, if one has room for it. */
    public Optional<TargetState> choose(
            String service, Resources need, Set<String> avoid, long nowMs) {
        List<TargetState> owned = mOwnedByService.getOrDefault(service, List.of());
        Predicate<TargetState> accepts =
                state -> state.accepts(need, nowMs) && !avoid.contains(state.target().address());
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

    /** Looks at a few targets only, so that a placement costs the same however many there are. */
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

    /** Accounts for an attempt. */
    public void onStarted(TargetState state, Resources need) {
        state.onStarted(need);
    }

    /** Takes the end of an attempt. */
    public void onEnded(TargetState state, Resources need, Outcome outcome, long nowMs) {
        state.onEnded(need, targetAtFault(outcome), nowMs);
    }

    /** A target that refuses since it is going away gets nothing more. */
    void markIfLeaving(TargetState state, Outcome outcome) {
        boolean leaving =
                outcome instanceof Outcome.NotRun refused
                        && refused.cause() == RefusalCause.LEAVING;
        if (leaving) {
            state.onReportedLeaving();
        }
    }

    /** Ends a loan of room for one task. */
    void onLoanEnded(TargetState state, Resources need, boolean blamed, long nowMs) {
        if (blamed) {
            state.onEnded(need, true, nowMs);
        } else {
            state.onReleased(need);
        }
    }

    /** A target by its address. */
    public Optional<TargetState> find(String address) {
        return Optional.ofNullable(mTargets.get(address));
    }

    /** True when the outcome speaks against the target. */
    public static boolean targetAtFault(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun refused) {
            return refused.cause().targetAtFault();
        }
        return !(outcome instanceof Outcome.Succeeded);
    }

    /** True when some target of the service, busy or not, could ever take the need. */
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

    /** How many tasks the targets of a service run at once, owned or not; a moment old. */
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

    /** All targets with what is believed of them. */
    public List<TargetState> all() {
        return List.copyOf(mTargets.values());
    }
}
