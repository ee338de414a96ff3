package org.boragegap.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.LogBatch;
import org.boragegap.core.claim.LoggedView;
import org.boragegap.core.claim.Member;
import org.boragegap.core.claim.ViewRecord;
import org.boragegap.core.job.Resources;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** When a VM that the platform's list lacks is presumed dead, and its view replaced. */
final class UnlistedVmsTest {
    private static final ClaimLimits LIMITS = ClaimLimits.defaults();
    private static final long WALL_MS = 1_000_000;
    private static final Member A = new Member("a:1", 1);
    private static final Member C = new Member("c:1", 1);

    private final Dispatcher mDispatcher =
            Dispatcher.create(
                    C,
                    DispatchSettings.defaults("fd0", List.of("fd0")),
                    LIMITS,
                    new SplittableRandom(1));
    private final List<Action> mActions = new ArrayList<>();

    private void handle(Event event, long ms) {
        mDispatcher.onEvent(event, new ClockReading(ms, WALL_MS + ms), mActions);
    }

    private void list(long ms, ListedVm... vms) {
        handle(new Event.VmsListed(List.of(vms)), ms);
    }

    private static ListedVm entry(Member member, boolean leaving) {
        return new ListedVm(member.address(), "fd0", VmKind.ENTRY, "", leaving, Resources.NONE, 1);
    }

    private void tickUntil(long fromMs, long untilMs) {
        for (long ms = fromMs; ms <= untilMs; ms += 250) {
            handle(new Event.Ticked(), ms);
        }
    }

    private boolean viewProposed() {
        return mActions.stream()
                .filter(Action.AppendView.class::isInstance)
                .map(action -> ((Action.AppendView) action).record())
                .anyMatch(record -> record.kind() == ViewRecord.Kind.PROPOSED);
    }

    @BeforeEach
    void readViewOfA() {
        DomainView view = DomainView.first(WALL_MS, 5, A, 0);
        LoggedView logged = new LoggedView(0, ViewRecord.proposal("fd0", view), WALL_MS, 0);
        LogBatch batch = new LogBatch(List.of(logged), 0, 1, WALL_MS, true, 0);
        handle(new Event.LogRead(batch, List.of()), 0);
    }

    @Nested
    final class Absence {
        /** Guards against a VM being presumed dead by one list when no other could be read. */
        @Test
        void oneListFollowedByNoneIsNoAbsence() {
            list(0, entry(A, false), entry(C, false));
            list(1_000, entry(C, false));
            tickUntil(1_000, 2 * LIMITS.unlistedMs());
            assertThat(viewProposed()).isFalse();
        }

        @Test
        void absenceFromAllListsOfAMinuteCounts() {
            list(0, entry(A, false), entry(C, false));
            for (long ms = 1_000; ms <= 1_000 + LIMITS.unlistedMs(); ms += 1_000) {
                list(ms, entry(C, false));
            }
            tickUntil(LIMITS.unlistedMs(), 2_000 + LIMITS.unlistedMs());
            assertThat(viewProposed()).isTrue();
        }
    }

    @Nested
    final class UnknownVms {
        private void listOnlySelf() {
            for (long ms = 1_000; ms <= 1_000 + LIMITS.unlistedMs(); ms += 1_000) {
                list(ms, entry(C, false));
            }
            tickUntil(LIMITS.unlistedMs(), 2_000 + LIMITS.unlistedMs());
        }

        /** Guards against a view never being replaced whose last member was listed as leaving. */
        @Test
        void aVmThatWasListedAsLeavingIsUnlistedWhenItIsGone() {
            list(0, entry(A, true), entry(C, false));
            listOnlySelf();
            assertThat(viewProposed()).isTrue();
        }

        /** Guards against a view never being replaced by a VM that starts after its members. */
        @Test
        void aVmThatWasGoneBeforeTheFirstListIsUnlisted() {
            list(0, entry(C, false));
            listOnlySelf();
            assertThat(viewProposed()).isTrue();
        }
    }
}
