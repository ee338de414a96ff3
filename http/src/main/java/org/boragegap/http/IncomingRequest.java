package org.boragegap.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** A received request with its whole body. It is replied to once, on any thread. */
public final class IncomingRequest {
    private static final String CONNECTION = "Connection";
    private static final String CLOSE = "close";

    /** Size of a request without its body that counts, in bytes. */
    private static final int HEAD_BYTES = 512;

    private final ServerConnection mConnection;
    private final HttpResponsePacket mResponse;
    private final String mMethod;
    private final String mPath;
    private final String mQuery;
    private final Map<String, String> mHeaders;
    private final byte[] mBody;
    private boolean mCloseAfterReply;
    private boolean mReplied;
    private boolean mClosed;
    private Runnable mOnClosed = () -> {};

    private IncomingRequest(HttpRequestPacket packet, byte[] body, ServerConnection connection) {
        mConnection = connection;
        mResponse = packet.getResponse();
        mMethod = packet.getMethod().getMethodString();
        mPath = packet.getRequestURI();
        mQuery = packet.getQueryString() == null ? "" : packet.getQueryString();
        mHeaders = headers(packet);
        mBody = body;
        mCloseAfterReply =
                CLOSE.equalsIgnoreCase(mHeaders.get(CONNECTION))
                        || packet.getProtocol() == Protocol.HTTP_1_0;
    }

    /** Copies what was parsed, since the buffers that the packet refers to are reused. */
    static IncomingRequest create(
            HttpRequestPacket packet, byte[] body, ServerConnection connection) {
        return new IncomingRequest(packet, body, connection);
    }

    private static Map<String, String> headers(HttpRequestPacket packet) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        packet.getHeaders()
                .names()
                .forEach(name -> headers.putIfAbsent(name, packet.getHeader(name)));
        return headers;
    }

    /** Returns the HTTP method. */
    public String method() {
        return mMethod;
    }

    /** Returns the path without the query. */
    public String path() {
        return mPath;
    }

    /** Returns a query parameter. */
    public Optional<String> query(String name) {
        for (String parameter : mQuery.split("&")) {
            int end = parameter.indexOf('=');
            if (end >= 0 && decode(parameter.substring(0, end)).equals(name)) {
                return Optional.of(decode(parameter.substring(end + 1)));
            }
        }
        return Optional.empty();
    }

    private static String decode(String encoded) {
        try {
            return URLDecoder.decode(encoded, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return encoded;
        }
    }

    /** Returns a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mHeaders.get(name));
    }

    /** Returns the body. */
    public byte[] body() {
        return mBody;
    }

    /** Size that counts while the request is queued, in bytes. */
    long sizeBytes() {
        return HEAD_BYTES + mBody.length;
    }

    /**
     * Registers a callback for the case that the client closes its connection before the reply; to
     * be called at most once.
     */
    public void onClosedBeforeReply(Runnable callback) {
        synchronized (this) {
            if (!mClosed) {
                mOnClosed = callback;
                return;
            }
        }
        callback.run();
    }

    /** The connection was closed; a request that waits for its reply can't be replied to. */
    void connectionClosed() {
        Runnable onClosed;
        synchronized (this) {
            mClosed = true;
            onClosed = mReplied ? () -> {} : mOnClosed;
        }
        onClosed.run();
    }

    /** Requests that the connection be closed after the reply; to be called before the reply. */
    public void closeAfterReply() {
        mCloseAfterReply = true;
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
        if (!markReplied()) {
            return;
        }
        mResponse.setStatus(status);
        mResponse.setContentType(contentType);
        mResponse.setContentLength(bytes.length);
        headers.forEach(mResponse::setHeader);
        boolean close =
                mConnection.closesAfterReply(
                        mCloseAfterReply || CLOSE.equalsIgnoreCase(headers.get(CONNECTION)));
        if (close) {
            mResponse.setHeader(CONNECTION, CLOSE);
        }
        HttpContent content =
                HttpContent.builder(mResponse)
                        .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes))
                        .last(true)
                        .build();
        mConnection.write(content, close, HttpClient.nowMs());
    }

    private synchronized boolean markReplied() {
        boolean first = !mReplied;
        mReplied = true;
        return first;
    }

    /** Closes the connection without a reply. */
    public void drop() {
        if (markReplied()) {
            mConnection.drop();
        }
    }
}
