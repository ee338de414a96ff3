package org.boragegap.app;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/**
 * Prints the progress of a run. On a terminal it overwrites one line; elsewhere it prints separate
 * lines, at most one per second, so that a log stays readable.
 */
final class Progress {
    private static final long MIN_INTERVAL_MS = 1_000;

    private final int mTotal;
    private final boolean mTerminal;
    private final PrintStream mOut;
    private final LongSupplier mNowMs;
    private long mLastPrintedMs;

    private Progress(int total, boolean terminal, PrintStream out, LongSupplier nowMs) {
        mTotal = total;
        mTerminal = terminal;
        mOut = out;
        mNowMs = nowMs;
        mLastPrintedMs = nowMs.getAsLong();
    }

    /**
     * Creates a progress display.
     *
     * @param total number of expected answers
     * @param terminal true if {@code out} is a terminal
     * @param out where to print
     * @param nowMs monotonic clock, in ms
     */
    static Progress create(int total, boolean terminal, PrintStream out, LongSupplier nowMs) {
        return new Progress(total, terminal, out, nowMs);
    }

    /** Reports how many answers have arrived; each count is reported once, in any order. */
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
