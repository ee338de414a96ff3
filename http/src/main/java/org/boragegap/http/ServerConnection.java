package org.boragegap.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;

/**
 * The requests of one connection. They are handled one at a time, in the order in which they
 * arrived, and the connection is read meanwhile: a client may send requests before the earlier ones
 * are answered, and may close the connection before.
 */
final class ServerConnection {
    private static final Logger sLog = LogManager.getLogger(ServerConnection.class);

    /** Size of the queued requests above which the connection is not read, in bytes. */
    private static final long MAX_QUEUED_BYTES = 64 * 1024;

    /** Number of requests after which a connection is closed, so that clients spread anew. */
    private static final int MAX_REQUESTS = 256;

    private static final int INTERNAL_ERROR = 500;

    private record Queued(IncomingRequest request, Consumer<IncomingRequest> handler) {}

    private final Connection<Object> mConnection;
    private final Deque<Queued> mQueue = new ArrayDeque<>();
    private Optional<IncomingRequest> mWaiting = Optional.empty();
    private int mRequests;
    private boolean mHandling;
    private long mQueuedBytes;
    private long mIdleSinceMs;

    /** Set when the connection is to be closed as soon as no request waits. */
    private boolean mClosing;

    @SuppressWarnings("unchecked")
    ServerConnection(Connection<?> connection, long nowMs) {
        mConnection = (Connection<Object>) connection;
        mIdleSinceMs = nowMs;
    }

    /** A request was read, and is to be handled after those before it. */
    void read(IncomingRequest request, Consumer<IncomingRequest> handler) {
        synchronized (this) {
            mQueue.add(new Queued(request, handler));
            mRequests++;
            mQueuedBytes += request.sizeBytes();
            if (mQueuedBytes > MAX_QUEUED_BYTES) {
                setReading(false);
            }
        }
        handleNext();
    }

    /** Handles the queued requests until one waits for its reply. */
    private void handleNext() {
        for (Optional<Queued> next = takeNext(); next.isPresent(); next = takeNext()) {
            handle(next.get());
        }
    }

    private void handle(Queued next) {
        try {
            next.handler().accept(next.request());
        } catch (RuntimeException e) {
            sLog.error("request {} was not handled", next.request().path(), e);
            next.request().closeAfterReply();
            next.request().reply(INTERNAL_ERROR, "{}");
        } finally {
            handled();
        }
    }

    private synchronized Optional<Queued> takeNext() {
        if (mHandling || mWaiting.isPresent() || mQueue.isEmpty()) {
            return Optional.empty();
        }
        Queued next = mQueue.remove();
        mHandling = true;
        mWaiting = Optional.of(next.request());
        boolean wasFull = mQueuedBytes > MAX_QUEUED_BYTES;
        mQueuedBytes -= next.request().sizeBytes();
        if (wasFull && mQueuedBytes <= MAX_QUEUED_BYTES) {
            setReading(true);
        }
        return Optional.of(next);
    }

    private synchronized void handled() {
        mHandling = false;
    }

    /**
     * Whether to close the connection after the reply to the request that waits. It stays open
     * while further requests that were read on it wait.
     *
     * @param requested whether the client or the handler asks for that
     */
    synchronized boolean closesAfterReply(boolean requested) {
        return mQueue.isEmpty() && (requested || mClosing || mRequests >= MAX_REQUESTS);
    }

    /**
     * Writes the reply to the request that waits.
     *
     * @param close whether the connection is closed once the reply is written
     */
    void write(HttpContent reply, boolean close, long nowMs) {
        mConnection.write(
                reply,
                new EmptyCompletionHandler<WriteResult<HttpContent, Object>>() {
                    @Override
                    public void completed(WriteResult<HttpContent, Object> result) {
                        if (close) {
                            mConnection.closeSilently();
                        }
                    }

                    @Override
                    public void failed(Throwable cause) {
                        // The client has closed the connection.
                        mConnection.closeSilently();
                    }
                });
        if (!close) {
            replied(nowMs);
        }
    }

    private void replied(long nowMs) {
        boolean handleNext;
        synchronized (this) {
            mWaiting = Optional.empty();
            mIdleSinceMs = nowMs;
            handleNext = !mHandling && !mQueue.isEmpty();
        }
        closeIfDone();
        if (handleNext) {
            mConnection.executeInEventThread(IOEvent.READ, this::handleNext);
        }
    }

    /** Closes the connection as soon as no request waits. */
    void closeWhenDone() {
        synchronized (this) {
            mClosing = true;
        }
        closeIfDone();
    }

    private void closeIfDone() {
        boolean done;
        synchronized (this) {
            done = mClosing && mWaiting.isEmpty() && mQueue.isEmpty();
        }
        if (done) {
            mConnection.closeSilently();
        }
    }

    /** Closes the connection without replying. */
    void drop() {
        mConnection.closeSilently();
    }

    /** The connection was closed: no reply can be sent any more. */
    void closed() {
        Optional<IncomingRequest> waiting;
        synchronized (this) {
            waiting = mWaiting;
            mQueue.clear();
        }
        waiting.ifPresent(IncomingRequest::connectionClosed);
    }

    /** True when the connection was without a request for the time. */
    synchronized boolean idleFor(long idleMs, long nowMs) {
        return mWaiting.isEmpty() && mQueue.isEmpty() && nowMs - mIdleSinceMs > idleMs;
    }

    private void setReading(boolean reading) {
        try {
            if (reading) {
                mConnection.enableIOEvent(IOEvent.READ);
            } else {
                mConnection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            sLog.debug("connection can't be read: {}", e.getMessage());
            mConnection.closeSilently();
        }
    }
}
