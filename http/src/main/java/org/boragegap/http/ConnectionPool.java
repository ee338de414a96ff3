package org.boragegap.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
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

    private record Idle(Connection<?> connection, long sinceMs) {
        boolean usable(long nowMs) {
            return connection.isOpen() && nowMs - sinceMs <= MAX_IDLE_MS;
        }
    }

    private final int mMaxConnections;
    private final Deque<Idle> mIdle = new ArrayDeque<>();
    private int mConnectionCount;

    ConnectionPool(int maxConnections) {
        mMaxConnections = maxConnections;
    }

    /** Takes the connection that was used last, if any can be used. */
    synchronized Connection<?> takeIdle(long nowMs) {
        while (!mIdle.isEmpty()) {
            Idle idle = mIdle.pollLast();
            if (idle.usable(nowMs)) {
                return idle.connection();
            }
            drop(idle);
        }
        return null;
    }

    /**
     * Takes a connection to the given process, or else one whose process is unknown. Connections to
     * other processes are closed.
     */
    synchronized Connection<?> takeIdle(long nowMs, long peer) {
        Idle unknown = null;
        for (Iterator<Idle> it = mIdle.descendingIterator(); it.hasNext(); ) {
            Idle idle = it.next();
            long stated = PeerNumber.of(idle.connection());
            if (!idle.usable(nowMs) || stated != PeerNumber.UNKNOWN && stated != peer) {
                it.remove();
                drop(idle);
            } else if (stated == peer) {
                it.remove();
                return idle.connection();
            } else if (unknown == null) {
                unknown = idle;
            }
        }
        if (unknown == null) {
            return null;
        }
        mIdle.remove(unknown);
        return unknown.connection();
    }

    private void drop(Idle idle) {
        mConnectionCount--;
        idle.connection().closeSilently();
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
