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

/** The one thread that holds the control state: events in, actions out. */
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

    /** An idle process ticks slowly, so that waiting costs next to nothing. */
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

    /** Reads the control state on its own thread. */
    <T> CompletableFuture<T> query(Function<Dispatcher, T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        mQueue.add(() -> answer.complete(question.apply(mDispatcher)));
        return answer;
    }

    static ClockReading readClock() {
        return new ClockReading(HttpClient.nowMs(), System.currentTimeMillis());
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        mDispatcher.onEvent(event, readClock(), actions);
        mBusy = mDispatcher.busy();
        // With nothing else to do, handing a single message over would cost more than sending it.
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
                // One event that can't be handled must not take the others' jobs with it.
                sLog.error("event can't be handled", e);
            }
        }
    }
}
