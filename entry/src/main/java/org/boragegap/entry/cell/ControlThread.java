package org.boragegap.entry.cell;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.ClockReading;
import org.boragegap.http.HttpCaller;

/** The one thread that holds the control state; others hand it what they learn. */
final class ControlThread {
    private static final Logger sLog = LogManager.getLogger(ControlThread.class);

    /**
     * Time between two ticks, in ms: less than half of the shortest timeout that they watch over.
     */
    private static final long TICK_MS = 10;

    private final BlockingQueue<Runnable> mQueue = new LinkedBlockingQueue<>();
    private final Runnable mTick;
    private final Thread mThread = new Thread(this::run, "control");
    private volatile boolean mStopped;

    ControlThread(Runnable tick) {
        mTick = tick;
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
        return new ClockReading(HttpCaller.nowMs(), System.currentTimeMillis());
    }

    private void run() {
        long nextTickMs = HttpCaller.nowMs();
        while (!mStopped) {
            try {
                long waitMs = nextTickMs - HttpCaller.nowMs();
                Runnable task = waitMs > 0 ? mQueue.poll(waitMs, TimeUnit.MILLISECONDS) : null;
                if (task != null) {
                    task.run();
                }
                if (HttpCaller.nowMs() >= nextTickMs) {
                    nextTickMs = HttpCaller.nowMs() + TICK_MS;
                    mTick.run();
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                // One event that can't be handled must not take the others' jobs with it.
                sLog.error("event can't be handled", e);
            }
        }
    }
}
