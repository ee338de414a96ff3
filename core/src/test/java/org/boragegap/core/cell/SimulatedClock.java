package org.boragegap.core.cell;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/** The single clock of a history, and the actions scheduled on it. */
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

    /**
     * Runs all actions that are due before {@code endMs}; {@code onTime} receives the time before
     * each action.
     */
    void runUntil(long endMs, LongConsumer onTime) {
        while (!mEvents.isEmpty() && mEvents.peek().atMs() < endMs) {
            Scheduled next = mEvents.poll();
            mNowMs = next.atMs();
            onTime.accept(mNowMs);
            next.action().run();
        }
    }
}
