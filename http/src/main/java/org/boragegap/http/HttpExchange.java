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
    private final long mCreatedMs;
    private final AtomicReference<State> mState = new AtomicReference<>(State.WAITING);
    private volatile long mSentMs;

    HttpExchange(HttpCall call, long nowMs) {
        mCall = call;
        mCreatedMs = nowMs;
    }

    HttpCall call() {
        return mCall;
    }

    /** Marks it as being sent; false when it was given up before. */
    boolean markSent(long nowMs) {
        mSentMs = nowMs;
        return mState.compareAndSet(State.WAITING, State.SENT);
    }

    /** True when its connection takes too long to open. */
    boolean isConnectTimedOut(long nowMs, long mostMs) {
        return mState.get() == State.WAITING && nowMs - mCreatedMs > mostMs;
    }

    boolean isResponseOverdue(long nowMs) {
        return nowMs - mSentMs > mCall.timeoutMs();
    }

    /** Gives it up unsent; does nothing if it is being sent, since then it may arrive. */
    void failUnsent(String reason) {
        if (mState.compareAndSet(State.WAITING, State.ENDED)) {
            mCall.onResult().accept(new HttpResult.NotSent(reason));
        }
    }

    /** Ends it after it was sent. */
    void complete(HttpResult result) {
        if (mState.compareAndSet(State.SENT, State.ENDED)) {
            mCall.onResult().accept(result);
        }
    }
}
