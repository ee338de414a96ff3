package org.boragegap.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Sends HTTP requests over pooled connections, one request at a time on each.
 *
 * <p>It tells apart what was surely not sent from what may have been: nothing is ever sent again
 * here.
 */
public final class HttpClient {
    private static final Logger sLog = LogManager.getLogger(HttpClient.class);

    /** On a VM with one core a second thread only adds wake-ups. */
    private static final int SELECTOR_THREADS =
            Math.min(2, Runtime.getRuntime().availableProcessors());

    /** How often calls are looked at that may be overdue, in ms. */
    private static final long SWEEP_INTERVAL_MS = 100;

    /**
     * The same while no call with a short timeout was sent lately, in ms: a VM that only keeps in
     * touch with the store needs no more, and each look is a wake-up.
     */
    private static final long IDLE_SWEEP_INTERVAL_MS = 250;

    /** A timeout is short below this, in ms: noticed a quarter of a second late, it is doubled. */
    private static final long SHORT_TIMEOUT_MS = 500;

    /** How long a call with a short timeout makes for frequent looks, in ms. */
    private static final long FREQUENT_SWEEP_PERIOD_MS = 1_000;

    /**
     * A connection not open by then, in ms, is given up and closed: many round trips. One that was
     * begun while the other side was cut off would otherwise hold its request for a second after
     * the cut, and its place among the connections to that address for seven: after a cut of some
     * seconds all places were taken, and nothing could be sent to targets that were back.
     */
    private static final long CONNECT_TIMEOUT_MS = 400;

    private final TCPNIOTransport mTransport;
    private final int mMaxConnectionsPerAddress;
    private final Map<String, ConnectionPool> mPools = new ConcurrentHashMap<>();
    private final Map<HttpExchange, GrizzlyFuture<?>> mConnecting = new ConcurrentHashMap<>();
    private final Map<Connection<?>, HttpExchange> mInFlight = new ConcurrentHashMap<>();
    private volatile long mLastShortCallMs = nowMs() - FREQUENT_SWEEP_PERIOD_MS;
    private final ScheduledExecutorService mSweeper =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "http-sweeper");
                        thread.setDaemon(true);
                        return thread;
                    });

    private HttpClient(int connectionsPerAddress) {
        mMaxConnectionsPerAddress = connectionsPerAddress;
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(new HttpClientFilter());
        chain.add(new ResponseFilter());
        mTransport =
                TCPNIOTransportBuilder.newInstance()
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorThreadPoolConfig(
                                ThreadPoolConfig.defaultConfig()
                                        .setPoolName("http-out")
                                        .setCorePoolSize(SELECTOR_THREADS)
                                        .setMaxPoolSize(SELECTOR_THREADS))
                        .setSelectorRunnersCount(SELECTOR_THREADS)
                        .setTcpNoDelay(true)
                        .setProcessor(chain.build())
                        .build();
    }

    /**
     * Makes a caller.
     *
     * @param connectionsPerAddress most connections to one address
     */
    public static HttpClient create(int connectionsPerAddress) {
        return new HttpClient(connectionsPerAddress);
    }

    /** Starts its threads. */
    public void start() throws IOException {
        mTransport.start();
        scheduleSweep();
    }

    /** Closes all connections. */
    public void stop() {
        mSweeper.shutdownNow();
        try {
            mTransport.shutdownNow();
        } catch (IOException e) {
            sLog.warn("http caller did not stop cleanly: {}", e.getMessage());
        }
    }

    /** Monotonic milliseconds, as used for the times of a call. */
    public static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Sends a request; the result comes to the call's consumer on another thread. */
    public void send(HttpCall call) {
        long nowMs = nowMs();
        if (call.timeoutMs() < SHORT_TIMEOUT_MS) {
            mLastShortCallMs = nowMs;
        }
        HttpExchange exchange = new HttpExchange(call, nowMs);
        ConnectionPool pool =
                mPools.computeIfAbsent(
                        call.address(), address -> new ConnectionPool(mMaxConnectionsPerAddress));
        Connection<?> idle = pool.takeIdle(nowMs());
        if (idle != null) {
            write(idle, exchange);
        } else if (pool.tryReserve()) {
            connect(pool, exchange);
        } else {
            exchange.failUnsent("no connection to it is free");
        }
    }

    @SuppressWarnings("rawtypes")
    private void connect(ConnectionPool pool, HttpExchange exchange) {
        GrizzlyFuture<Connection> opening =
                mTransport.connect(parseAddress(exchange.call().address()));
        mConnecting.put(exchange, opening);
        opening.addCompletionHandler(
                new EmptyCompletionHandler<>() {
                    @Override
                    public void completed(Connection connection) {
                        mConnecting.remove(exchange);
                        write(connection, exchange);
                    }

                    @Override
                    public void cancelled() {
                        mConnecting.remove(exchange);
                        pool.connectionClosed();
                        exchange.failUnsent("no connection in time");
                    }

                    @Override
                    public void failed(Throwable cause) {
                        mConnecting.remove(exchange);
                        pool.connectionClosed();
                        exchange.failUnsent("no connection: " + cause.getMessage());
                    }
                });
    }

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * The time by which it must be sent is checked here, as late as possible: this process may have
     * been paused since the decision, unaware.
     */
    private void write(Connection<?> connection, HttpExchange exchange) {
        HttpCall call = exchange.call();
        if (nowMs() > call.sendByMs()) {
            pool(call).putIdle(connection, nowMs());
            exchange.failUnsent("too late to send it");
            return;
        }
        if (!exchange.markSent(nowMs())) {
            pool(call).putIdle(connection, nowMs());
            return;
        }
        mInFlight.put(connection, exchange);
        HttpRequestPacket.Builder request =
                HttpRequestPacket.builder()
                        .method(call.method())
                        .uri(call.path())
                        .protocol(Protocol.HTTP_1_1)
                        .header("Host", call.address())
                        .header("Content-Type", "application/json")
                        .contentLength(call.body().length);
        call.headers().forEach(request::header);
        MemoryManager<?> memory = mTransport.getMemoryManager();
        Buffer body = Buffers.wrap(memory, call.body());
        connection.write(HttpContent.builder(request.build()).content(body).last(true).build());
        if (!connection.isOpen()) {
            onClosed(connection);
        }
    }

    private ConnectionPool pool(HttpCall call) {
        return mPools.get(call.address());
    }

    private void onClosed(Connection<?> connection) {
        HttpExchange exchange = mInFlight.remove(connection);
        if (exchange == null) {
            return;
        }
        pool(exchange.call()).connectionClosed();
        exchange.complete(new HttpResult.Lost("the connection closed before the whole response"));
    }

    private void scheduleSweep() {
        boolean frequent = nowMs() - mLastShortCallMs <= FREQUENT_SWEEP_PERIOD_MS;
        long delayMs = frequent ? SWEEP_INTERVAL_MS : IDLE_SWEEP_INTERVAL_MS;
        mSweeper.schedule(this::sweepAndReschedule, delayMs, TimeUnit.MILLISECONDS);
    }

    private void sweepAndReschedule() {
        try {
            sweep();
        } catch (RuntimeException e) {
            sLog.error("overdue calls can't be looked at, the next look may", e);
        }
        scheduleSweep();
    }

    private void sweep() {
        long nowMs = nowMs();
        mConnecting.forEach(
                (exchange, opening) -> {
                    if (exchange.isConnectTimedOut(nowMs, CONNECT_TIMEOUT_MS)) {
                        opening.cancel(true);
                    }
                });
        for (Map.Entry<Connection<?>, HttpExchange> entry : mInFlight.entrySet()) {
            if (entry.getValue().isResponseOverdue(nowMs)) {
                timeOut(entry.getKey());
            }
        }
        for (ConnectionPool pool : mPools.values()) {
            pool.closeStale(nowMs);
        }
    }

    private void timeOut(Connection<?> connection) {
        HttpExchange exchange = mInFlight.remove(connection);
        if (exchange == null) {
            return;
        }
        connection.closeSilently();
        pool(exchange.call()).connectionClosed();
        exchange.complete(new HttpResult.Lost("no response in time"));
    }

    private final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) throws IOException {
            HttpContent content = context.getMessage();
            if (!content.isLast()) {
                return context.getStopAction(content);
            }
            HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
            Connection<?> connection = context.getConnection();
            HttpExchange exchange = mInFlight.remove(connection);
            if (exchange == null) {
                connection.closeSilently();
                return context.getStopAction();
            }
            Buffer buffer = content.getContent();
            byte[] body = new byte[buffer.remaining()];
            buffer.get(body);
            String tag = response.getHeader("ETag");
            boolean keep = !"close".equalsIgnoreCase(response.getHeader("Connection"));
            if (keep) {
                pool(exchange.call()).putIdle(connection, nowMs());
            } else {
                pool(exchange.call()).connectionClosed();
                connection.closeSilently();
            }
            exchange.complete(
                    new HttpResult.Response(response.getStatus(), body, tag == null ? "" : tag));
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) throws IOException {
            onClosed(context.getConnection());
            return context.getInvokeAction();
        }
    }
}
