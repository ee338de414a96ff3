package org.boragegap.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** A received request with its whole body. It is replied to once, on any thread. */
public final class IncomingRequest {
    private final Request mRequest;
    private final Response mResponse;
    private final byte[] mBody;
    private final AtomicBoolean mReplied = new AtomicBoolean();

    /** Removes the close listener that {@link #onClosedBeforeReply} has added. */
    private volatile Runnable mRemoveCloseListener = () -> {};

    IncomingRequest(Request request, Response response, byte[] body) {
        mRequest = request;
        mResponse = response;
        mBody = body;
    }

    /** Returns the HTTP method. */
    public String method() {
        return mRequest.getMethod().getMethodString();
    }

    /** Returns the path without the query. */
    public String path() {
        return mRequest.getRequestURI();
    }

    /** Returns a query parameter. */
    public Optional<String> query(String name) {
        return Optional.ofNullable(mRequest.getParameter(name));
    }

    /** Returns a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.getHeader(name));
    }

    /** Returns the body. */
    public byte[] body() {
        return mBody;
    }

    /**
     * Registers a callback for the case that the client closes its connection before the reply; to
     * be called at most once. The reply removes the close listener: otherwise, a connection that a
     * client keeps open would retain every request received over it, so that memory grows with each
     * request and each reply searches a longer list of listeners. Reading is enabled on the
     * connection because the server does not read from one that waits for a reply, and would not
     * notice that it is closed.
     */
    @SuppressWarnings({"rawtypes", "unchecked", "deprecation"})
    public void onClosedBeforeReply(Runnable callback) {
        Connection<?> connection = mRequest.getContext().getConnection();
        CloseListener<Closeable, ICloseType> listener =
                (closeable, type) -> {
                    if (!mReplied.get()) {
                        callback.run();
                    }
                };
        connection.addCloseListener(listener);
        mRemoveCloseListener = () -> connection.removeCloseListener(listener);
        if (mReplied.get()) {
            // Another thread has replied in the meantime and found no listener to remove.
            mRemoveCloseListener.run();
        }
        try {
            connection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            callback.run();
        }
    }

    /** Requests that the connection be closed after the reply; to be called before the reply. */
    public void closeAfterReply() {
        mResponse.setHeader("Connection", "close");
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(mBody, StandardCharsets.UTF_8);
    }

    /** Replies with JSON. */
    public void reply(int status, String json) {
        reply(status, "application/json", Map.of(), json);
    }

    /** Replies with raw bytes. */
    public void reply(int status, byte[] bytes) {
        reply(status, "application/octet-stream", Map.of(), bytes);
    }

    /** Replies; only the first reply takes effect. */
    public void reply(int status, String contentType, Map<String, String> headers, String text) {
        reply(status, contentType, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    private void reply(int status, String contentType, Map<String, String> headers, byte[] bytes) {
        if (!mReplied.compareAndSet(false, true)) {
            return;
        }
        mRemoveCloseListener.run();
        mResponse.setStatus(status);
        mResponse.setContentType(contentType);
        mResponse.setContentLength(bytes.length);
        headers.forEach(mResponse::setHeader);
        try {
            mResponse.getOutputStream().write(bytes);
        } catch (IOException e) {
            // The client has closed the connection, so the failure can't be reported to it.
            mRequest.getContext().getConnection().closeSilently();
        }
        mResponse.resume();
    }

    /** Closes the connection without a reply. */
    public void drop() {
        if (mReplied.compareAndSet(false, true)) {
            mRequest.getContext().getConnection().closeSilently();
            mResponse.resume();
        }
    }
}
