package org.boragegap.http;

import java.util.Optional;
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
    private final Optional<HttpExchange> mIdentifiesFor;
    private volatile long mSentMs;

    HttpExchange(HttpCall call, long nowMs) {
        this(call, nowMs, Optional.empty());
    }

    private HttpExchange(HttpCall call, long nowMs, Optional<HttpExchange> identifiesFor) {
        mCall = call;
        mCreatedMs = nowMs;
        mIdentifiesFor = identifiesFor;
    }

    /** Creates the exchange that asks a process for its number, for this one to follow it. */
    HttpExchange identification(PeerCheck check, long nowMs) {
        HttpCall question = mCall.identification(check, this::identificationEnded);
        return new HttpExchange(question, nowMs, Optional.of(this));
    }

    /** Called with the result of the question; an exchange that has followed is not changed. */
    private void identificationEnded(HttpResult result) {
        Optional<HttpResult.Response> answer =
                result instanceof HttpResult.Response response
                        ? Optional.of(response)
                        : Optional.empty();
        end(new HttpResult.OtherPeer(answer));
    }

    /** The exchange that is to follow on the connection if the process is the expected one. */
    Optional<HttpExchange> identifiesFor() {
        return mIdentifiesFor;
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
        end(new HttpResult.NotSent(reason));
    }

    private void end(HttpResult unsent) {
        if (mState.compareAndSet(State.WAITING, State.ENDED)) {
            mCall.onResult().accept(unsent);
        }
    }

    /** Ends the exchange after the request was sent. */
    void complete(HttpResult result) {
        if (mState.compareAndSet(State.SENT, State.ENDED)) {
            mCall.onResult().accept(result);
        }
    }
}
