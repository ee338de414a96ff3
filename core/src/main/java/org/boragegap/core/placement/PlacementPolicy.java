package org.boragegap.core.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/** How a target is chosen for a task among those that accept it. */
public enum PlacementPolicy {
    /** One after the other; a baseline for comparison. */
    ROUND_ROBIN {
        @Override
        TargetState choose(List<TargetState> candidates, long turn, RandomGenerator random) {
            return candidates.get((int) (turn % candidates.size()));
        }
    },
    /** The target with the least load that this VM knows of. */
    LEAST_LOADED {
        @Override
        TargetState choose(List<TargetState> candidates, long turn, RandomGenerator random) {
            TargetState best = candidates.get(0);
            for (TargetState candidate : candidates) {
                if (candidate.load() < best.load()) {
                    best = candidate;
                }
            }
            return best;
        }
    },
    /** The less loaded of two chosen at random, so that VMs don't all choose the same target. */
    POWER_OF_TWO {
        @Override
        TargetState choose(List<TargetState> candidates, long turn, RandomGenerator random) {
            TargetState first = candidates.get(random.nextInt(candidates.size()));
            TargetState second = candidates.get(random.nextInt(candidates.size()));
            return first.load() <= second.load() ? first : second;
        }

        @Override
        boolean usesSampling() {
            return true;
        }
    };

    /** True when it is enough to choose from a few candidates sampled at random. */
    boolean usesSampling() {
        return false;
    }

    abstract TargetState choose(List<TargetState> candidates, long turn, RandomGenerator random);
}
