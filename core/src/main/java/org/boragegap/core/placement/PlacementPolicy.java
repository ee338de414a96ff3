package org.boragegap.core.placement;

import java.util.List;
import java.util.random.RandomGenerator;

/** Which of the targets that would take a task gets it. */
public enum PlacementPolicy {
    /** One after the other; the baseline. */
    ROUND_ROBIN {
        @Override
        TargetState choose(List<TargetState> candidates, long turn, RandomGenerator random) {
            return candidates.get((int) (turn % candidates.size()));
        }
    },
    /** The least loaded one as far as this VM knows. */
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
    /** The less loaded of two drawn at random, so that VMs don't rush to the same target. */
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

    /** True when a few candidates drawn at random are enough to choose from. */
    boolean usesSampling() {
        return false;
    }

    abstract TargetState choose(List<TargetState> candidates, long turn, RandomGenerator random);
}
