package org.boragegap.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.Connection;

/**
 * Idle connections to one address and a count of all of them.
 *
 * <p>An idle connection may have gone silent for good, and a request written to it would be lost.
 * Only one that worked a moment ago is used again.
 */
final class ConnectionPool {
    private static final long MAX_IDLE_MS = 2_000;

    private record Idle(Connection<?> connection, long sinceMs) {}

    private final int mMaxConnections;
    private final Deque<Idle> mIdle = new ArrayDeque<>();
    private int mConnectionCount;

    ConnectionPool(int most) {
        mMaxConnections = most;
    }

    synchronized Connection<?> takeIdle(long nowMs) {
        while (!mIdle.isEmpty()) {
            Idle idle = mIdle.pollLast();
            if (idle.connection().isOpen() && nowMs - idle.sinceMs() <= MAX_IDLE_MS) {
                return idle.connection();
            }
            mConnectionCount--;
            idle.connection().closeSilently();
        }
        return null;
    }

    synchronized void putIdle(Connection<?> connection, long nowMs) {
        mIdle.addLast(new Idle(connection, nowMs));
    }

    synchronized boolean tryReserve() {
        if (mConnectionCount >= mMaxConnections) {
            return false;
        }
        mConnectionCount++;
        return true;
    }

    synchronized void connectionClosed() {
        mConnectionCount--;
    }

    void closeStale(long nowMs) {
        List<Connection<?>> stale = new ArrayList<>();
        synchronized (this) {
            while (!mIdle.isEmpty() && nowMs - mIdle.peekFirst().sinceMs() > MAX_IDLE_MS) {
                stale.add(mIdle.pollFirst().connection());
                mConnectionCount--;
            }
        }
        stale.forEach(Connection::closeSilently);
    }
}
