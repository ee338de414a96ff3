package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Messages of one entry VM to the others, and its candidacy for the cell. */
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

    private void receive(long ms, String from, CellMessage message) {
        feed(ms, new MemberEvent.Received(from, message));
    }

    private <T extends CellMessage> List<T> sent(String to, Class<T> kind) {
        return mActions.stream()
                .filter(MemberAction.Send.class::isInstance)
                .map(MemberAction.Send.class::cast)
                .filter(send -> send.address().equals(to) && kind.isInstance(send.message()))
                .map(send -> kind.cast(send.message()))
                .toList();
    }

    private static CellMessage.HeartbeatReply heartbeatReply(long fence, long targetsVersion) {
        return new CellMessage.HeartbeatReply(fence, SENT, false, true, 0, 0, targetsVersion);
    }

    /**
     * Guards against callers that wait a second at each move of the cell during a rolling restart.
     * A VM that joined after the list of targets was sent did not receive it, and the list of the
     * previous term was never sent in a later term; a controller without a list waited until all
     * leases had expired.
     */
    @Nested
    final class TargetList {
        private long beginTerm() {
            join(0, 3, true, "vm2");
            feed(10, new MemberEvent.ForController(new CellEvent.TargetsListed(List.of(TARGET))));
            return mMember.fence().get();
        }

        @Test
        void aNewVmIsSentTheList() {
            long fence = beginTerm();
            receive(20, "vm3", heartbeatReply(fence, 0));
            List<CellMessage.Targets> lists = sent("vm3", CellMessage.Targets.class);
            assertThat(lists).containsExactly(new CellMessage.Targets(fence, 1, List.of(TARGET)));
        }

        @Test
        void aVmThatHasTheListIsNotSentItAgain() {
            long fence = beginTerm();
            mActions.clear();
            receive(20, "vm2", heartbeatReply(fence, 1));
            assertThat(sent("vm2", CellMessage.Targets.class)).isEmpty();
        }

        @Test
        void anInheritedListIsSentAsThatOfTheNewTerm() {
            receive(0, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            receive(0, "vm2", new CellMessage.Targets(3_000, 4, List.of(TARGET)));
            receive(5, "vm2", new CellMessage.Leaving(3_000));
            join(10, 4, true, "vm2");
            long fence = mMember.fence().get();
            CellMessage.Targets own = new CellMessage.Targets(fence, 1, List.of(TARGET));
            assertThat(sent("vm2", CellMessage.Targets.class)).contains(own);
        }

        @Test
        void anEarlierListDoesNotReplaceALaterOne() {
            receive(0, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            receive(0, "vm2", new CellMessage.Targets(3_000, 2, List.of(TARGET)));
            receive(0, "vm2", new CellMessage.Targets(3_000, 1, List.of()));
            mActions.clear();
            receive(5, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            assertThat(sent("vm2", CellMessage.HeartbeatReply.class).get(0).targetsVersion())
                    .isEqualTo(2);
        }
    }

    /** The group names the controller in a later generation. */
    @Nested
    final class IsNamedAgain {
        private long mFirst;

        private Membership.HoldCheck check() {
            join(0, 3, true, "vm2");
            mFirst = mMember.fence().get();
            mActions.clear();
            feed(250, new MemberEvent.Joined(5, true, at(250)));
            return mActions.stream()
                    .filter(MemberAction.CheckHold.class::isInstance)
                    .map(action -> ((MemberAction.CheckHold) action).check())
                    .toList()
                    .get(0);
        }

        /** Guards against a term that goes on although another VM may have acted in it. */
        @Test
        void beginsAnotherTermIfItsHoldWasBroken() {
            feed(260, new MemberEvent.HoldChecked(check(), false, at(252)));
            assertThat(mMember.fence().get()).isGreaterThan(mFirst);
            assertThat(mMember.wantsCell()).isTrue();
            // Its followers would take that for a cell without a controller.
            assertThat(sent("vm2", CellMessage.Leaving.class)).isEmpty();
        }

        /** Guards against callers that wait for a new term whenever a VM comes or goes. */
        @Test
        void goesOnIfItsHoldIsUnbroken() {
            feed(260, new MemberEvent.HoldChecked(check(), true, at(252)));
            assertThat(mMember.fence()).hasValue(mFirst);
        }
    }

    /** The group assigns the cell to a VM that is no longer a candidate. */
    @Nested
    final class IsAssignedTheCell {
        /** A healthy controller would be deposed, and its callers would wait for the next term. */
        @Test
        void whileItHearsAnotherController() {
            receive(0, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            join(10, 4, true, "vm2");
            assertThat(mMember.fence()).isEmpty();
        }

        /**
         * It was stalled for longer than its lease; no other VM has been assigned the cell since.
         */
        @Test
        void afterItsOwnTermHasExpired() {
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
     * the cell; when all VMs request it, the group rebalances with every further candidate.
     */
    @Nested
    final class BecomesCandidate {
        private void stayConnected(long fromMs, long toMs, String... peers) {
            for (long ms = fromMs; ms <= toMs; ms += 50) {
                join(ms, 3, false, peers);
                feed(ms, new MemberEvent.Ticked());
            }
        }

        private void allMissTheController(long fromMs, long toMs, int strength, String... peers) {
            for (long ms = fromMs; ms <= toMs; ms += 50) {
                for (String peer : peers) {
                    receive(ms, peer, new CellMessage.ControllerMissing(0, strength));
                }
                join(ms, 3, false, peers);
                feed(ms, new MemberEvent.Ticked());
            }
        }

        @Test
        void theStrongestBecomesCandidateOnceItHasListened() {
            mMember.strength(1_000);
            allMissTheController(0, 240, 500, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isFalse();
            allMissTheController(250, 300, 500, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isTrue();
            assertThat(mActions).contains(new MemberAction.Rejoin());
        }

        @Test
        void aWeakerVmWaitsForStrongerOnes() {
            mMember.strength(500);
            allMissTheController(0, 1_400, 1_000, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isFalse();
            allMissTheController(1_410, 1_510, 1_000, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isTrue();
        }

        /**
         * Guards against callers that are refused twice in a row: two VMs requested the cell of one
         * that was lost. The group assigned it to one of them and, a moment later, when further
         * leases ended, to the other.
         */
        @Test
        void aCandidateThatHearsAControllerRejoinsAtOnce() {
            mMember.strength(1_000);
            allMissTheController(0, 300, 500, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isTrue();
            mActions.clear();
            receive(305, "vm2", new CellMessage.Heartbeat(4_000, SENT, PERIOD_MS));
            assertThat(mMember.wantsCell()).isFalse();
            assertThat(mActions).contains(new MemberAction.Rejoin());
        }

        /**
         * Disconnected from the other VMs only: no other VM misses the controller that it can't
         * hear.
         */
        @Test
        void aVmThatAloneMissesTheControllerIsNoCandidate() {
            stayConnected(0, 3_000, "vm2", "vm3");
            assertThat(mMember.wantsCell()).isFalse();
            assertThat(sent("vm2", CellMessage.ControllerMissing.class)).isNotEmpty();
        }

        @Test
        void hearingAnotherControllerEndsTheCandidacy() {
            allMissTheController(0, 400, -1, "vm2", "vm3");
            receive(410, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            assertThat(mMember.wantsCell()).isFalse();
        }

        @Test
        void heartbeatsOfAnEarlierTermAreIgnored() {
            receive(0, "vm3", new CellMessage.Heartbeat(4_000, SENT, PERIOD_MS));
            allMissTheController(0, 1_000, -1, "vm2", "vm3");
            receive(1_010, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            assertThat(mMember.wantsCell()).isTrue();
        }

        /**
         * A controller stops as planned: the next VM requests the cell at once, not after a
         * silence.
         */
        @Test
        void theNextVmIsCandidateAtOnceWhenTheControllerLeaves() {
            mMember.strength(1_000);
            stayConnected(0, 1_000, "vm2", "vm3");
            receive(1_000, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            receive(1_010, "vm3", new CellMessage.ControllerMissing(3_000, 0));
            receive(1_020, "vm2", new CellMessage.Leaving(3_000));
            feed(1_045, new MemberEvent.Ticked());
            assertThat(mMember.wantsCell()).isTrue();
        }

        /**
         * The store rejects this VM and serves the others. The VM is dropped from the group, so the
         * controller sends it no heartbeats, and its callers were refused for as long as that
         * lasted. It notifies the others, and the controller answers.
         */
        @Test
        void aVmRejectedByTheStoreNotifiesTheOthers() {
            stayConnected(0, 200, "vm2", "vm3");
            receive(200, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            mActions.clear();
            for (long ms = 250; ms <= 2_000; ms += 50) {
                feed(ms, new MemberEvent.Ticked());
            }
            // From 550 ms on, every 100 ms.
            assertThat(sent("vm2", CellMessage.ControllerMissing.class)).hasSize(15);
            assertThat(mMember.wantsCell()).isFalse();
        }

        /**
         * Guards against callers that are refused because VMs take a healthy controller for lost.
         * The VMs were stalled by their own work for longer than three heartbeats. Afterwards they
         * saw by the clock that the controller had been silent, before they read the messages that
         * had arrived meanwhile.
         */
        @Test
        void aStallDoesNotCountAsSilenceOfTheController() {
            stayConnected(0, 1_000, "vm2", "vm3");
            receive(1_000, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            mActions.clear();
            feed(1_900, new MemberEvent.Ticked());
            assertThat(sent("vm2", CellMessage.ControllerMissing.class)).isEmpty();
            assertThat(mMember.canServeCallers(at(1_900))).isTrue();
        }

        /**
         * The controller has announced a heartbeat every 400 ms, so a second without one is not
         * taken for its loss.
         */
        @Test
        void silenceIsMeasuredAgainstTheAnnouncedPeriod() {
            stayConnected(0, 1_000, "vm2", "vm3");
            receive(1_000, "vm2", new CellMessage.Heartbeat(3_000, SENT, 400));
            mActions.clear();
            stayConnected(1_050, 1_750, "vm2", "vm3");
            assertThat(sent("vm2", CellMessage.ControllerMissing.class)).isEmpty();
            stayConnected(1_800, 1_850, "vm2", "vm3");
            assertThat(sent("vm2", CellMessage.ControllerMissing.class)).isNotEmpty();
        }

        /**
         * Guards against refusing the callers of a weak controller's own VM every half second: its
         * heartbeats are 600 ms apart, and it measured its own silence against the period of
         * stronger VMs.
         */
        @Test
        void aControllerIsNotSilentToItselfBetweenItsHeartbeats() {
            mMember.deployment(10, 40);
            Set<String> peers = Set.of("vm2", "vm3", "vm4", "vm5", "vm6", "vm7");
            feed(0, new MemberEvent.Joined(3, true, at(0)));
            feed(0, new MemberEvent.PeersListed(peers, 0));
            long fence = mMember.fence().get();
            peers.forEach(peer -> receive(5, peer, heartbeatReply(fence, 0)));
            for (long ms = 10; ms <= 590; ms += 10) {
                feed(ms, new MemberEvent.Ticked());
            }
            EntryEvent job =
                    new EntryEvent.Submitted(1, FakeJobs.request(new SplittableRandom(1), 1), 900);
            feed(595, new MemberEvent.ForPendingJobs(job));
            assertThat(mMember.state().jobs()).isEqualTo(1);
        }

        @Test
        void aControllerAnswersAVmThatMissesIt() {
            join(0, 3, true, "vm2");
            long fence = mMember.fence().get();
            receive(10, "vm3", new CellMessage.ControllerMissing(0, 0));
            assertThat(sent("vm3", CellMessage.Heartbeat.class))
                    .contains(new CellMessage.Heartbeat(fence, at(10), PERIOD_MS));
        }

        /**
         * Its membership has expired: the others need not wait until its heartbeats are missing.
         */
        @Test
        void aControllerAnnouncesThatItsMembershipIsOver() {
            join(0, 3, true, "vm2");
            long fence = mMember.fence().get();
            feed(LEASE_MS + 25, new MemberEvent.Ticked());
            assertThat(sent("vm2", CellMessage.Leaving.class))
                    .containsExactly(new CellMessage.Leaving(fence));
        }

        @Test
        void aControllerAnnouncesThatItStops() {
            join(0, 3, true, "vm2");
            long fence = mMember.fence().get();
            feed(10, new MemberEvent.Resigned());
            assertThat(sent("vm2", CellMessage.Leaving.class))
                    .containsExactly(new CellMessage.Leaving(fence));
        }
    }

    /** The controller can't reach the store. */
    @Nested
    final class WithoutTheStore {
        private void endorse(long ms, String... followers) {
            long fence = mMember.fence().orElseThrow();
            for (String follower : followers) {
                receive(
                        ms,
                        follower,
                        new CellMessage.HeartbeatReply(fence, at(ms - 10), true, false, 0, 0, 0));
            }
        }

        @Test
        void itActsWhileAllVmsFollowIt() {
            join(0, 3, true, "vm2", "vm3", "vm4");
            endorse(900, "vm2", "vm3", "vm4");
            feed(LEASE_MS + 25, new MemberEvent.Ticked());
            assertThat(mMember.fence()).isPresent();
        }

        /**
         * Guards against two controllers: the zone with most VMs is cut off with the controller,
         * and the store assigns the cell to a VM outside without asking a majority.
         */
        @Test
        void itEndsItsTermWhenOneOfThemIsNotHeard() {
            join(0, 3, true, "vm2", "vm3", "vm4");
            endorse(900, "vm2", "vm3");
            feed(LEASE_MS + 25, new MemberEvent.Ticked());
            assertThat(mMember.fence()).isEmpty();
        }
    }

    /**
     * A VM is stopped as planned. The platform continues to send it callers for two seconds, which
     * were refused although the cell had a controller and free capacity.
     */
    @Nested
    final class Stopping {
        private void submit(long ms) {
            StepRequest step = StepRequest.cpuOnly(1, 1_000, 100);
            JobRequest request =
                    new JobRequest("00000000000000aa", "q", "s", 0, 3, 2, 60, "", List.of(step), 1);
            feed(ms, new MemberEvent.ForPendingJobs(new EntryEvent.Submitted(1, request, 2_000)));
        }

        @Test
        void callersAreServedByTheNextControllerUntilTheVmDrains() {
            receive(0, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            feed(10, new MemberEvent.Resigned());
            submit(20);
            assertThat(sent("vm2", CellMessage.Offer.class)).hasSize(1);
        }

        @Test
        void callersAreRefusedOnceTheVmDrains() {
            receive(0, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            feed(10, new MemberEvent.Resigned());
            feed(15, new MemberEvent.Draining());
            submit(20);
            assertThat(sent("vm2", CellMessage.Offer.class)).isEmpty();
        }
    }

    /**
     * A failure domain is disconnected from the store and the other domains. Its callers are
     * refused for as long as the platform sends them there; when told that this VM can't serve, it
     * sends them to other domains.
     */
    @Nested
    final class ServesCallers {
        @Test
        void aVmConnectedToTheStoreDoes() {
            join(2_000, 3, false);
            assertThat(mMember.canServeCallers(at(2_500))).isTrue();
        }

        @Test
        void aVmThatHearsAControllerDoesWithoutTheStore() {
            receive(3_000, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            assertThat(mMember.canServeCallers(at(3_100))).isTrue();
        }

        @Test
        void aVmThatHearsNeitherDoesNot() {
            join(0, 3, false);
            receive(100, "vm2", new CellMessage.Heartbeat(3_000, SENT, PERIOD_MS));
            assertThat(mMember.canServeCallers(at(1_500))).isFalse();
        }
    }
}
