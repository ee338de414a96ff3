package org.boragegap.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.ClockReading;
import org.boragegap.core.dispatch.Action;
import org.boragegap.core.dispatch.Dispatcher;
import org.boragegap.core.dispatch.Event;
import org.boragegap.http.HttpClient;

/**
 * Runs the dispatcher on a thread of its own, the only one that accesses its state: takes events
 * from a queue and executes the actions that result.
 */
final class ControlLoop {
    private static final Logger sLog = LogManager.getLogger(ControlLoop.class);
    private static final long TICK_INTERVAL_MS = 50;
    private static final long IDLE_TICK_INTERVAL_MS = 250;
    private static final int MAX_INLINE_ACTIONS = 2;

    private final Dispatcher mDispatcher;
    private final ActionRunner mRunner;
    private final BlockingQueue<Runnable> mQueue = new LinkedBlockingQueue<>();
    private final Thread mThread = new Thread(this::run, "control");
    private final ScheduledExecutorService mTicker =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "ticker");
                        thread.setDaemon(true);
                        return thread;
                    });
    private volatile boolean mStopped;
    private volatile boolean mBusy = true;
    private long mLastTickMs;

    ControlLoop(Dispatcher dispatcher, ActionRunner runner) {
        mDispatcher = dispatcher;
        mRunner = runner;
    }

    void start() {
        mThread.start();
        mTicker.scheduleAtFixedRate(
                this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Posts ticks, at a longer interval while the process is idle, so that idling uses little CPU.
     */
    private void tick() {
        long nowMs = HttpClient.nowMs();
        if (mBusy || nowMs - mLastTickMs >= IDLE_TICK_INTERVAL_MS) {
            mLastTickMs = nowMs;
            post(new Event.Ticked());
        }
    }

    void stop() {
        mStopped = true;
        mTicker.shutdownNow();
        mThread.interrupt();
    }

    void post(Event event) {
        mQueue.add(() -> handle(event));
    }

    /** Evaluates a function of the dispatcher's state on the control thread. */
    <T> CompletableFuture<T> query(Function<Dispatcher, T> function) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mQueue.add(() -> result.complete(function.apply(mDispatcher)));
        return result;
    }

    static ClockReading readClock() {
        return new ClockReading(HttpClient.nowMs(), System.currentTimeMillis());
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        mDispatcher.onEvent(event, readClock(), actions);
        mBusy = mDispatcher.busy();
        // When idle, handing one or two messages to another thread would cost more than sending
        // them.
        boolean idle = actions.size() <= MAX_INLINE_ACTIONS && mQueue.isEmpty();
        actions.forEach(action -> mRunner.execute(action, idle));
    }

    private void run() {
        while (!mStopped) {
            try {
                mQueue.take().run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                // An event that can't be handled must not end the thread, which serves all other
                // jobs.
                sLog.error("event can't be handled", e);
            }
        }
    }
}
