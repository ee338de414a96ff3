package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What one entry VM says to the others, and when it asks for the cell. */
final class CellMemberTest {
    private static final long LEASE_MS = 1_000;
    private static final String SELF = "vm1";
    private static final TargetInfo TARGET =
            new TargetInfo("t", "t", "service", "domain", 8_000, 100, 0, Set.of(), false, false);

    private final CellMember mMember =
            CellMember.create(SELF, new CellSettings(LEASE_MS, 2), LEASE_MS, at(0));
    private final List<MemberAction> mActions = new ArrayList<>();

    private static ClockReading at(long ms) {
        return new ClockReading(ms, ms);
    }

    private void feed(long ms, MemberEvent event) {
        mMember.on(event, at(ms), mActions);
    }

    private void join(long ms, long generation, boolean holds, String... peers) {
        feed(ms, new MemberEvent.PeersListed(Set.of(peers)));
        feed(ms, new MemberEvent.Joined(generation, holds, at(ms)));
    }

    private void hears(long ms, String from, CellMessage message) {
        feed(ms, new MemberEvent.Received(from, message));
    }

    private <T extends CellMessage> List<T> said(String to, Class<T> kind) {
        return mActions.stream()
                .filter(MemberAction.Send.class::isInstance)
                .map(MemberAction.Send.class::cast)
                .filter(send -> send.address().equals(to) && kind.isInstance(send.message()))
                .map(send -> kind.cast(send.message()))
                .toList();
    }

    private static CellMessage.Following follows(long fence, long targetsVersion) {
        return new CellMessage.Following(fence, false, true, 0, 0, targetsVersion);
    }

    /**
     * VMs are restarted in turn and callers wait a second at each move of the cell. A VM that came
     * while the list of targets stood was not told it, and the last term's list was never told
     * under a later term; who had no list waited until all leases were over.
     */
    @Nested
    final class ListOfTargets {
        private long begin() {
            join(0, 3, true, "vm2");
            feed(10, new MemberEvent.ForController(new CellEvent.TargetsListed(List.of(TARGET))));
            return mMember.fence().get();
        }

        @Test
        void aNewcomerIsToldTheList() {
            long fence = begin();
            hears(20, "vm3", follows(fence, 0));
            List<CellMessage.Targets> told = said("vm3", CellMessage.Targets.class);
            assertThat(told).containsExactly(new CellMessage.Targets(fence, 1, List.of(TARGET)));
        }

        @Test
        void whoHasTheListIsNotToldAgain() {
            long fence = begin();
            mActions.clear();
            hears(20, "vm2", follows(fence, 1));
            assertThat(said("vm2", CellMessage.Targets.class)).isEmpty();
        }

        @Test
        void aListFromTheTermBeforeIsToldAsThatOfThisTerm() {
            hears(0, "vm2", new CellMessage.Leading(3_000));
            hears(0, "vm2", new CellMessage.Targets(3_000, 4, List.of(TARGET)));
            join(10, 4, true, "vm2");
            long fence = mMember.fence().get();
            CellMessage.Targets own = new CellMessage.Targets(fence, 1, List.of(TARGET));
            assertThat(said("vm2", CellMessage.Targets.class)).contains(own);
        }

        @Test
        void anEarlierListDoesNotReplaceALaterOne() {
            hears(0, "vm2", new CellMessage.Leading(3_000));
            hears(0, "vm2", new CellMessage.Targets(3_000, 2, List.of(TARGET)));
            hears(0, "vm2", new CellMessage.Targets(3_000, 1, List.of()));
            mActions.clear();
            hears(5, "vm2", new CellMessage.Leading(3_000));
            assertThat(said("vm2", CellMessage.Following.class).get(0).targetsVersion())
                    .isEqualTo(2);
        }
    }

    @Test
    void aVmThatKnowsNoControllerHasNoFence() {
        assertThat(mMember.fence()).isEqualTo(Optional.empty());
    }
}
