package org.boragegap.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.RefusalCause;
import org.boragegap.core.job.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which targets accept tasks, depending on the platform's list and their own refusals. */
final class TargetPoolTest {
    private static final String SERVICE = "service";
    private static final Resources NEED = new Resources(1_000, 100, 0);
    private static final Target TARGET = new Target("x:1", Role.MINION, SERVICE, NEED, 2);
    private static final long LATER_MS = 60_000;

    private final TargetPool mTargets =
            TargetPool.create(PlacementPolicy.values()[0], new Random(1));

    private void list(boolean leaving) {
        mTargets.onListed(List.of(TARGET), leaving ? Set.of(TARGET.address()) : Set.of());
    }

    private boolean acceptsWork() {
        return mTargets.choose(SERVICE, NEED, Set.of(), LATER_MS).isPresent();
    }

    @Nested
    final class AfterRefusalAsLeaving {
        private TargetState mState;

        @BeforeEach
        void startTwoTasksAndRefuseOne() {
            list(false);
            mState = mTargets.choose(SERVICE, NEED, Set.of(), 0).orElseThrow();
            mTargets.onStarted(mState, NEED);
            mTargets.onStarted(mState, NEED);
            Outcome refused = new Outcome.NotRun(RefusalCause.LEAVING, "leaves");
            mTargets.markIfLeaving(mState, refused);
            mTargets.onEnded(mState, NEED, refused, 10);
        }

        @Test
        void staleListChangesNothing() {
            list(false);
            list(false);
            assertThat(acceptsWork()).isFalse();
        }

        /** Guards against a target that has come back at its address never getting tasks again. */
        @Test
        void acceptsWorkAgainAfterListedAsLeaving() {
            list(true);
            list(false);
            assertThat(acceptsWork()).isTrue();
        }

        /** The same for a target that was missing from the list in the meantime. */
        @Test
        void acceptsWorkAgainAfterMissingFromList() {
            mTargets.onListed(List.of(), Set.of());
            list(false);
            assertThat(acceptsWork()).isTrue();
        }

        /** The same for a target on which no task runs any more. */
        @Test
        void acceptsWorkAgainWithNothingRunning() {
            mTargets.onEnded(mState, NEED, new Outcome.Lost("gone"), 20);
            list(true);
            list(false);
            assertThat(acceptsWork()).isTrue();
        }
    }

    @Test
    void unlistedTargetAcceptsNoWorkWhileATaskRuns() {
        list(false);
        TargetState state = mTargets.choose(SERVICE, NEED, Set.of(), 0).orElseThrow();
        mTargets.onStarted(state, NEED);
        mTargets.onListed(List.of(), Set.of());
        assertThat(acceptsWork()).isFalse();
        list(false);
        assertThat(acceptsWork()).isTrue();
    }
}
