package org.boragegap.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
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
 * <p>The result distinguishes requests that were certainly not sent from those that may have been.
 * The client never retries a request.
 */
public final class HttpClient {
    private static final Logger sLog = LogManager.getLogger(HttpClient.class);

    /** One thread on a VM with a single core, where a second one only adds wake-ups. */
    private static final int SELECTOR_THREADS =
            Math.min(2, Runtime.getRuntime().availableProcessors());

    /** Interval between checks for overdue calls, in ms. */
    private static final long SWEEP_INTERVAL_MS = 100;

    /**
     * Interval between checks for overdue calls while no call with a short timeout was sent
     * recently, in ms. It is enough for a VM that only polls the store, and each check is a
     * wake-up.
     */
    private static final long IDLE_SWEEP_INTERVAL_MS = 250;

    /**
     * Timeouts below this value count as short, in ms: expiry noticed a quarter of a second late
     * would lengthen them by half or more, and double one of 250 ms.
     */
    private static final long SHORT_TIMEOUT_MS = 500;

    /** How long checks stay frequent after a call with a short timeout, in ms. */
    private static final long FREQUENT_SWEEP_PERIOD_MS = 1_000;

    /**
     * Connections that take longer than this to open are closed, in ms; it allows for many round
     * trips. Without it, a connect attempt that starts while the remote host is unreachable delays
     * its request by a second after the host is back, and occupies a slot of the pool for seven:
     * after an outage of a few seconds all slots were occupied, and nothing could be sent to
     * targets that were reachable again.
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

    private HttpClient(int maxConnectionsPerAddress) {
        mMaxConnectionsPerAddress = maxConnectionsPerAddress;
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
     * Creates a client.
     *
     * @param maxConnectionsPerAddress maximum number of connections to one address
     */
    public static HttpClient create(int maxConnectionsPerAddress) {
        return new HttpClient(maxConnectionsPerAddress);
    }

    /** Starts the I/O threads and the check for overdue calls. */
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
            sLog.warn("HTTP client did not stop cleanly: {}", e.getMessage());
        }
    }

    /**
     * Returns the monotonic clock, in milliseconds, on which {@link HttpCall#sendByMs} is based.
     */
    public static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Sends a request. The call's consumer receives the result on any thread, which may be the
     * calling one if the request can't be sent.
     */
    public void send(HttpCall call) {
        long nowMs = nowMs();
        if (call.timeoutMs() < SHORT_TIMEOUT_MS) {
            mLastShortCallMs = nowMs;
        }
        HttpExchange exchange = new HttpExchange(call, nowMs);
        ConnectionPool pool =
                mPools.computeIfAbsent(
                        call.address(), address -> new ConnectionPool(mMaxConnectionsPerAddress));
        Connection<?> idle = takeIdle(pool, call, nowMs);
        if (idle != null) {
            writeIdentified(idle, exchange);
        } else if (pool.tryReserve()) {
            connect(pool, exchange);
        } else {
            exchange.failUnsent("no connection to it is free");
        }
    }

    private static Connection<?> takeIdle(ConnectionPool pool, HttpCall call, long nowMs) {
        return call.peer().isEmpty()
                ? pool.takeIdle(nowMs)
                : pool.takeIdle(nowMs, call.peer().get().expected());
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
                        writeIdentified(connection, exchange);
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
     * Writes the request, or first asks the process for its number if the request is meant for one
     * process and it is not known whether the connection leads to it.
     */
    private void writeIdentified(Connection<?> connection, HttpExchange exchange) {
        Optional<PeerCheck> check = exchange.call().peer();
        if (check.isEmpty() || PeerNumber.of(connection) == check.get().expected()) {
            write(connection, exchange);
        } else {
            write(connection, exchange.identification(check.get(), nowMs()));
        }
    }

    /**
     * Writes the request that was waiting for this answer if the expected process gave it; returns
     * false if none was waiting, or another process has answered.
     */
    private boolean writeFollowing(
            Connection<?> connection, HttpExchange exchange, HttpResult.Response answer) {
        if (exchange.identifiesFor().isEmpty()) {
            return false;
        }
        HttpExchange following = exchange.identifiesFor().get();
        PeerCheck check = following.call().peer().orElseThrow();
        long stated = check.stated().applyAsLong(answer);
        PeerNumber.set(connection, stated);
        if (stated != check.expected()) {
            return false;
        }
        write(connection, following);
        return true;
    }

    /**
     * Writes the request. The send deadline is checked here, as late as possible, because the
     * process may have been paused without noticing since the decision to send.
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
        boolean recentShortCall = nowMs() - mLastShortCallMs <= FREQUENT_SWEEP_PERIOD_MS;
        long delayMs = recentShortCall ? SWEEP_INTERVAL_MS : IDLE_SWEEP_INTERVAL_MS;
        mSweeper.schedule(this::sweepAndReschedule, delayMs, TimeUnit.MILLISECONDS);
    }

    private void sweepAndReschedule() {
        try {
            sweep();
        } catch (RuntimeException e) {
            sLog.error("check for overdue calls failed, it will run again", e);
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
            HttpResult.Response answer =
                    new HttpResult.Response(response.getStatus(), body, tag == null ? "" : tag);
            boolean keep = !"close".equalsIgnoreCase(response.getHeader("Connection"));
            if (!keep) {
                pool(exchange.call()).connectionClosed();
                connection.closeSilently();
            } else if (!writeFollowing(connection, exchange, answer)) {
                pool(exchange.call()).putIdle(connection, nowMs());
            }
            exchange.complete(answer);
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) throws IOException {
            onClosed(context.getConnection());
            return context.getInvokeAction();
        }
    }
}
