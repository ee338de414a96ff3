package org.boragegap.http;

import java.util.concurrent.atomic.AtomicReference;

/** A request in progress; its result is reported once. */
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

    /** Marks the request as being sent; returns false if it has failed before. */
    boolean markSent(long nowMs) {
        mSentMs = nowMs;
        return mState.compareAndSet(State.WAITING, State.SENT);
    }

    /** Returns true if the connection for this request takes too long to open. */
    boolean isConnectTimedOut(long nowMs, long limitMs) {
        return mState.get() == State.WAITING && nowMs - mCreatedMs > limitMs;
    }

    boolean isResponseOverdue(long nowMs) {
        return nowMs - mSentMs > mCall.timeoutMs();
    }

    /**
     * Ends the exchange as not sent. Does nothing if the request is being sent, since it may then
     * arrive.
     */
    void failUnsent(String reason) {
        if (mState.compareAndSet(State.WAITING, State.ENDED)) {
            mCall.onResult().accept(new HttpResult.NotSent(reason));
        }
    }

    /** Ends the exchange after the request was sent. */
    void complete(HttpResult result) {
        if (mState.compareAndSet(State.SENT, State.ENDED)) {
            mCall.onResult().accept(result);
        }
    }
}
