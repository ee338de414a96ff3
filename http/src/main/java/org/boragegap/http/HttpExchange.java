package org.boragegap.http;

import java.util.concurrent.atomic.AtomicReference;

/** One request under way; its result is told once. */
final class HttpExchange {
    private enum State {
        WAITING,
        SENT,
        ENDED
    }

    private final HttpCall mCall;
    private final long mMadeMs;
    private final AtomicReference<State> mState = new AtomicReference<>(State.WAITING);
    private volatile long mSentMs;

    HttpExchange(HttpCall call, long nowMs) {
        mCall = call;
        mMadeMs = nowMs;
    }

    HttpCall call() {
        return mCall;
    }

    /** Marks it as being sent; false when it was given up before. */
    boolean begin(long nowMs) {
        mSentMs = nowMs;
        return mState.compareAndSet(State.WAITING, State.SENT);
    }

    /** True when its connection takes too long to open. */
    boolean waitsTooLong(long nowMs, long mostMs) {
        return mState.get() == State.WAITING && nowMs - mMadeMs > mostMs;
    }

    boolean overdue(long nowMs) {
        return nowMs - mSentMs > mCall.timeoutMs();
    }

    /** Gives it up unsent; does nothing if it is being sent, since then it may arrive. */
    void endUnsent(String reason) {
        if (mState.compareAndSet(State.WAITING, State.ENDED)) {
            mCall.done().accept(new HttpResult.NotSent(reason));
        }
    }

    /** Ends it after it was sent. */
    void end(HttpResult result) {
        if (mState.compareAndSet(State.SENT, State.ENDED)) {
            mCall.done().accept(result);
        }
    }
}
