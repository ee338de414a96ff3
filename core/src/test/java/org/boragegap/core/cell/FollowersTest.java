package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Test;

/** The latest heartbeat for which a majority that can't reach the store endorses the controller. */
final class FollowersTest {
    private final Followers mFollowers = new Followers();

    private static ClockReading at(long ms) {
        return new ClockReading(ms, ms);
    }

    @Test
    void theLatestHeartbeatAnsweredByAMajorityCounts() {
        mFollowers.updatePeers(Set.of("a", "b", "c", "d"), 0);
        mFollowers.answered("a", true, at(300));
        assertThat(mFollowers.endorsed(at(400))).isEmpty();
        mFollowers.answered("b", true, at(150));
        mFollowers.answered("c", true, at(0));
        assertThat(mFollowers.endorsed(at(400))).hasValue(at(150));
    }

    @Test
    void aVmThatReachesTheStoreAgainEndorsesNoFurtherHeartbeat() {
        mFollowers.updatePeers(Set.of("a"), 0);
        mFollowers.answered("a", true, at(100));
        mFollowers.answered("a", false, at(250));
        assertThat(mFollowers.endorsed(at(300))).hasValue(at(100));
    }

    @Test
    void aDelayedAnswerDoesNotReplaceALaterOne() {
        mFollowers.updatePeers(Set.of("a"), 0);
        mFollowers.answered("a", true, at(300));
        mFollowers.answered("a", true, at(150));
        assertThat(mFollowers.endorsed(at(400))).hasValue(at(300));
    }

    /**
     * Guards against a task that runs twice: one of six VMs restarts, then the controller's failure
     * domain, three VMs including the controller, is disconnected from the store and the other VMs.
     * These three are a majority of the five listed VMs and follow the controller without the
     * store, while the store assigns the cell to one of the other two. Three of six are no
     * majority.
     */
    @Test
    void aRecentlyDelistedVmStillCounts() {
        mFollowers.updatePeers(Set.of("a", "b", "c", "d", "e"), 0);
        mFollowers.updatePeers(Set.of("a", "b", "c", "d"), 2_000);
        mFollowers.answered("a", true, at(3_000));
        mFollowers.answered("b", true, at(3_000));
        assertThat(mFollowers.endorsed(at(3_100))).isEmpty();
        mFollowers.updatePeers(Set.of("a", "b", "c", "d"), 11_000);
        assertThat(mFollowers.endorsed(at(11_000))).isPresent();
    }
}
