package org.boragegap.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A VM fences off a view whose members are presumed dead. */
final class FenceTest {
    private static final ClaimLimits LIMITS =
            new ClaimLimits(60_000, 100, 4_000, 200, 1_000, 40_000, 10_000, 5_000);
    private static final long WALL_MS = 1_000_000;
    private static final long TICK_MS = 100;
    private static final long FENCED_MS = 6_000;
    private static final Member A = new Member("a:1", 1);
    private static final Member B = new Member("b:1", 1);
    private static final Member C = new Member("c:1", 1);
    private static final DomainView PAIR =
            new DomainView(WALL_MS, 6, 5, List.of(A, B), List.of(), 0);
    private static final DomainView FENCE = PAIR.successor(7, List.of(C), List.of(C), WALL_MS);

    private final ClaimProtocol mA = ClaimProtocol.create(A, "fd", LIMITS, () -> 1);
    private final ClaimProtocol mB = ClaimProtocol.create(B, "fd", LIMITS, () -> 2);
    private final ClaimProtocol mC = ClaimProtocol.create(C, "fd", LIMITS, () -> 3);

    private static ClockReading at(long ms) {
        return new ClockReading(ms, WALL_MS + ms);
    }

    private static void read(ClaimProtocol protocol, long offset, DomainView view, long ms) {
        LoggedView logged = new LoggedView(offset, ViewRecord.proposal("fd", view), WALL_MS, 0);
        LogBatch batch = new LogBatch(List.of(logged), 0, offset + 1, WALL_MS + ms, true);
        protocol.onLog(batch, at(ms), new ArrayList<>());
    }

    private static void readNothing(ClaimProtocol protocol, long nextOffset, long ms) {
        LogBatch batch = new LogBatch(List.of(), 0, nextOffset, WALL_MS + ms, true);
        protocol.onLog(batch, at(ms), new ArrayList<>());
    }

    private static List<ClaimAction> request(ClaimProtocol protocol, String id, long ms) {
        List<ClaimAction> out = new ArrayList<>();
        long createdMs = WALL_MS + ms;
        protocol.requestClaim(ClaimKey.of(id, createdMs), createdMs, 5, at(ms), out);
        return out;
    }

    private static Optional<ClaimOutcome> outcome(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.Resolve.class::isInstance)
                .map(action -> ((ClaimAction.Resolve) action).outcome())
                .findFirst();
    }

    private static Optional<DomainView> proposal(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.Append.class::isInstance)
                .map(action -> ((ClaimAction.Append) action).record())
                .filter(record -> record.kind() == ViewRecord.Kind.PROPOSED)
                .map(ViewRecord::view)
                .findFirst();
    }

    private static List<ClaimAction> tickUntil(ClaimProtocol protocol, long fromMs, long untilMs) {
        List<ClaimAction> out = new ArrayList<>();
        for (long ms = fromMs; ms <= untilMs; ms += TICK_MS) {
            protocol.onTick(at(ms), out);
        }
        return out;
    }

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

    @BeforeEach
    void installPair() {
        // Each member starts alone, so that it holds all claims of the pair's parent.
        read(mA, 0, DomainView.first(WALL_MS - 1, 5, A, 0), 0);
        read(mB, 0, DomainView.first(WALL_MS - 1, 5, B, 0), 0);
        read(mC, 0, DomainView.first(WALL_MS - 1, 5, A, 0), 0);
        for (ClaimProtocol protocol : List.of(mA, mB, mC)) {
            read(protocol, 1, PAIR, 0);
        }
    }

    @Nested
    final class OfTheTaker {
        /** Guards against a view of two live members being replaced at once by one that claims. */
        @Test
        void aViewOfUnlistedMembersIsFencedFirst() {
            mC.onVmsUnlisted(Set.of(A.address(), B.address()));
            assertThat(proposal(tickUntil(mC, 0, FENCED_MS)).orElseThrow().fence()).isTrue();
        }

        /** Guards against claims under a fence, while earlier members may still claim. */
        @Test
        void nothingIsGrantedUnderAFenceAndCallersAreToldAtOnce() {
            read(mC, 2, FENCE, FENCED_MS);
            long ms = FENCED_MS + LIMITS.claimLeaseMs();
            ClaimOutcome outcome = outcome(request(mC, "job", ms)).orElseThrow();
            assertThat(outcome).isInstanceOf(ClaimOutcome.Unknown.class);
            assertThat(((ClaimOutcome.Unknown) outcome).waitMs()).isGreaterThan(0);
            assertThat(mC.ready(at(ms))).isTrue();
        }

        /** Guards against a failure domain whose VMs are all lost never claiming again. */
        @Test
        void theFenceEndsWhenTheEarlierMembersMustHaveStopped() {
            read(mC, 2, FENCE, FENCED_MS);
            long overMs = FENCED_MS + LIMITS.fenceMs();
            assertThat(proposal(tickUntil(mC, FENCED_MS, overMs - TICK_MS))).isEmpty();
            DomainView next = proposal(tickUntil(mC, overMs, overMs)).orElseThrow();
            read(mC, 3, next, overMs + 10);
            assertThat(outcome(request(mC, "job", overMs + 1_000)))
                    .hasValue(new ClaimOutcome.Granted());
        }

        /** Guards against a successor at the fencing VM's address skipping the wait. */
        @Test
        void aSuccessorOfTheFencingVmWaitsAsWell() {
            Member successor = new Member(C.address(), 2);
            ClaimProtocol later = ClaimProtocol.create(successor, "fd", LIMITS, () -> 4);
            read(later, 0, DomainView.first(WALL_MS - 1, 5, A, 0), FENCED_MS);
            read(later, 1, PAIR, FENCED_MS);
            read(later, 2, FENCE, FENCED_MS);
            long overMs = FENCED_MS + LIMITS.fenceMs();
            assertThat(proposal(tickUntil(later, FENCED_MS, overMs - TICK_MS))).isEmpty();
            assertThat(proposal(tickUntil(later, overMs, overMs))).isPresent();
        }
    }

    @Nested
    final class OfTheEarlierMembers {
        /** Guards against a member that is alive losing its claims to a fence. */
        @Test
        void aMemberThatReadsTheFenceGoesOnWithItsClaims() {
            List<ClaimAction> acknowledged = deliver(A, mB, request(mA, "job", 10), 11);
            assertThat(outcome(deliver(B, mA, acknowledged, 12)))
                    .hasValue(new ClaimOutcome.Granted());
            read(mB, 2, FENCE, FENCED_MS);
            DomainView next = proposal(tickUntil(mB, FENCED_MS, FENCED_MS)).orElseThrow();
            read(mB, 3, next, FENCED_MS + 10);
            List<ClaimAction> out = new ArrayList<>();
            mB.requestClaim(
                    ClaimKey.of("job", WALL_MS + 10), WALL_MS + 10, 5, at(FENCED_MS + 20), out);
            assertThat(outcome(out)).hasValue(new ClaimOutcome.HeldBy(A, false));
            assertThat(outcome(request(mB, "other", FENCED_MS + 30)))
                    .hasValue(new ClaimOutcome.Granted());
        }

        /** Guards against two live members that hear each other claiming on after a fence. */
        @Test
        void membersThatDontHearFromTheLogStopClaiming() {
            long lapsedMs = LIMITS.claimLeaseMs();
            assertThat(outcome(deliver(B, mA, deliver(A, mB, request(mA, "x", 10), 11), 12)))
                    .hasValue(new ClaimOutcome.Granted());
            List<ClaimAction> requests = request(mA, "job", lapsedMs);
            assertThat(deliver(A, mB, requests, lapsedMs + 1)).isEmpty();
            ClaimOutcome outcome = outcome(tickUntil(mA, lapsedMs, lapsedMs)).orElseThrow();
            assertThat(outcome).isInstanceOf(ClaimOutcome.Unknown.class);
        }

        /** Guards against a grant whose last acknowledgement comes when the lease is over. */
        @Test
        void anAcknowledgementAfterTheLeaseGrantsNothing() {
            List<ClaimAction> acknowledged = deliver(A, mB, request(mA, "job", 10), 11);
            long lapsedMs = LIMITS.claimLeaseMs();
            assertThat(outcome(deliver(B, mA, acknowledged, lapsedMs))).isEmpty();
        }

        /** Guards against a read that waited in a paused process renewing the lease. */
        @Test
        void aReadCountsFromWhenItWasSent() {
            long lateMs = LIMITS.claimLeaseMs();
            LogBatch late = new LogBatch(List.of(), 0, 2, WALL_MS, true, 10);
            for (ClaimProtocol protocol : List.of(mA, mB)) {
                protocol.onLog(late, at(lateMs + 10), new ArrayList<>());
            }
            assertThat(deliver(A, mB, request(mA, "job", lateMs + 10), lateMs + 10)).isEmpty();
        }

        /** Guards against the lease of a VM that was suspended with its monotonic clock. */
        @Test
        void theLeaseEndsWhenTheMonotonicClockStoodStill() {
            tickUntil(mA, 0, 0);
            ClockReading resumed = new ClockReading(20, WALL_MS + LIMITS.claimLeaseMs());
            List<ClaimAction> out = new ArrayList<>();
            long createdMs = resumed.wallMs();
            mA.requestClaim(ClaimKey.of("job", createdMs), createdMs, 5, resumed, out);
            assertThat(out).isEmpty();
        }

        /** Guards against ids in doubt for long because one query of the lease was lost. */
        @Test
        void aMemberWithoutALeaseKeepsAsking() {
            ClaimLimits limits = ClaimLimits.defaults();
            ClaimProtocol member = ClaimProtocol.create(A, "fd", limits, () -> 5);
            read(member, 0, DomainView.first(WALL_MS - 1, 5, A, 0), 0);
            read(member, 1, PAIR, 0);
            long lapsedMs = 2 * limits.claimLeaseMs();
            long queries =
                    tickUntil(member, lapsedMs, lapsedMs + 5 * limits.resendMs()).stream()
                            .filter(ClaimAction.Send.class::isInstance)
                            .map(action -> ((ClaimAction.Send) action).message())
                            .filter(ClaimMessage.LogReadQuery.class::isInstance)
                            .count();
            assertThat(queries).isAtLeast(5);
        }

        /** Guards against a member that alone can't read the log stopping its siblings. */
        @Test
        void aMemberIsToldOfASiblingsRead() {
            long oldMs = LIMITS.claimLeaseMs() - 1_000;
            readNothing(mB, 2, oldMs);
            List<ClaimAction> queries = tickUntil(mA, oldMs, oldMs);
            deliver(B, mA, deliver(A, mB, queries, oldMs + 1), oldMs + 2);
            long laterMs = LIMITS.claimLeaseMs() + 1_000;
            assertThat(
                            outcome(
                                    deliver(
                                            B,
                                            mA,
                                            deliver(A, mB, request(mA, "x", laterMs), laterMs),
                                            laterMs)))
                    .hasValue(new ClaimOutcome.Granted());
        }
    }

    @Nested
    final class OfTheLastMember {
        private DomainView release() {
            read(mB, 2, PAIR.successor(8, List.of(B), List.of(), 0), 20);
            List<ClaimAction> out = new ArrayList<>();
            mB.leave(at(30), out);
            return proposal(out).orElseThrow();
        }

        /** Guards against new VMs waiting for a domain whose VMs have all left in good order. */
        @Test
        void aVmThatComesAfterItClaimsAtOnce() {
            DomainView released = release();
            assertThat(released.members()).isEmpty();
            read(mC, 2, PAIR.successor(8, List.of(B), List.of(), 0), 40);
            read(mC, 3, released, 50);
            DomainView next = proposal(tickUntil(mC, 50, 50)).orElseThrow();
            read(mC, 4, next, 60);
            assertThat(outcome(request(mC, "job", 1_000))).hasValue(new ClaimOutcome.Granted());
        }

        /** Guards against a grant by a member whose release may already be on the log. */
        @Test
        void itGrantsNothingOnceItHasLeft() {
            release();
            assertThat(outcome(request(mB, "job", 40))).isEmpty();
        }

        /** Guards against two VMs that leave together leaving their view to nobody. */
        @Test
        void aMemberThatIsLeftAloneWhileItLeavesReleasesTheView() {
            mB.leave(at(10), new ArrayList<>());
            read(mB, 2, PAIR.successor(8, List.of(B), List.of(), 0), 20);
            assertThat(proposal(tickUntil(mB, 30, 30)).orElseThrow().members()).isEmpty();
        }
    }
}
