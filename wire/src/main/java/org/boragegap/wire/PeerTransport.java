package org.boragegap.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Connections between entry VMs; each pair of VMs uses one connection for each direction.
 *
 * <p>A reply is sent over the connection on which the request arrived, so a side that loses the
 * connection knows that no reply will arrive.
 */
public final class PeerTransport {
    private static final Logger sLog = LogManager.getLogger(PeerTransport.class);

    /** One thread on a VM with a single core, where a second one only adds wake-ups. */
    private static final int SELECTOR_THREADS =
            Math.min(2, Runtime.getRuntime().availableProcessors());

    private final String mBindHost;
    private final int mBindPort;
    private int mPort;
    private final PeerListener mListener;
    private final TCPNIOTransport mTransport;
    private final Map<String, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final Map<Long, Connection<?>> mInbound = new ConcurrentHashMap<>();
    private final Map<Connection<?>, Long> mInboundIds = new ConcurrentHashMap<>();
    private final AtomicLong mNextInboundId = new AtomicLong(1);

    private PeerTransport(String host, int port, PeerListener listener) {
        mBindHost = host;
        mBindPort = port;
        mListener = listener;
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(new FrameFilter(PeerCodec.create()));
        chain.add(new MessageFilter());
        mTransport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorThreadPoolConfig(
                                ThreadPoolConfig.defaultConfig()
                                        .setPoolName("peer")
                                        .setCorePoolSize(SELECTOR_THREADS)
                                        .setMaxPoolSize(SELECTOR_THREADS))
                        .setSelectorRunnersCount(SELECTOR_THREADS)
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setProcessor(chain.build())
                        .build();
    }

    /** Creates a transport that will listen on an address; port 0 lets the system choose one. */
    public static PeerTransport create(String host, int port, PeerListener listener) {
        return new PeerTransport(host, port, listener);
    }

    /** Starts listening. */
    public void start() throws IOException {
        SocketAddress bound = mTransport.bind(mBindHost, mBindPort).getLocalAddress();
        mPort = ((InetSocketAddress) bound).getPort();
        mTransport.start();
    }

    /** Returns the port it listens on, once started. */
    int port() {
        return mPort;
    }

    /** Closes all connections. */
    public void stop() {
        try {
            mTransport.shutdownNow();
        } catch (IOException e) {
            sLog.warn("peer transport did not stop cleanly: {}", e.getMessage());
        }
    }

    /** Sends a message to the entry VM at a peer address; a failure is reported to the listener. */
    public void send(String address, PeerMessage message) {
        mLinks.computeIfAbsent(address, this::newLink).send(message);
    }

    private PeerLink newLink(String address) {
        return new PeerLink(address, mTransport, mListener);
    }

    /** Replies over the connection on which a message arrived; returns false if it is closed. */
    public boolean reply(long connectionId, PeerMessage message) {
        Connection<?> connection = mInbound.get(connectionId);
        if (connection == null || !connection.isOpen()) {
            return false;
        }
        connection.write(message);
        return true;
    }

    /** Checks all outgoing connections; to be called several times a second. */
    public void probe(long nowMs) {
        mLinks.values().forEach(link -> link.probe(nowMs));
    }

    /** Parses {@code host:port}. */
    public static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    private final class MessageFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext context) throws IOException {
            long id = mNextInboundId.getAndIncrement();
            mInbound.put(id, context.getConnection());
            mInboundIds.put(context.getConnection(), id);
            return context.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext context) throws IOException {
            PeerMessage message = context.getMessage();
            Connection<?> connection = context.getConnection();
            Long inbound = mInboundIds.get(connection);
            if (inbound == null) {
                PeerLink.of(connection).ifPresent(link -> onReply(link, connection, message));
            } else if (message instanceof PeerMessage.Ping) {
                connection.write(new PeerMessage.Pong());
            } else {
                mListener.onMessage(inbound, message);
            }
            return context.getStopAction();
        }

        private void onReply(PeerLink link, Connection<?> connection, PeerMessage message) {
            if (link.owns(connection)) {
                link.onReply(message);
            }
        }

        @Override
        public NextAction handleClose(FilterChainContext context) throws IOException {
            Connection<?> connection = context.getConnection();
            Long inbound = mInboundIds.remove(connection);
            if (inbound != null) {
                mInbound.remove(inbound);
            }
            PeerLink.of(connection)
                    .filter(link -> link.owns(connection))
                    .ifPresent(PeerLink::onClosed);
            return context.getInvokeAction();
        }
    }
}
