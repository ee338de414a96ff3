package org.boragegap.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Cases of the claim protocol with two members, between which the tests deliver the messages. */
final class ClaimProtocolTest {
    private static final ClaimLimits LIMITS =
            new ClaimLimits(60_000, 100, 4_000, 200, 1_000, 10_000, 7_500, 60_000);
    private static final long WALL_MS = 1_000_000;
    private static final Member A = new Member("a:1", 1);
    private static final Member B = new Member("b:1", 1);
    private static final DomainView BOTH =
            new DomainView(WALL_MS, 7, DomainView.NO_PARENT, List.of(A, B), List.of(), 0);
    private static final ClaimKey KEY = ClaimKey.of("job", WALL_MS);

    private final ClaimProtocol mA = ClaimProtocol.create(A, "fd", LIMITS, () -> 1);
    private final ClaimProtocol mB = ClaimProtocol.create(B, "fd", LIMITS, () -> 2);

    ClaimProtocolTest() {
        // Each starts as the only member of a parent view, so that it holds all claims of that
        // view.
        install(mA, A);
        install(mB, B);
    }

    private static ClockReading at(long ms) {
        return new ClockReading(ms, WALL_MS + ms);
    }

    private static void install(ClaimProtocol protocol, Member self) {
        DomainView alone =
                new DomainView(WALL_MS - 1, 6, DomainView.NO_PARENT, List.of(self), List.of(), 0);
        DomainView both = new DomainView(WALL_MS, 7, alone.uid(), BOTH.members(), List.of(), 0);
        List<LoggedView> views =
                List.of(
                        new LoggedView(0, ViewRecord.proposal("fd", alone), WALL_MS, 0),
                        new LoggedView(1, ViewRecord.proposal("fd", both), WALL_MS, 0));
        for (LoggedView view : views) {
            LogBatch batch = new LogBatch(List.of(view), 0, view.offset() + 1, WALL_MS, true);
            protocol.onLog(batch, at(0), new ArrayList<>());
        }
    }

    private static List<ClaimAction> requestClaim(ClaimProtocol protocol, long ms) {
        List<ClaimAction> out = new ArrayList<>();
        protocol.requestClaim(KEY, WALL_MS, 5, at(ms), out);
        return out;
    }

    /** Delivers one member's messages to the other and returns the other's actions. */
    private static List<ClaimAction> deliver(
            Member from, ClaimProtocol to, List<ClaimAction> actions, long ms) {
        List<ClaimAction> out = new ArrayList<>();
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Send send) {
                to.onMessage(from, send.message(), at(ms), out);
            }
        }
        return out;
    }

    private static List<ClaimOutcome> outcomes(List<ClaimAction> actions) {
        List<ClaimOutcome> outcomes = new ArrayList<>();
        for (ClaimAction action : actions) {
            if (action instanceof ClaimAction.Resolve resolve) {
                outcomes.add(resolve.outcome());
            }
        }
        return outcomes;
    }

    @Nested
    final class Grants {
        @Test
        void aClaimIsGrantedWhenTheSiblingHasAcknowledgedIt() {
            List<ClaimAction> requests = requestClaim(mA, 10);
            assertThat(outcomes(requests)).isEmpty();
            List<ClaimAction> acknowledgements = deliver(A, mB, requests, 11);
            assertThat(outcomes(deliver(B, mA, acknowledgements, 12)))
                    .containsExactly(new ClaimOutcome.Granted());
        }

        @Test
        void aResubmissionAtTheSiblingIsSentToTheHolder() {
            deliver(B, mA, deliver(A, mB, requestClaim(mA, 10), 11), 12);
            assertThat(outcomes(requestClaim(mB, 20)))
                    .containsExactly(new ClaimOutcome.HeldBy(A, true));
        }

        @Test
        void ofTwoConcurrentSubmissionsOneIsGranted() {
            List<ClaimAction> fromA = requestClaim(mA, 10);
            List<ClaimAction> fromB = requestClaim(mB, 10);
            List<ClaimAction> repliesOfB = deliver(A, mB, fromA, 11);
            List<ClaimAction> repliesOfA = deliver(B, mA, fromB, 11);
            List<ClaimOutcome> all = new ArrayList<>(outcomes(repliesOfA));
            all.addAll(outcomes(repliesOfB));
            all.addAll(outcomes(deliver(B, mA, repliesOfB, 12)));
            all.addAll(outcomes(deliver(A, mB, repliesOfA, 12)));
            assertThat(all.stream().filter(v -> v instanceof ClaimOutcome.Granted).count())
                    .isEqualTo(1);
        }

        @Test
        void anotherBodyUnderTheSameIdIsAConflict() {
            deliver(B, mA, deliver(A, mB, requestClaim(mA, 10), 11), 12);
            List<ClaimAction> out = new ArrayList<>();
            mB.requestClaim(KEY, WALL_MS, 6, at(20), out);
            assertThat(outcomes(out)).containsExactly(new ClaimOutcome.Conflict());
        }
    }

    @Nested
    final class UnknownOutcomes {
        /**
         * The sibling doesn't answer while a claim waits for its acknowledgement. The caller must
         * not be told that the job was not run: a member of a view that is not known here may have
         * started an earlier submission of it.
         */
        @Test
        void aClaimWithoutAnAcknowledgementEndsAsUnknown() {
            requestClaim(mA, 10);
            List<ClaimAction> out = new ArrayList<>();
            mA.onTick(at(10 + LIMITS.claimTimeoutMs()), out);
            assertThat(outcomes(out).get(0)).isInstanceOf(ClaimOutcome.Unknown.class);
        }

        @Test
        void anIdFromTheFutureIsNotClaimed() {
            List<ClaimAction> out = new ArrayList<>();
            mA.requestClaim(KEY, WALL_MS + 60_000, 5, at(0), out);
            assertThat(outcomes(out).get(0)).isInstanceOf(ClaimOutcome.Unknown.class);
        }

        @Test
        void anIdOlderThanTheWindowIsNotClaimed() {
            List<ClaimAction> out = new ArrayList<>();
            mA.requestClaim(KEY, WALL_MS, 5, at(LIMITS.idWindowMs() + 1), out);
            assertThat(outcomes(out).get(0)).isInstanceOf(ClaimOutcome.Unknown.class);
        }
    }

    @Nested
    final class IdsThatGrowOldWhileTheirClaimsWait {
        private static final long LIMIT_MS = 60_000;

        private void keepViewStated(ClaimProtocol protocol, long ms) {
            DomainView both = protocol.view().orElseThrow();
            ViewRecord statement = ViewRecord.statement("fd", both, 1);
            LoggedView logged = new LoggedView(ms, statement, WALL_MS + ms, 0);
            LogBatch batch = new LogBatch(List.of(logged), 0, ms + 1, WALL_MS + ms, true);
            protocol.onLog(batch, at(ms), new ArrayList<>());
        }

        private void keepViewsStated(long untilMs) {
            for (long ms = 2; ms <= untilMs; ms += 5_000) {
                keepViewStated(mA, ms);
                keepViewStated(mB, ms);
            }
        }

        /** Guards against a grant for an id whose earlier claim has been forgotten meanwhile. */
        @Test
        void aClaimThatWaitsPastTheIdWindowIsNotRepeated() {
            keepViewsStated(LIMIT_MS);
            assertThat(outcomes(requestClaim(mA, LIMIT_MS - 10))).isEmpty();
            List<ClaimAction> out = new ArrayList<>();
            mA.onTick(at(LIMIT_MS + LIMITS.resendMs()), out);
            assertThat(outcomes(out).get(0)).isInstanceOf(ClaimOutcome.Unknown.class);
        }

        /** Guards against an acknowledgement by a member that has forgotten an earlier claim. */
        @Test
        void aRequestThatArrivesPastTheIdWindowIsNotAcknowledged() {
            keepViewsStated(LIMIT_MS);
            List<ClaimAction> requests = requestClaim(mA, LIMIT_MS - 10);
            long forgottenMs = LIMIT_MS + 5 * LIMITS.clockSkewMs();
            keepViewsStated(forgottenMs);
            assertThat(deliver(A, mB, requests, forgottenMs)).isEmpty();
        }
    }

    @Nested
    final class ViewExpiry {
        /**
         * Both members are disconnected from the log for longer than it keeps records. A new VM
         * finds no view on the log and starts one of its own. If the old members went on, a job
         * that is submitted to both views would be started in both.
         */
        @Test
        void membersOfAnExpiredViewStopClaiming() {
            long expiredMs = LIMITS.viewExpiryMs() + 1;
            List<ClaimAction> out = new ArrayList<>();
            mA.requestClaim(KEY, WALL_MS + expiredMs, 5, at(expiredMs), out);
            assertThat(out).isEmpty();
            assertThat(mA.ready(at(expiredMs))).isFalse();
        }

        @Test
        void aMemberThatResumesAfterTheExpiryIsGrantedNothing() {
            List<ClaimAction> requests = requestClaim(mA, 10);
            List<ClaimAction> acknowledgements = deliver(A, mB, requests, 11);
            long expiredMs = LIMITS.viewExpiryMs() + 1;
            assertThat(outcomes(deliver(B, mA, acknowledgements, expiredMs))).isEmpty();
        }
    }
}
