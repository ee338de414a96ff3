package org.boragegap.entry.cell;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.ClockReading;
import org.boragegap.http.HttpClient;

/** The one thread that holds the control state; others hand it what they learn. */
final class ControlThread {
    private static final Logger sLog = LogManager.getLogger(ControlThread.class);

    /** Events that are handled before what they led to is sent: some ms of work. */
    private static final int MAX_EVENTS_PER_BATCH = 32;

    private final BlockingQueue<Runnable> mQueue = new LinkedBlockingQueue<>();
    private final Runnable mTick;
    private final LongSupplier mTickIntervalMs;
    private final Runnable mAfterBatch;
    private final Thread mThread = new Thread(this::run, "control");
    private volatile boolean mStopped;

    /**
     * Makes a thread that is not started.
     *
     * @param tick to be run as time passes
     * @param tickMs time between two ticks as things are now, in ms
     * @param turnEnded to be run after each tick, and after the events that were handed over
     */
    ControlThread(Runnable tick, LongSupplier tickMs, Runnable turnEnded) {
        mTick = tick;
        mTickIntervalMs = tickMs;
        mAfterBatch = turnEnded;
    }

    /**
     * Runs an event and those that wait already. What they have to say to one VM goes out as one
     * frame then; under load several wait at a time.
     */
    private void runBatch(Runnable first) {
        first.run();
        for (int i = 1; i < MAX_EVENTS_PER_BATCH; i++) {
            Runnable next = mQueue.poll();
            if (next == null) {
                return;
            }
            next.run();
        }
    }

    void start() {
        mThread.start();
    }

    void stop() {
        mStopped = true;
        mThread.interrupt();
    }

    void post(Runnable task) {
        mQueue.add(task);
    }

    static ClockReading clock() {
        return new ClockReading(HttpClient.nowMs(), System.currentTimeMillis());
    }

    /**
     * Guards against a VM that is so slow that one tick takes longer than the time to the next:
     * counted from when it began, ticks followed one another and nothing that had come in was
     * handled, so heartbeats and answers went unheard. Counted from its end, there is always time
     * for what waits.
     */
    private void run() {
        long tickedMs = HttpClient.nowMs();
        while (!mStopped) {
            try {
                long waitMs = tickedMs + mTickIntervalMs.getAsLong() - HttpClient.nowMs();
                Runnable task = waitMs > 0 ? mQueue.poll(waitMs, TimeUnit.MILLISECONDS) : null;
                if (task != null) {
                    runBatch(task);
                } else {
                    mTick.run();
                    tickedMs = HttpClient.nowMs();
                }
                mAfterBatch.run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                // One event that can't be handled must not take the others' jobs with it.
                sLog.error("event can't be handled", e);
            }
        }
    }
}
