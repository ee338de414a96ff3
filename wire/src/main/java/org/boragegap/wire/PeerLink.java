package org.boragegap.wire;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The outgoing connection to one peer, opened on first use.
 *
 * <p>A connection can stop carrying data for good while new ones work, for instance when a device
 * between the two ends has dropped its state. This is detected by a ping without a pong: the
 * connection is closed, the forwards that wait for an answer on it are reported as lost, and the
 * next message opens a new connection.
 *
 * <p>A connection is pinged only if nothing was received on it since the last message was sent.
 * Pings on all connections would grow with the square of the number of VMs, and would be most of
 * the traffic of idle VMs.
 */
final class PeerLink {
    private static final Attribute<PeerLink> sLinkAttribute =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("boragegap.peer-link");

    /** Minimum time between two pings, in ms; half of {@link #PONG_TIMEOUT_MS}. */
    private static final long PING_INTERVAL_MS = 500;

    /**
     * Time after a ping without any message from the peer, in ms, after which the connection is
     * closed; it allows for many round trips.
     */
    private static final long PONG_TIMEOUT_MS = 1_000;

    private static final int MAX_QUEUED_MESSAGES = 10_000;

    /**
     * Time after which a pending connect is given up, in ms, and the next message starts a new one;
     * see the constant of the same name in {@code HttpClient} for the reason.
     */
    private static final long CONNECT_TIMEOUT_MS = 400;

    private final String mAddress;
    private final TCPNIOTransport mTransport;
    private final PeerListener mListener;
    private final Deque<PeerMessage> mQueued = new ArrayDeque<>();
    private final Map<Long, PeerMessage.Forward> mPendingForwards = new HashMap<>();
    private Connection<?> mConnection;
    private boolean mConnecting;
    private long mConnectStartMs;
    private long mLastPingMs;
    private boolean mAwaitingPong;

    /** True if a message was sent since the last one was received on this connection. */
    private boolean mSentSinceLastReceive;

    PeerLink(String address, TCPNIOTransport transport, PeerListener listener) {
        mAddress = address;
        mTransport = transport;
        mListener = listener;
    }

    /** Returns the link that opened a connection; empty for an inbound connection. */
    static Optional<PeerLink> of(Connection<?> connection) {
        return Optional.ofNullable(sLinkAttribute.get(connection));
    }

    synchronized boolean owns(Connection<?> connection) {
        return mConnection == connection;
    }

    void send(PeerMessage message) {
        boolean dropped = false;
        synchronized (this) {
            if (mConnection != null && mConnection.isOpen()) {
                write(message);
                return;
            }
            if (mQueued.size() < MAX_QUEUED_MESSAGES) {
                mQueued.add(message);
            } else {
                dropped = true;
            }
            connect();
        }
        if (dropped) {
            mListener.onLost(mAddress, message, false);
        }
    }

    private void write(PeerMessage message) {
        if (message instanceof PeerMessage.Forward forward) {
            mPendingForwards.put(forward.forwardId(), forward);
        }
        mSentSinceLastReceive = true;
        mConnection.write(message);
    }

    private void connect() {
        if (mConnecting) {
            return;
        }
        mConnecting = true;
        mConnectStartMs = System.nanoTime() / 1_000_000;
        mTransport.connect(
                PeerTransport.parseAddress(mAddress),
                new EmptyCompletionHandler<>() {
                    @Override
                    @SuppressWarnings("rawtypes")
                    public void completed(Connection connection) {
                        onConnected(connection);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        onConnectFailed();
                    }
                });
    }

    private synchronized void onConnected(Connection<?> connection) {
        mConnecting = false;
        sLinkAttribute.set(connection, this);
        mConnection = connection;
        mAwaitingPong = false;
        while (!mQueued.isEmpty()) {
            write(mQueued.poll());
        }
    }

    private void onConnectFailed() {
        List<PeerMessage> lost;
        synchronized (this) {
            mConnecting = false;
            lost = new ArrayList<>(mQueued);
            mQueued.clear();
        }
        for (PeerMessage message : lost) {
            mListener.onLost(mAddress, message, false);
        }
    }

    void onReply(PeerMessage message) {
        synchronized (this) {
            mAwaitingPong = false;
            mSentSinceLastReceive = false;
            if (message instanceof PeerMessage.ForwardAnswer answer) {
                mPendingForwards.remove(answer.forwardId());
            }
        }
        if (!(message instanceof PeerMessage.Pong)) {
            mListener.onMessage(0, message);
        }
    }

    void onClosed() {
        List<PeerMessage> lost;
        synchronized (this) {
            mConnection = null;
            lost = new ArrayList<>(mPendingForwards.values());
            mPendingForwards.clear();
        }
        for (PeerMessage message : lost) {
            mListener.onLost(mAddress, message, true);
        }
    }

    private boolean isPingDue(long nowMs) {
        boolean inUse = mConnection != null && mSentSinceLastReceive;
        return inUse && !mAwaitingPong && nowMs - mLastPingMs >= PING_INTERVAL_MS;
    }

    void probe(long nowMs) {
        Connection<?> unresponsive = null;
        boolean connectTimedOut;
        synchronized (this) {
            connectTimedOut = mConnecting && nowMs - mConnectStartMs > CONNECT_TIMEOUT_MS;
            if (mConnection != null && mAwaitingPong && nowMs - mLastPingMs > PONG_TIMEOUT_MS) {
                unresponsive = mConnection;
            } else if (isPingDue(nowMs)) {
                mAwaitingPong = true;
                mLastPingMs = nowMs;
                mConnection.write(new PeerMessage.Ping());
            }
        }
        if (connectTimedOut) {
            onConnectFailed();
        }
        if (unresponsive != null) {
            unresponsive.closeSilently();
        }
    }
}
