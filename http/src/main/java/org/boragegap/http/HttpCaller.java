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
public final class HttpCaller {
    private static final Logger sLog = LogManager.getLogger(HttpCaller.class);

    /** On a VM with one core a second thread only adds wake-ups. */
    private static final int SELECTORS = Math.min(2, Runtime.getRuntime().availableProcessors());

    /** How often calls are looked at that may be overdue, in ms. */
    private static final long SWEEP_EVERY_MS = 100;

    /**
     * The same while no call with a short timeout was sent lately, in ms: a VM that only keeps in
     * touch with the store needs no more, and each look is a wake-up.
     */
    private static final long CALM_SWEEP_EVERY_MS = 250;

    /** A timeout is short below this, in ms: noticed a quarter of a second late, it is doubled. */
    private static final long SHORT_TIMEOUT_MS = 500;

    /** How long a call with a short timeout makes for frequent looks, in ms. */
    private static final long LATELY_MS = 1_000;

    /**
     * A connection not open by then, in ms, is given up and closed: many round trips. One that was
     * begun while the other side was cut off would otherwise hold its request for a second after
     * the cut, and its place among the connections to that address for seven: after a cut of some
     * seconds all places were taken, and nothing could be sent to targets that were back.
     */
    private static final long CONNECT_WITHIN_MS = 400;

    private final TCPNIOTransport mTransport;
    private final int mConnectionsPerAddress;
    private final Map<String, HttpPool> mPools = new ConcurrentHashMap<>();
    private final Map<HttpExchange, GrizzlyFuture<?>> mOpening = new ConcurrentHashMap<>();
    private final Map<Connection<?>, HttpExchange> mBusy = new ConcurrentHashMap<>();
    private volatile long mShortCallMs = nowMs() - LATELY_MS;
    private final ScheduledExecutorService mSweeper =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "http-sweeper");
                        thread.setDaemon(true);
                        return thread;
                    });

    private HttpCaller(int connectionsPerAddress) {
        mConnectionsPerAddress = connectionsPerAddress;
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
                                        .setCorePoolSize(SELECTORS)
                                        .setMaxPoolSize(SELECTORS))
                        .setSelectorRunnersCount(SELECTORS)
                        .setTcpNoDelay(true)
                        .setProcessor(chain.build())
                        .build();
    }

    /**
     * Makes a caller.
     *
     * @param connectionsPerAddress most connections to one address
     */
    public static HttpCaller create(int connectionsPerAddress) {
        return new HttpCaller(connectionsPerAddress);
    }

    /** Starts its threads. */
    public void start() throws IOException {
        mTransport.start();
        sweepLater();
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
            mShortCallMs = nowMs;
        }
        HttpExchange exchange = new HttpExchange(call, nowMs);
        HttpPool pool =
                mPools.computeIfAbsent(
                        call.address(), address -> new HttpPool(mConnectionsPerAddress));
        Connection<?> idle = pool.takeIdle(nowMs());
        if (idle != null) {
            write(idle, exchange);
        } else if (pool.tryOpen()) {
            open(pool, exchange);
        } else {
            exchange.endUnsent("no connection to it is free");
        }
    }

    @SuppressWarnings("rawtypes")
    private void open(HttpPool pool, HttpExchange exchange) {
        GrizzlyFuture<Connection> opening = mTransport.connect(address(exchange.call().address()));
        mOpening.put(exchange, opening);
        opening.addCompletionHandler(
                new EmptyCompletionHandler<>() {
                    @Override
                    public void completed(Connection connection) {
                        mOpening.remove(exchange);
                        write(connection, exchange);
                    }

                    @Override
                    public void cancelled() {
                        mOpening.remove(exchange);
                        pool.closed();
                        exchange.endUnsent("no connection in time");
                    }

                    @Override
                    public void failed(Throwable cause) {
                        mOpening.remove(exchange);
                        pool.closed();
                        exchange.endUnsent("no connection: " + cause.getMessage());
                    }
                });
    }

    private static InetSocketAddress address(String address) {
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
            exchange.endUnsent("too late to send it");
            return;
        }
        if (!exchange.begin(nowMs())) {
            pool(call).putIdle(connection, nowMs());
            return;
        }
        mBusy.put(connection, exchange);
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

    private HttpPool pool(HttpCall call) {
        return mPools.get(call.address());
    }

    private void onClosed(Connection<?> connection) {
        HttpExchange exchange = mBusy.remove(connection);
        if (exchange == null) {
            return;
        }
        pool(exchange.call()).closed();
        exchange.end(new HttpResult.Lost("the connection closed before the whole response"));
    }

    private void sweepLater() {
        boolean frequent = nowMs() - mShortCallMs <= LATELY_MS;
        long delayMs = frequent ? SWEEP_EVERY_MS : CALM_SWEEP_EVERY_MS;
        mSweeper.schedule(this::sweepAndGoOn, delayMs, TimeUnit.MILLISECONDS);
    }

    private void sweepAndGoOn() {
        try {
            sweep();
        } catch (RuntimeException e) {
            sLog.error("overdue calls can't be looked at, the next look may", e);
        }
        sweepLater();
    }

    private void sweep() {
        long nowMs = nowMs();
        mOpening.forEach(
                (exchange, opening) -> {
                    if (exchange.waitsTooLong(nowMs, CONNECT_WITHIN_MS)) {
                        opening.cancel(true);
                    }
                });
        for (Map.Entry<Connection<?>, HttpExchange> entry : mBusy.entrySet()) {
            if (entry.getValue().overdue(nowMs)) {
                giveUp(entry.getKey());
            }
        }
        for (HttpPool pool : mPools.values()) {
            pool.closeStale(nowMs);
        }
    }

    private void giveUp(Connection<?> connection) {
        HttpExchange exchange = mBusy.remove(connection);
        if (exchange == null) {
            return;
        }
        connection.closeSilently();
        pool(exchange.call()).closed();
        exchange.end(new HttpResult.Lost("no response in time"));
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
            HttpExchange exchange = mBusy.remove(connection);
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
                pool(exchange.call()).closed();
                connection.closeSilently();
            }
            exchange.end(
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
