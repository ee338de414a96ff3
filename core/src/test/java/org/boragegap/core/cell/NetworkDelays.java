package org.boragegap.core.cell;

import java.util.SplittableRandom;

/** Delays of the messages of a history, in ms. */
final class NetworkDelays {
    private static final long SLOW_FROM_MS = 1_500;
    private static final long SLOW_UNTIL_MS = 9_000;

    /** Longest delay to a slow store or back; the store is 85 times as slow as usual then. */
    private static final int MAX_SLOW_DELAY_MS = 170;

    private final SplittableRandom mRandom;
    private boolean mStoreSlow;

    NetworkDelays(SplittableRandom random) {
        mRandom = random;
    }

    /** Makes the store slow for most of the history. */
    void scheduleSlowStore(SimulatedClock clock) {
        clock.after(SLOW_FROM_MS, () -> mStoreSlow = true);
        clock.after(SLOW_UNTIL_MS, () -> mStoreSlow = false);
    }

    /** Delay from one process to another. */
    long peerMs() {
        return peerMs(mRandom);
    }

    private static long peerMs(SplittableRandom random) {
        return 1 + random.nextInt(random.nextInt(20) == 0 ? 60 : 4);
    }

    /** Delay to the store or back. */
    long storeMs() {
        return storeMs(mRandom);
    }

    /** Same, drawn from another sequence. */
    long storeMs(SplittableRandom random) {
        return mStoreSlow
                ? MAX_SLOW_DELAY_MS / 2 + random.nextInt(MAX_SLOW_DELAY_MS / 2)
                : peerMs(random);
    }
}
