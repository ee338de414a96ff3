package org.boragegap.app;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/**
 * Shows how far a run is: on a terminal one line that is written over, elsewhere a line each, at
 * most every second, so that a log stays readable.
 */
final class Progress {
    private static final long EVERY_MS = 1_000;

    private final int mAll;
    private final boolean mTerminal;
    private final PrintStream mOut;
    private final LongSupplier mNowMs;
    private long mToldMs;

    private Progress(int all, boolean terminal, PrintStream out, LongSupplier nowMs) {
        mAll = all;
        mTerminal = terminal;
        mOut = out;
        mNowMs = nowMs;
        mToldMs = nowMs.getAsLong();
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
    synchronized void done(int done) {
        if (mTerminal) {
            mOut.printf("\r%d of %d answered", done, mAll);
            mOut.print(done == mAll ? System.lineSeparator() : "");
            mOut.flush();
            return;
        }
        long nowMs = mNowMs.getAsLong();
        if (done == mAll || nowMs - mToldMs >= EVERY_MS) {
            mToldMs = nowMs;
            mOut.printf("%d of %d answered%n", done, mAll);
        }
    }
}
