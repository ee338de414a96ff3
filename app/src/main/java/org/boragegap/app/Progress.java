package org.boragegap.app;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/**
 * Shows how far a run is: on a terminal one line that is written over, elsewhere a line each, at
 * most every second, so that a log stays readable.
 */
final class Progress {
    private static final long MIN_INTERVAL_MS = 1_000;

    private final int mTotal;
    private final boolean mTerminal;
    private final PrintStream mOut;
    private final LongSupplier mNowMs;
    private long mLastPrintedMs;

    private Progress(int all, boolean terminal, PrintStream out, LongSupplier nowMs) {
        mTotal = all;
        mTerminal = terminal;
        mOut = out;
        mNowMs = nowMs;
        mLastPrintedMs = nowMs.getAsLong();
    }

    /**
     * Makes a display.
     *
     * @param all how many answers are awaited
     * @param terminal true when a person watches
     * @param out where to
     * @param nowMs monotonic clock, in ms
     */
    static Progress create(int all, boolean terminal, PrintStream out, LongSupplier nowMs) {
        return new Progress(all, terminal, out, nowMs);
    }

    /** Tells that so many answers have come; each number is told once, in any order. */
    synchronized void update(int done) {
        if (mTerminal) {
            mOut.printf("\r%d of %d answered", done, mTotal);
            mOut.print(done == mTotal ? System.lineSeparator() : "");
            mOut.flush();
            return;
        }
        long nowMs = mNowMs.getAsLong();
        if (done == mTotal || nowMs - mLastPrintedMs >= MIN_INTERVAL_MS) {
            mLastPrintedMs = nowMs;
            mOut.printf("%d of %d answered%n", done, mTotal);
        }
    }
}
