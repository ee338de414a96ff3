package org.boragegap.core.cell;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** The one clock of a history, and what is to happen at which time. */
final class SimulatedClock {
    private record Scheduled(long atMs, long sequence, Runnable action) {}

    private final PriorityQueue<Scheduled> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Scheduled::atMs)
                            .thenComparingLong(Scheduled::sequence));
    private long mNowMs;
    private long mSequence;

    long nowMs() {
        return mNowMs;
    }

    void after(long delayMs, Runnable action) {
        mEvents.add(new Scheduled(mNowMs + delayMs, mSequence++, action));
    }

    /** Lets everything happen up to a time; {@code onTime} is told the time before each event. */
    void runUntil(long endMs, LongConsumer onTime) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() < endMs) {
            Scheduled next = mEvents.poll();
            mNowMs = next.atMs();
            onTime.accept(mNowMs);
            next.action().run();
        }
    }
}
