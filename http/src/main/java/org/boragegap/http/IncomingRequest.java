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

/** One request that came in, with its whole body; it is replied to once, on any thread. */
public final class IncomingRequest {
    private final Request mRequest;
    private final Response mResponse;
    private final byte[] mBody;
    private final AtomicBoolean mReplied = new AtomicBoolean();

    /** Takes back what {@link #onClosedBeforeReply} has asked for. */
    private volatile Runnable mRemoveCloseListener = () -> {};

    IncomingRequest(Request request, Response response, byte[] body) {
        mRequest = request;
        mResponse = response;
        mBody = body;
    }

    /** HTTP method. */
    public String method() {
        return mRequest.getMethod().getMethodString();
    }

    /** Path without the query. */
    public String path() {
        return mRequest.getRequestURI();
    }

    /** A query parameter. */
    public Optional<String> query(String name) {
        return Optional.ofNullable(mRequest.getParameter(name));
    }

    /** A header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.getHeader(name));
    }

    /** The body. */
    public byte[] body() {
        return mBody;
    }

    /**
     * Calls back when the caller closes its connection before the reply; to be called once. The
     * reply ends this: else a connection that a caller keeps open held on to each request that came
     * over it, memory grew with each, and replies looked through all of them. Reading is switched
     * on for that: the server doesn't read from a connection that waits for a reply, and would not
     * see the end.
     */
    @SuppressWarnings({"rawtypes", "unchecked", "deprecation"})
    public void onClosedBeforeReply(Runnable left) {
        Connection<?> connection = mRequest.getContext().getConnection();
        CloseListener<Closeable, ICloseType> listener =
                (closeable, type) -> {
                    if (!mReplied.get()) {
                        left.run();
                    }
                };
        connection.addCloseListener(listener);
        mRemoveCloseListener = () -> connection.removeCloseListener(listener);
        if (mReplied.get()) {
            // Replied to by another thread meanwhile, which found nothing to forget yet.
            mRemoveCloseListener.run();
        }
        try {
            connection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            left.run();
        }
    }

    /** Asks for the connection to be closed after the reply; to be called before it. */
    public void closeAfterReply() {
        mResponse.setHeader("Connection", "close");
    }

    /** The body as UTF-8. */
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

    /** Replies; only the first reply counts. */
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
            // The caller has gone away; there is nobody to tell.
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
