package org.boragegap.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A VM finds a view whose only member is missing from the platform's list. */
final class UnlistedMemberTest {
    private static final ClaimLimits LIMITS = ClaimLimits.defaults();
    private static final long WALL_MS = 1_000_000;
    private static final long UNLISTED_MS = 60_000;
    private static final long TICK_MS = 100;
    private static final Member A = new Member("a:1", 1);
    private static final Member C = new Member("c:1", 1);
    private static final DomainView ALONE =
            new DomainView(WALL_MS, 6, DomainView.NO_PARENT, List.of(A), List.of(), 0);
    private static final LoggedView LOGGED =
            new LoggedView(0, ViewRecord.proposal("fd", ALONE), WALL_MS, 0);

    private final ClaimProtocol mC = ClaimProtocol.create(C, "fd", LIMITS, () -> 2);
    private final List<ClaimAction> mActions = new ArrayList<>();

    private static ClockReading at(long ms) {
        return new ClockReading(ms, WALL_MS + ms);
    }

    private void receiveHeartbeat(long ms) {
        ClaimMessage heartbeat =
                new ClaimMessage.ViewIs(ALONE, true, 10, 0, ClaimMessage.ViewIs.NO_ECHO);
        mC.onMessage(A, heartbeat, at(ms), mActions);
    }

    private void tickUntil(long fromMs, long untilMs, Set<String> unlisted) {
        for (long ms = fromMs; ms <= untilMs; ms += TICK_MS) {
            mC.onVmsUnlisted(unlisted);
            mC.onTick(at(ms), mActions);
        }
    }

    private List<ViewRecord> proposals() {
        return mActions.stream()
                .filter(ClaimAction.Append.class::isInstance)
                .map(action -> ((ClaimAction.Append) action).record())
                .filter(record -> record.kind() == ViewRecord.Kind.PROPOSED)
                .toList();
    }

    @BeforeEach
    void readView() {
        LogBatch batch = new LogBatch(List.of(LOGGED), 0, 1, WALL_MS, true);
        mC.onLog(batch, at(0), new ArrayList<>());
    }

    /** Guards against a VM that sends messages being presumed dead because it is unlisted. */
    @Test
    void anUnlistedMemberThatSendsAHeartbeatIsNotPresumedDead() {
        mC.onVmsUnlisted(Set.of(A.address()));
        receiveHeartbeat(UNLISTED_MS);
        mC.onTick(at(UNLISTED_MS + 10), mActions);
        assertThat(proposals()).isEmpty();
    }

    /** The same with a VM that stays unlisted while it sends heartbeats. */
    @Test
    void anUnlistedMemberThatKeepsSendingHeartbeatsIsNotPresumedDead() {
        for (long ms = 0; ms <= UNLISTED_MS; ms += LIMITS.suspectMs() / 2) {
            receiveHeartbeat(ms);
            tickUntil(ms, ms + LIMITS.suspectMs() / 2 - TICK_MS, Set.of(A.address()));
        }
        assertThat(proposals()).isEmpty();
    }

    /** Guards against a VM that is listed again being presumed dead when it is silent. */
    @Test
    void aMemberThatIsListedAgainIsNotPresumedDead() {
        mC.onVmsUnlisted(Set.of(A.address()));
        tickUntil(UNLISTED_MS, 2 * UNLISTED_MS, Set.of());
        assertThat(proposals()).isEmpty();
    }

    @Test
    void anUnlistedMemberThatIsSilentIsPresumedDead() {
        tickUntil(UNLISTED_MS, UNLISTED_MS + 2 * LIMITS.suspectMs(), Set.of(A.address()));
        assertThat(proposals()).isNotEmpty();
    }

    @Test
    void aReplacedMemberIsPresumedDeadAtOnce() {
        Member replacement = new Member(A.address(), A.incarnation() + 1);
        mC.onMessage(replacement, new ClaimMessage.Join(), at(10), mActions);
        mC.onTick(at(20), mActions);
        assertThat(proposals()).isNotEmpty();
    }
}
