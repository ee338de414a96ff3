package org.boragegap.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Test;

/** The only member of a view is missing from the platform's list and receives no messages. */
final class AbsentFromTheListTest {
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

    private final ClaimProtocol mA = ClaimProtocol.create(A, "fd", LIMITS, () -> 1);
    private final ClaimProtocol mC = ClaimProtocol.create(C, "fd", LIMITS, () -> 2);

    private static ClockReading at(long ms) {
        return new ClockReading(ms, WALL_MS + ms);
    }

    private static void read(ClaimProtocol protocol, LoggedView view, long ms) {
        long next = view.offset() + 1;
        LogBatch batch = new LogBatch(List.of(view), 0, next, WALL_MS + ms, true);
        protocol.onLog(batch, at(ms), new ArrayList<>());
    }

    private static boolean granted(ClaimProtocol protocol, long ms) {
        List<ClaimAction> out = new ArrayList<>();
        long createdMs = WALL_MS + ms;
        protocol.requestClaim(ClaimKey.of("job", createdMs), createdMs, 5, at(ms), out);
        return out.contains(
                new ClaimAction.Resolve(ClaimKey.of("job", createdMs), new ClaimOutcome.Granted()));
    }

    private static List<ViewRecord> proposals(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.Append.class::isInstance)
                .map(action -> ((ClaimAction.Append) action).record())
                .filter(record -> record.kind() == ViewRecord.Kind.PROPOSED)
                .toList();
    }

    /**
     * Guards against one submission being started by two VMs, each of which is the only member of
     * its view: the unlisted one, and a new one that took the view over because the first was
     * unlisted and silent.
     */
    @Test
    void oneSubmissionIsNotGrantedTwice() {
        read(mA, LOGGED, 0);
        read(mC, LOGGED, 0);
        mC.onVmsUnlisted(Set.of(A.address()));
        List<ClaimAction> out = new ArrayList<>();
        for (long ms = 0; ms <= UNLISTED_MS; ms += TICK_MS) {
            mC.onTick(at(ms), out);
        }
        for (ViewRecord record : proposals(out)) {
            read(mC, new LoggedView(1, record, WALL_MS + UNLISTED_MS + 5, 0), UNLISTED_MS + 10);
        }
        long ms = UNLISTED_MS + 10_000;
        assertThat(granted(mA, ms) && granted(mC, ms)).isFalse();
    }
}
