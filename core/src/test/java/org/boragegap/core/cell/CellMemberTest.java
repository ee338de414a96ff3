package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** What one entry VM says to the others, and when it asks for the cell. */
final class CellMemberTest {
    private static final long LEASE_MS = 1_000;
    private static final long PERIOD_MS = 150;
    private static final String SELF = "vm1";
    private static final ClockReading SENT = new ClockReading(0, 0);
    private static final TargetInfo TARGET =
            new TargetInfo("t", "t", "service", "domain", 8_000, 100, 0, Set.of(), false, false);

    private final CellMember mMember =
            CellMember.create(SELF, 0, new CellSettings(LEASE_MS, 2), LEASE_MS, at(0));
    private final List<MemberAction> mActions = new ArrayList<>();

    private static ClockReading at(long ms) {
        return new ClockReading(ms, ms);
    }

    private void feed(long ms, MemberEvent event) {
        mMember.on(event, at(ms), mActions);
    }

    private void join(long ms, long generation, boolean holds, String... peers) {
        feed(ms, new MemberEvent.ForController(new CellEvent.DomainsEvacuated(Set.of())));
        feed(ms, new MemberEvent.PeersListed(Set.of(peers), ms));
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
        return new CellMessage.Following(fence, SENT, false, true, 0, 0, targetsVersion);
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
            hears(0, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            hears(0, "vm2", new CellMessage.Targets(3_000, 4, List.of(TARGET)));
            hears(5, "vm2", new CellMessage.Leaving(3_000));
            join(10, 4, true, "vm2");
            long fence = mMember.fence().get();
            CellMessage.Targets own = new CellMessage.Targets(fence, 1, List.of(TARGET));
            assertThat(said("vm2", CellMessage.Targets.class)).contains(own);
        }

        @Test
        void anEarlierListDoesNotReplaceALaterOne() {
            hears(0, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            hears(0, "vm2", new CellMessage.Targets(3_000, 2, List.of(TARGET)));
            hears(0, "vm2", new CellMessage.Targets(3_000, 1, List.of()));
            mActions.clear();
            hears(5, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            assertThat(said("vm2", CellMessage.Following.class).get(0).targetsVersion())
                    .isEqualTo(2);
        }
    }

    /** The group has dealt it the cell while it no longer asks for it. */
    @Nested
    final class IsDealtTheCell {
        /** A controller in good health would be deposed, and its callers wait for the next term. */
        @Test
        void butHearsAnotherControlIt() {
            hears(0, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            join(10, 4, true, "vm2");
            assertThat(mMember.fence()).isEmpty();
        }

        /** It was held up beyond its lease; nobody else has been dealt the cell since. */
        @Test
        void afterItsOwnTermHasLapsed() {
            join(0, 3, true, "vm2");
            assertThat(mMember.fence()).isPresent();
            feed(1_050, new MemberEvent.Ticked());
            assertThat(mMember.fence()).isEmpty();
            join(1_060, 3, true, "vm2");
            assertThat(mMember.fence()).isPresent();
        }
    }

    /**
     * All VMs start at once, or the controller is lost. Callers see one short gap if one VM takes
     * the cell; when each VM asks for it, the group deals it anew with every further one.
     */
    @Nested
    final class AsksForTheCell {
        private void stayInTouch(long fromMs, long toMs, String... peers) {
            for (long ms = fromMs; ms <= toMs; ms += 50) {
                join(ms, 3, false, peers);
                feed(ms, new MemberEvent.Ticked());
            }
        }

        private void allMiss(long fromMs, long toMs, int strength, String... peers) {
            for (long ms = fromMs; ms <= toMs; ms += 50) {
                for (String peer : peers) {
                    hears(ms, peer, new CellMessage.Missing(0, strength));
                }
                join(ms, 3, false, peers);
                feed(ms, new MemberEvent.Ticked());
            }
        }

        @Test
        void theStrongestAsksAsSoonAsItHasListened() {
            mMember.strength(1_000);
            allMiss(0, 240, 500, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isFalse();
            allMiss(250, 300, 500, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isTrue();
            assertThat(mActions).contains(new MemberAction.JoinAgain());
        }

        @Test
        void aWeakerOneGivesTheOthersTime() {
            mMember.strength(500);
            allMiss(0, 1_400, 1_000, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isFalse();
            allMiss(1_410, 1_510, 1_000, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isTrue();
        }

        /**
         * Callers are refused twice in a row: two VMs had asked for the cell of one that was lost.
         * The group dealt it to one, and a moment later, when further leases ended, to the other.
         */
        @Test
        void aVmThatHearsTheControllerTellsTheGroupAtOnceThatItAsksNoLonger() {
            mMember.strength(1_000);
            allMiss(0, 300, 500, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isTrue();
            mActions.clear();
            hears(305, "vm2", new CellMessage.Leading(4_000, SENT, PERIOD_MS));
            assertThat(mMember.wantsCell()).isFalse();
            assertThat(mActions).contains(new MemberAction.JoinAgain());
        }

        /** Cut off from the others only: nobody else misses the controller that it can't hear. */
        @Test
        void aVmThatAloneMissesTheControllerDoesNotAsk() {
            stayInTouch(0, 3_000, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isFalse();
            assertThat(said("vm2", CellMessage.Missing.class)).isNotEmpty();
        }

        @Test
        void whoHearsAnotherControllerAsksNoLonger() {
            allMiss(0, 400, -1, "vm2", "vm3");
            hears(410, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            assertThat(mMember.wantsCell()).isFalse();
        }

        @Test
        void anEarlierControllerThatStillSaysSoIsNotListenedTo() {
            hears(0, "vm3", new CellMessage.Leading(4_000, SENT, PERIOD_MS));
            allMiss(0, 1_000, -1, "vm2", "vm3");
            hears(1_010, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            assertThat(mMember.wantsCell()).isTrue();
        }

        /** A controller stops as planned: the next one asks at once, not after a silence. */
        @Test
        void theNextOneAsksAtOnceWhenTheControllerLeaves() {
            mMember.strength(1_000);
            stayInTouch(0, 1_000, "vm2", "vm3");
            hears(1_000, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            hears(1_010, "vm3", new CellMessage.Missing(3_000, 0));
            hears(1_020, "vm2", new CellMessage.Leaving(3_000));
            feed(1_045, new MemberEvent.Ticked());
            assertThat(mMember.wantsCell()).isTrue();
        }

        /**
         * The store turns this VM away and serves the others. It was dropped from the group, so the
         * controller sends it no heartbeats, and its callers were refused for as long as that
         * lasted. It tells the others, and the controller answers.
         */
        @Test
        void aVmThatTheStoreTurnsAwayTellsTheOthers() {
            stayInTouch(0, 200, "vm2", "vm3");
            hears(200, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            mActions.clear();
            for (long ms = 250; ms <= 2_000; ms += 50) {
                feed(ms, new MemberEvent.Ticked());
            }
            // From 550 ms on, every 100 ms.
            assertThat(said("vm2", CellMessage.Missing.class)).hasSize(15);
            assertThat(mMember.wantsCell()).isFalse();
        }

        /**
         * Callers are refused though the controller is well: the others took it for lost. They were
         * held up by their own work for longer than three heartbeats, and on going on saw by the
         * clock that it had been silent, before they read what had come in meanwhile.
         */
        @Test
        void aVmThatWasHeldUpDoesNotTakeItForTheControllersSilence() {
            stayInTouch(0, 1_000, "vm2", "vm3");
            hears(1_000, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            mActions.clear();
            feed(1_900, new MemberEvent.Ticked());
            assertThat(said("vm2", CellMessage.Missing.class)).isEmpty();
            assertThat(mMember.servesCallers(at(1_900))).isTrue();
        }

        /** The controller has said that it is heard every 400 ms; a second is no silence then. */
        @Test
        void aSilenceIsJudgedByThePeriodThatTheControllerStates() {
            stayInTouch(0, 1_000, "vm2", "vm3");
            hears(1_000, "vm2", new CellMessage.Leading(3_000, SENT, 400));
            mActions.clear();
            stayInTouch(1_050, 1_750, "vm2", "vm3");
            assertThat(said("vm2", CellMessage.Missing.class)).isEmpty();
            stayInTouch(1_800, 1_850, "vm2", "vm3");
            assertThat(said("vm2", CellMessage.Missing.class)).isNotEmpty();
        }

        /**
         * Callers of a weak controller's own VM were refused every half second: its heartbeats are
         * 600 ms apart, and it judged itself by the period of stronger ones.
         */
        @Test
        void aControllerIsNotSilentToItselfBetweenItsHeartbeats() {
            mMember.deployment(10, 40);
            Set<String> peers = Set.of("vm2", "vm3", "vm4", "vm5", "vm6", "vm7");
            feed(0, new MemberEvent.Joined(3, true, at(0)));
            feed(0, new MemberEvent.PeersListed(peers, 0));
            long fence = mMember.fence().get();
            peers.forEach(peer -> hears(5, peer, follows(fence, 0)));
            for (long ms = 10; ms <= 590; ms += 10) {
                feed(ms, new MemberEvent.Ticked());
            }
            EntryEvent job =
                    new EntryEvent.Submitted(1, FakeJobs.request(new SplittableRandom(1), 1), 900);
            feed(595, new MemberEvent.ForDesk(job));
            assertThat(mMember.state().jobs()).isEqualTo(1);
        }

        @Test
        void aControllerAnswersAVmThatMissesIt() {
            join(0, 3, true, "vm2");
            long fence = mMember.fence().get();
            hears(10, "vm3", new CellMessage.Missing(0, 0));
            assertThat(said("vm3", CellMessage.Leading.class))
                    .contains(new CellMessage.Leading(fence, at(10), PERIOD_MS));
        }

        /** Its membership lapsed: the others needn't wait until its heartbeats have been missed. */
        @Test
        void aControllerWhoseMembershipIsOverSaysSo() {
            join(0, 3, true, "vm2");
            long fence = mMember.fence().get();
            feed(LEASE_MS + 25, new MemberEvent.Ticked());
            assertThat(said("vm2", CellMessage.Leaving.class))
                    .containsExactly(new CellMessage.Leaving(fence));
        }

        @Test
        void aControllerThatStopsSaysSo() {
            join(0, 3, true, "vm2");
            long fence = mMember.fence().get();
            feed(10, new MemberEvent.Resigned());
            assertThat(said("vm2", CellMessage.Leaving.class))
                    .containsExactly(new CellMessage.Leaving(fence));
        }
    }

    /**
     * A VM is stopped as planned. The platform goes on sending it callers for two seconds; they
     * were refused although the cell had a controller and room.
     */
    @Nested
    final class Stopping {
        private void submit(long ms) {
            StepRequest step = StepRequest.cpuOnly(1, 1_000, 100);
            JobRequest request =
                    new JobRequest("00000000000000aa", "q", "s", 0, 3, 2, 60, "", List.of(step), 1);
            feed(ms, new MemberEvent.ForDesk(new EntryEvent.Submitted(1, request, 2_000)));
        }

        @Test
        void callersAreServedByTheNextControllerUntilItCloses() {
            hears(0, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            feed(10, new MemberEvent.Resigned());
            submit(20);
            assertThat(said("vm2", CellMessage.Offer.class)).hasSize(1);
        }

        @Test
        void callersAreRefusedOnceItHasClosed() {
            hears(0, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            feed(10, new MemberEvent.Resigned());
            feed(15, new MemberEvent.Closed());
            submit(20);
            assertThat(said("vm2", CellMessage.Offer.class)).isEmpty();
        }
    }

    /**
     * A failure domain is cut off from the store and the other domains. Its callers are refused for
     * as long as the platform sends them there; told that this VM can't serve, it sends them on.
     */
    @Nested
    final class ServesCallers {
        @Test
        void aVmInTouchWithTheStoreDoes() {
            join(2_000, 3, false);
            assertThat(mMember.servesCallers(at(2_500))).isTrue();
        }

        @Test
        void aVmThatHearsAControllerDoesWithoutTheStore() {
            hears(3_000, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            assertThat(mMember.servesCallers(at(3_100))).isTrue();
        }

        @Test
        void aVmThatHearsNeitherDoesNot() {
            join(0, 3, false);
            hears(100, "vm2", new CellMessage.Leading(3_000, SENT, PERIOD_MS));
            assertThat(mMember.servesCallers(at(1_500))).isFalse();
        }
    }
}
