package org.boragegap.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** An HTTP listener that reads whole bodies without blocking and passes them to one handler. */
public final class HttpEndpoint {
    private static final Logger sLog = LogManager.getLogger(HttpEndpoint.class);

    /** One thread on a VM with a single core, where a second one only adds wake-ups. */
    private static final int SELECTOR_THREADS =
            Math.min(2, Runtime.getRuntime().availableProcessors());

    private static final int CONTENT_TOO_LARGE = 413;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int BUFFER_BYTES = 8 * 1024;

    private final HttpServer mServer = new HttpServer();
    private final NetworkListener mListener;

    private HttpEndpoint(String name, String host, int port, int maxBodyBytes, Handler handler) {
        mListener = new NetworkListener(name, host, port);
        mListener.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        TCPNIOTransport transport = mListener.getTransport();
        transport.setIOStrategy(SameThreadIOStrategy.getInstance());
        transport.setSelectorRunnersCount(SELECTOR_THREADS);
        transport.setKernelThreadPoolConfig(
                ThreadPoolConfig.defaultConfig()
                        .setPoolName(name)
                        .setCorePoolSize(SELECTOR_THREADS)
                        .setMaxPoolSize(SELECTOR_THREADS));
        transport.setTcpNoDelay(true);
        mServer.addListener(mListener);
        mServer.getServerConfiguration()
                .addHttpHandler(new BodyBufferingHandler(maxBodyBytes, handler), "/");
        mServer.getServerConfiguration().setJmxEnabled(false);
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
        mServer.start();
    }

    /** Returns the port it listens on, once started. */
    public int port() {
        return mListener.getPort();
    }

    /**
     * Stops listening and closes each connection once its responses are sent, or when the time is
     * over.
     *
     * @param boundMs time allowed for pending responses, in milliseconds
     */
    public void drain(long boundMs) {
        try {
            mServer.shutdown(boundMs, TimeUnit.MILLISECONDS)
                    .get(2 * boundMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            sLog.warn("not all responses were sent within {} ms", boundMs);
        }
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        mServer.shutdownNow();
    }

    private static final class BodyBufferingHandler extends HttpHandler {
        private final int mMaxBodyBytes;
        private final Handler mHandler;

        private BodyBufferingHandler(int maxBodyBytes, Handler handler) {
            mMaxBodyBytes = maxBodyBytes;
            mHandler = handler;
        }

        @Override
        public void service(Request request, Response response) {
            response.suspend();
            if (request.getContentLengthLong() > mMaxBodyBytes) {
                rejectTooLarge(request, response);
                return;
            }
            NIOInputStream input = request.getNIOInputStream();
            input.notifyAvailable(new BodyReader(request, response, input));
        }

        private void rejectTooLarge(Request request, Response response) {
            String problem =
                    "{\"title\":\"Body too large\",\"status\":413,\"outcome\":\"not_run\","
                            + "\"detail\":\"the body may have "
                            + mMaxBodyBytes
                            + " bytes\"}";
            new IncomingRequest(request, response, new byte[0])
                    .reply(
                            CONTENT_TOO_LARGE,
                            "application/problem+json",
                            Map.of("Connection", "close"),
                            problem);
        }

        private final class BodyReader implements ReadHandler {
            private final Request mRequest;
            private final Response mResponse;
            private final NIOInputStream mInput;
            private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

            private BodyReader(Request request, Response response, NIOInputStream input) {
                mRequest = request;
                mResponse = response;
                mInput = input;
            }

            @Override
            public void onDataAvailable() throws IOException {
                readAvailable();
                if (mBytes.size() > mMaxBodyBytes) {
                    rejectTooLarge(mRequest, mResponse);
                    return;
                }
                mInput.notifyAvailable(this);
            }

            @Override
            public void onAllDataRead() throws IOException {
                readAvailable();
                if (mBytes.size() > mMaxBodyBytes) {
                    rejectTooLarge(mRequest, mResponse);
                    return;
                }
                mHandler.accept(new IncomingRequest(mRequest, mResponse, mBytes.toByteArray()));
            }

            @Override
            public void onError(Throwable cause) {
                sLog.debug("can't read request body: {}", cause.getMessage());
                mResponse.resume();
            }

            private void readAvailable() throws IOException {
                byte[] buffer = new byte[BUFFER_BYTES];
                while (mInput.isReady()) {
                    int count = mInput.read(buffer);
                    if (count <= 0) {
                        return;
                    }
                    mBytes.write(buffer, 0, count);
                }
            }
        }
    }
}
