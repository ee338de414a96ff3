package org.boragegap.entry.cell;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.ClockReading;
import org.boragegap.http.HttpClient;

/** The thread that owns the control state; other threads post events to it. */
final class ControlThread {
    private static final Logger sLog = LogManager.getLogger(ControlThread.class);

    /** Most events handled before the messages that they cause are sent: some ms of work. */
    private static final int MAX_EVENTS_PER_BATCH = 32;

    private final BlockingQueue<Runnable> mQueue = new LinkedBlockingQueue<>();
    private final Runnable mTick;
    private final LongSupplier mTickIntervalMs;
    private final Runnable mAfterBatch;
    private final Thread mThread = new Thread(this::run, "control");
    private volatile boolean mStopped;

    /**
     * Creates a thread that is not started.
     *
     * @param tick run periodically
     * @param tickIntervalMs current interval between ticks, in ms
     * @param afterBatch run after each tick, and after each batch of events
     */
    ControlThread(Runnable tick, LongSupplier tickIntervalMs, Runnable afterBatch) {
        mTick = tick;
        mTickIntervalMs = tickIntervalMs;
        mAfterBatch = afterBatch;
    }

    /**
     * Runs an event and those that are queued already, up to the limit of a batch, so that their
     * messages to one VM are sent as one frame. Under load, several events are queued at a time.
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

    void post(Runnable event) {
        mQueue.add(event);
    }

    static ClockReading clock() {
        return new ClockReading(HttpClient.nowMs(), System.currentTimeMillis());
    }

    /**
     * Runs events, and a tick when the interval since the end of the last tick has passed. On a VM
     * so slow that a tick takes longer than the interval, an interval counted from the beginning of
     * a tick made ticks follow one another without a break: no queued event was handled, and
     * heartbeats and answers were missed. Counted from the end, there is always time for events.
     */
    private void run() {
        long tickedMs = HttpClient.nowMs();
        while (!mStopped) {
            try {
                long waitMs = tickedMs + mTickIntervalMs.getAsLong() - HttpClient.nowMs();
                Runnable event = waitMs > 0 ? mQueue.poll(waitMs, TimeUnit.MILLISECONDS) : null;
                if (event != null) {
                    runBatch(event);
                } else {
                    mTick.run();
                    tickedMs = HttpClient.nowMs();
                }
                mAfterBatch.run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                // A failure to handle one event must not end the thread and with it all other jobs.
                sLog.error("event can't be handled", e);
            }
        }
    }
}
