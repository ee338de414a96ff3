package org.boragegap.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.bundle.Bundle;
import org.boragegap.core.bundle.BundleChain;
import org.boragegap.core.bundle.BundleRecord;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.LogBatch;

/** Brings the bundle in force to other VMs and keeps it on the log. */
final class BundleCourier {
    private static final long PASS_EVERY_MS = 1_000;

    private final BundleChain mChain;
    private final List<String> mDomains;
    private final Set<String> mSelf;
    private final ClaimLimits mLimits;
    private final Counters mCounters;
    private long mReadUpTo = -1;
    private long mPassedMs = Long.MIN_VALUE / 2;
    private long mStatedMs = Long.MIN_VALUE / 2;

    BundleCourier(List<String> domains, String self, ClaimLimits limits, Counters counters) {
        mChain = BundleChain.create(limits.retentionMs());
        mDomains = domains;
        mSelf = Set.of(self);
        mLimits = limits;
        mCounters = counters;
    }

    BundleChain chain() {
        return mChain;
    }

    void onLogRead(LogBatch batch, List<BundleRecord> records, ClockReading clock) {
        mChain.readFrom(batch.firstOffset(), batch.nowMs());
        for (BundleRecord record : records) {
            mChain.apply(record, clock.wallMs());
            if (record.bundle().bundle().version() == mChain.version()) {
                mStatedMs = clock.monotonicMs();
            }
        }
        mReadUpTo = batch.nextOffset() - 1;
    }

    void onTick(EntryVms peers, ClockReading clock, List<Action> out) {
        if (mChain.inForce().isEmpty()) {
            return;
        }
        Bundle bundle = mChain.inForce().get().bundle();
        pass(bundle, peers, clock, out);
        restate(bundle, clock, out);
    }

    /**
     * Any peer that can be reached gets the bundle, so a domain cut off from the log has it too.
     */
    private void pass(Bundle bundle, EntryVms peers, ClockReading clock, List<Action> out) {
        if (clock.monotonicMs() - mPassedMs < PASS_EVERY_MS) {
            return;
        }
        mPassedMs = clock.monotonicMs();
        for (String domain : mDomains) {
            Optional<String> peer = peers.pick(domain, mSelf, clock.monotonicMs());
            if (peer.isPresent()) {
                mCounters.add(Counters.Name.BUNDLES_PASSED);
                out.add(new Action.PassBundle(peer.get(), bundle));
            }
        }
    }

    /** The log keeps records for a limited time, so the bundle in force is stated again. */
    private void restate(Bundle bundle, ClockReading clock, List<Action> out) {
        boolean due = clock.monotonicMs() - mStatedMs >= mLimits.restateMs();
        if (!due || !mChain.inForceFromLog()) {
            return;
        }
        mStatedMs = clock.monotonicMs();
        mCounters.add(Counters.Name.APPENDS);
        out.add(new Action.RestateBundle(bundle, mReadUpTo));
    }
}
