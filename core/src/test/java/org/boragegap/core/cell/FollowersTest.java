package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Test;

/** The latest heartbeat by which the other VMs let the controller act without the store. */
final class FollowersTest {
    private final Followers mFollowers = new Followers();

    private static ClockReading at(long ms) {
        return new ClockReading(ms, ms);
    }

    /** Guards against two controllers: a VM that isn't heard may have been assigned the cell. */
    @Test
    void aVmThatIsNotHeardRulesOutAnyEndorsement() {
        mFollowers.updatePeers(Set.of("a", "b", "c", "d"), 0);
        mFollowers.answered("a", true, at(300));
        mFollowers.answered("b", true, at(150));
        mFollowers.answered("c", true, at(250));
        assertThat(mFollowers.endorsed(at(400))).isEmpty();
        mFollowers.answered("d", false, at(200));
        assertThat(mFollowers.endorsed(at(400))).hasValue(at(150));
    }

    @Test
    void theLatestHeartbeatThatAllHaveAnsweredCounts() {
        mFollowers.updatePeers(Set.of("a", "b", "c"), 0);
        mFollowers.answered("a", true, at(300));
        mFollowers.answered("b", true, at(300));
        mFollowers.answered("c", false, at(150));
        assertThat(mFollowers.endorsed(at(400))).hasValue(at(150));
    }

    /** Guards against a VM that has lost the store alone, and isn't replaced by one in touch. */
    @Test
    void aMajorityMustHaveLostTheStore() {
        mFollowers.updatePeers(Set.of("a", "b", "c", "d"), 0);
        for (String peer : Set.of("a", "b", "c", "d")) {
            mFollowers.answered(peer, peer.equals("a"), at(300));
        }
        assertThat(mFollowers.endorsed(at(400))).isEmpty();
        mFollowers.answered("b", true, at(450));
        assertThat(mFollowers.endorsed(at(500))).hasValue(at(300));
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
     * domain is disconnected from the store and from that VM, which the store assigns the cell.
     */
    @Test
    void aRecentlyDelistedVmStillCounts() {
        mFollowers.updatePeers(Set.of("a", "b", "c", "d", "e"), 0);
        mFollowers.updatePeers(Set.of("a", "b", "c", "d"), 2_000);
        for (String peer : Set.of("a", "b", "c", "d")) {
            mFollowers.answered(peer, true, at(3_000));
        }
        assertThat(mFollowers.endorsed(at(3_100))).isEmpty();
        mFollowers.updatePeers(Set.of("a", "b", "c", "d"), 11_000);
        assertThat(mFollowers.endorsed(at(11_000))).isPresent();
    }

    /**
     * Guards against a VM that is missing from one list and then blocks an endorsement for good.
     */
    @Test
    void aDelistedVmIsSentHeartbeats() {
        mFollowers.updatePeers(Set.of("a", "b"), 0);
        mFollowers.updatePeers(Set.of("a"), 2_000);
        assertThat(mFollowers.counted()).containsExactly("a", "b");
        assertThat(mFollowers.peers()).containsExactly("a");
    }
}
