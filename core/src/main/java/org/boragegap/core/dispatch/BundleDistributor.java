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

/** Distributes the active bundle to other VMs and keeps it on the log. */
final class BundleDistributor {
    private static final long VERSION_INTERVAL_MS = 1_000;

    private final BundleChain mChain;
    private final List<String> mDomains;
    private final Set<String> mSelf;
    private final ClaimLimits mLimits;
    private final Counters mCounters;
    private long mLastReadOffset = -1;
    private long mLastVersionSentMs = Long.MIN_VALUE / 2;
    private long mLastStatedMs = Long.MIN_VALUE / 2;

    BundleDistributor(List<String> domains, String self, ClaimLimits limits, Counters counters) {
        mChain = BundleChain.create(limits.logRetentionMs());
        mDomains = domains;
        mSelf = Set.of(self);
        mLimits = limits;
        mCounters = counters;
    }

    BundleChain chain() {
        return mChain;
    }

    void onLogRead(LogBatch batch, List<BundleRecord> records, ClockReading clock) {
        mChain.advanceFirstOffset(batch.firstOffset(), batch.nowMs());
        for (BundleRecord record : records) {
            mChain.apply(record, clock.wallMs());
            if (record.bundle().bundle().version() == mChain.version()) {
                mLastStatedMs = clock.monotonicMs();
            }
        }
        mLastReadOffset = batch.nextOffset() - 1;
    }

    void onTick(EntryVms peers, ClockReading clock, List<Action> out) {
        sendVersion(peers, clock, out);
        restateBundle(clock, out);
    }

    /**
     * Sends the version of the active bundle to one peer in each failure domain at intervals. A
     * peer with a newer bundle answers with it, so a failure domain that can't reach the log gets
     * the bundle from any peer that it can reach.
     */
    private void sendVersion(EntryVms peers, ClockReading clock, List<Action> out) {
        if (clock.monotonicMs() - mLastVersionSentMs < VERSION_INTERVAL_MS) {
            return;
        }
        mLastVersionSentMs = clock.monotonicMs();
        for (String domain : mDomains) {
            Optional<String> peer = peers.pick(domain, mSelf, clock.monotonicMs());
            peer.ifPresent(
                    address -> out.add(new Action.SendBundleVersion(address, mChain.version())));
        }
    }

    void onVersionReceived(long link, long version, List<Action> out) {
        if (version < mChain.version()) {
            mCounters.increment(Counters.Name.BUNDLES_PASSED);
            out.add(new Action.SendBundle(link, mChain.active().orElseThrow().bundle()));
        }
    }

    /**
     * States the active bundle again when due, because the log keeps records for a limited time.
     */
    private void restateBundle(ClockReading clock, List<Action> out) {
        boolean due = clock.monotonicMs() - mLastStatedMs >= mLimits.restateAfterMs();
        if (!due || !mChain.activeFromLog()) {
            return;
        }
        mLastStatedMs = clock.monotonicMs();
        mCounters.increment(Counters.Name.APPENDS);
        Bundle bundle = mChain.active().orElseThrow().bundle();
        out.add(new Action.RestateBundle(bundle, mLastReadOffset));
    }
}
