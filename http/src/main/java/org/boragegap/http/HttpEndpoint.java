package org.boragegap.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** An HTTP listener that reads whole bodies without blocking and passes them to one handler. */
public final class HttpEndpoint {
    private static final Logger sLog = LogManager.getLogger(HttpEndpoint.class);

    /** One thread on a VM with a single core, where a second one only adds wake-ups. */
    private static final int SELECTOR_THREADS =
            Math.min(2, Runtime.getRuntime().availableProcessors());

    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 100;

    /** Interval between checks for idle connections, in ms. */
    private static final long IDLE_CHECK_INTERVAL_MS = 5_000;

    /** Interval between checks whether all connections are closed, in ms. */
    private static final long DRAIN_CHECK_INTERVAL_MS = 20;

    private final String mName;
    private final String mHost;
    private final int mPort;
    private final RequestFilter mRequests;
    private final TCPNIOTransport mTransport;
    private final ScheduledExecutorService mTimer;
    private volatile int mBoundPort;

    private HttpEndpoint(String name, String host, int port, int maxBodyBytes, Handler handler) {
        mName = name;
        mHost = host;
        mPort = port;
        mRequests = new RequestFilter(maxBodyBytes, handler);
        mTimer = Executors.newSingleThreadScheduledExecutor(this::timerThread);
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(codec());
        chain.add(mRequests);
        mTransport =
                TCPNIOTransportBuilder.newInstance()
                        .setName(name)
                        .setIOStrategy(SameThreadIOStrategy.getInstance())
                        .setSelectorThreadPoolConfig(
                                ThreadPoolConfig.defaultConfig()
                                        .setPoolName(name)
                                        .setCorePoolSize(SELECTOR_THREADS)
                                        .setMaxPoolSize(SELECTOR_THREADS))
                        .setSelectorRunnersCount(SELECTOR_THREADS)
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setProcessor(chain.build())
                        .build();
    }

    /** The codec doesn't end connections by itself; see {@link ServerConnection}. */
    @SuppressWarnings("deprecation")
    private static HttpServerFilter codec() {
        KeepAlive keepAlive = new KeepAlive();
        keepAlive.setMaxRequestsCount(-1);
        keepAlive.setIdleTimeoutInSeconds(-1);
        return new HttpServerFilter(
                true, MAX_HEADER_BYTES, null, keepAlive, null, MAX_HEADERS, MAX_HEADERS);
    }

    private Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, mName + "-timer");
        thread.setDaemon(true);
        return thread;
    }

    /** Handles requests. */
    public interface Handler extends Consumer<IncomingRequest> {}

    /**
     * Creates an endpoint.
     *
     * @param name name of its threads
     * @param host host name or IP address to listen on
     * @param port port to listen on; 0 lets the system choose one
     * @param maxBodyBytes largest accepted body, in bytes
     * @param handler handles each request; must not block
     */
    public static HttpEndpoint create(
            String name, String host, int port, int maxBodyBytes, Handler handler) {
        return new HttpEndpoint(name, host, port, maxBodyBytes, handler);
    }

    /** Starts listening. */
    public void start() throws IOException {
        mTransport.start();
        TCPNIOServerConnection listener = mTransport.bind(new InetSocketAddress(mHost, mPort));
        mBoundPort = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        mTimer.scheduleWithFixedDelay(
                mRequests::closeIdle,
                IDLE_CHECK_INTERVAL_MS,
                IDLE_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the port it listens on, once started. */
    public int port() {
        return mBoundPort;
    }

    /**
     * Stops listening and closes each connection once its responses are sent, or when the time is
     * over.
     *
     * @param boundMs time allowed for pending responses, in milliseconds
     */
    public void drain(long boundMs) {
        mTransport.unbindAll();
        mRequests.closeWhenDone();
        CountDownLatch closed = new CountDownLatch(1);
        mTimer.scheduleWithFixedDelay(
                () -> countDownIfClosed(closed), 0, DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        try {
            if (!closed.await(boundMs, TimeUnit.MILLISECONDS)) {
                sLog.warn("not all responses were sent within {} ms", boundMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stop();
    }

    private void countDownIfClosed(CountDownLatch closed) {
        if (!mRequests.hasConnections()) {
            closed.countDown();
        }
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        mTimer.shutdownNow();
        try {
            mTransport.shutdownNow();
        } catch (IOException e) {
            sLog.warn("HTTP listener {} did not stop cleanly: {}", mName, e.getMessage());
        }
    }
}
