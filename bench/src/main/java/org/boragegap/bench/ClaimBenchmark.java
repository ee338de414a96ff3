package org.boragegap.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.boragegap.core.ClockReading;
import org.boragegap.core.claim.ClaimAction;
import org.boragegap.core.claim.ClaimKey;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.ClaimProtocol;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.LogBatch;
import org.boragegap.core.claim.LoggedView;
import org.boragegap.core.claim.Member;
import org.boragegap.core.claim.ViewRecord;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures one claim from its request until it is granted, including the work of all members of the
 * view.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class ClaimBenchmark {
    private static final ClaimLimits LIMITS = ClaimLimits.defaults();

    /** Number of members of the view. */
    @Param({"1", "2", "3"})
    public int mMembers;

    /** Number of claims that the claiming member keeps; later ones are released there. */
    @Param({"1000", "100000"})
    public int mKept;

    private final Map<String, ClaimProtocol> mProtocols = new HashMap<>();
    private final List<Member> mMemberList = new ArrayList<>();
    private long mNextId;

    /** Installs one view at all members and makes as many claims as are to be kept. */
    @Setup
    public void setUp() {
        for (int i = 0; i < mMembers; i++) {
            mMemberList.add(new Member("vm" + i + ":1", 1));
        }
        for (Member member : mMemberList) {
            ClaimProtocol protocol = ClaimProtocol.create(member, "fd", LIMITS, () -> 1);
            mProtocols.put(member.address(), protocol);
            install(protocol, view(1, 6, 0, List.of(member)), 0);
            if (mMembers > 1) {
                install(protocol, view(2, 7, 6, mMemberList), 1);
            }
        }
        for (int i = 0; i < mKept; i++) {
            claim();
        }
    }

    private static DomainView view(long number, long uid, long parent, List<Member> members) {
        return new DomainView(number, uid, parent, List.copyOf(members), List.of(), 0);
    }

    private static void install(ClaimProtocol protocol, DomainView view, long offset) {
        LoggedView logged = new LoggedView(offset, ViewRecord.proposal("fd", view), 1, 0);
        LogBatch batch = new LogBatch(List.of(logged), 0, offset + 1, 1, true);
        protocol.onLog(batch, new ClockReading(1, 1), new ArrayList<>());
    }

    /**
     * Makes a claim, and releases it again if {@link #mKept} claims are kept already. The other
     * members get neither the release nor a tick that expires claims, so they keep every claim.
     */
    @Benchmark
    public void claim() {
        long number = ++mNextId;
        long nowMs = number * LIMITS.claimRetentionMs() / mKept;
        ClockReading clock = new ClockReading(1, nowMs);
        List<ClaimAction> out = new ArrayList<>();
        Member self = mMemberList.get(0);
        ClaimKey key = ClaimKey.of("id" + number, nowMs);
        mProtocols.get(self.address()).requestClaim(key, nowMs, 1, clock, out);
        for (ClaimAction action : out) {
            if (action instanceof ClaimAction.Send send) {
                acknowledge(self, send, clock);
            }
        }
        if (number > mKept) {
            mProtocols.get(self.address()).release(key, new ArrayList<>());
        }
    }

    private void acknowledge(Member self, ClaimAction.Send send, ClockReading clock) {
        ClaimProtocol sibling = mProtocols.get(send.address());
        List<ClaimAction> replies = new ArrayList<>();
        sibling.onMessage(self, send.message(), clock, replies);
        Member from = new Member(send.address(), 1);
        for (ClaimAction reply : replies) {
            if (reply instanceof ClaimAction.Send answer) {
                mProtocols
                        .get(self.address())
                        .onMessage(from, answer.message(), clock, new ArrayList<>());
            }
        }
    }
}
