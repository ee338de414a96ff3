package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Log lines on why a VM controls the cell, and why it no longer does. */
final class AuthorityLogTest {
    private static final long LEASE_MS = 1_000;
    private static final long PERIOD_MS = 150;

    private final CellMember mMember =
            CellMember.create("vm1", 0, new CellSettings(LEASE_MS, 2), LEASE_MS, at(0));
    private final List<MemberAction> mActions = new ArrayList<>();

    private static ClockReading at(long ms) {
        return new ClockReading(ms, ms);
    }

    private void feed(long ms, MemberEvent event) {
        mMember.on(event, at(ms), mActions);
    }

    private void receive(long ms, String from, CellMessage message) {
        feed(ms, new MemberEvent.Received(from, message));
    }

    private long control(String... peers) {
        feed(0, new MemberEvent.PeersListed(Set.of(peers), 0));
        feed(0, new MemberEvent.Joined(3, true, at(0)));
        return mMember.fence().orElseThrow();
    }

    private List<Decision> logged(String what) {
        return mActions.stream()
                .filter(MemberAction.Log.class::isInstance)
                .map(action -> ((MemberAction.Log) action).decision())
                .filter(decision -> decision.what().equals(what))
                .toList();
    }

    /** Guards against an analysis that can't tell who let a controller act without the store. */
    @Nested
    final class Authority {
        @Test
        void theFollowersTakeOverFromTheStore() {
            long fence = control("vm2", "vm3");
            CellMessage endorsement =
                    new CellMessage.HeartbeatReply(fence, at(900), true, false, 0, 0, 0);
            receive(910, "vm2", endorsement);
            receive(910, "vm3", endorsement);
            feed(LEASE_MS + 25, new MemberEvent.Ticked());
            Decision line = logged("authority").get(0);
            assertThat(line.outcome()).isEqualTo("FOLLOWERS");
            assertThat(line.input("held_ago_ms")).hasValue("1025");
            assertThat(line.input("not_endorsed")).hasValue("0");
        }

        @Test
        void theSilentVmsAreNamedAtTheEnd() {
            control("vm2", "vm3");
            feed(LEASE_MS + 25, new MemberEvent.Ticked());
            Decision line = logged("authority").get(0);
            assertThat(line.outcome()).isEqualTo("NONE");
            assertThat(line.inputs()).endsWith("not_endorsed=2 silent=2 among_them=[vm2, vm3]");
        }
    }

    /** Guards against a line that gives a term's own token as that of the later term. */
    @Nested
    final class Deposed {
        @Test
        void theTokenAndItsSenderAreThoseOfTheLaterTerm() {
            long fence = control("vm2");
            receive(10, "vm2", new CellMessage.Heartbeat(fence + 5_000, at(5), PERIOD_MS));
            assertThat(logged("deposed").get(0).inputs())
                    .isEqualTo("fence=" + fence + " later_fence=" + (fence + 5_000) + " from=vm2");
        }

        @Test
        void aTargetTellsNoToken() {
            long fence = control("vm2");
            TargetInfo target =
                    new TargetInfo(
                            "t1", "t1", "service", "domain", 8_000, 100, 0, Set.of(), false, false);
            feed(10, new MemberEvent.ForController(new CellEvent.TargetsListed(List.of(target))));
            CellAction.ExtendLease call =
                    mActions.stream()
                            .filter(MemberAction.Order.class::isInstance)
                            .map(action -> ((MemberAction.Order) action).order())
                            .filter(CellAction.ExtendLease.class::isInstance)
                            .map(CellAction.ExtendLease.class::cast)
                            .findFirst()
                            .orElseThrow();
            feed(20, new MemberEvent.ForController(Orders.failed(call, OrderResult.FENCED)));
            assertThat(logged("deposed").get(0).inputs())
                    .isEqualTo("fence=" + fence + " later_fence=unknown from=t1");
        }
    }
}
