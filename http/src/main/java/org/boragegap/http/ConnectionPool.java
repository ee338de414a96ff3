package org.boragegap.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.Connection;

/**
 * The idle connections to one address, and the number of all connections to it.
 *
 * <p>An idle connection may be broken without either end having closed it, and a request written to
 * it would be lost. Therefore, only connections that were used very recently are reused.
 */
final class ConnectionPool {
    private static final long MAX_IDLE_MS = 2_000;

    private record Idle(Connection<?> connection, long sinceMs) {}

    private final int mMaxConnections;
    private final Deque<Idle> mIdle = new ArrayDeque<>();
    private int mConnectionCount;

    ConnectionPool(int maxConnections) {
        mMaxConnections = maxConnections;
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
