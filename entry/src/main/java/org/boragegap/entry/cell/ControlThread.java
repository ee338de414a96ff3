package org.boragegap.entry.cell;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
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

    /**
     * The same while no cell has anything to watch, in ms: a third of a heartbeat. An idle VM of a
     * deployment with many cells spent a hundredth of a core on ticks alone.
     */
    static final long IDLE_TICK_MS = 50;

    /** Events that are handled before what they led to is sent: some ms of work. */
    private static final int MOST_EVENTS_A_TURN = 32;

    private final BlockingQueue<Runnable> mQueue = new LinkedBlockingQueue<>();
    private final Runnable mTick;
    private final BooleanSupplier mBusy;
    private final Runnable mTurnEnded;
    private final Thread mThread = new Thread(this::run, "control");
    private volatile boolean mStopped;

    /**
     * Makes a thread that is not started.
     *
     * @param tick to be run as time passes
     * @param busy whether there is something that needs frequent ticks
     * @param turnEnded to be run after each tick, and after the events that were handed over
     */
    ControlThread(Runnable tick, BooleanSupplier busy, Runnable turnEnded) {
        mTick = tick;
        mBusy = busy;
        mTurnEnded = turnEnded;
    }

    /**
     * Runs an event and those that wait already. What they have to say to one VM goes out as one
     * frame then; under load several wait at a time.
     */
    private void runWithWhatWaits(Runnable first) {
        first.run();
        for (int i = 1; i < MOST_EVENTS_A_TURN; i++) {
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
        return new ClockReading(HttpCaller.nowMs(), System.currentTimeMillis());
    }

    /**
     * Guards against a VM that is so slow that one tick takes longer than the time to the next:
     * counted from when it began, ticks followed one another and nothing that had come in was
     * handled, so heartbeats and answers went unheard. Counted from its end, there is always time
     * for what waits.
     */
    private void run() {
        long tickedMs = HttpCaller.nowMs();
        while (!mStopped) {
            try {
                long everyMs = mBusy.getAsBoolean() ? TICK_MS : IDLE_TICK_MS;
                long waitMs = tickedMs + everyMs - HttpCaller.nowMs();
                Runnable task = waitMs > 0 ? mQueue.poll(waitMs, TimeUnit.MILLISECONDS) : null;
                if (task != null) {
                    runWithWhatWaits(task);
                } else {
                    mTick.run();
                    tickedMs = HttpCaller.nowMs();
                }
                mTurnEnded.run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                // One event that can't be handled must not take the others' jobs with it.
                sLog.error("event can't be handled", e);
            }
        }
    }
}
