package org.boragegap.http;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.HttpStatus;

/** Assembles requests from what the HTTP codec has parsed, and passes on whole ones. */
final class RequestFilter extends BaseFilter {
    private static final int CONTENT_TOO_LARGE = 413;

    /** Time without a request after which a connection is closed, in ms. */
    private static final long MAX_IDLE_MS = 30_000;

    private final int mMaxBodyBytes;
    private final Consumer<IncomingRequest> mHandler;
    private final Map<Connection<?>, Incoming> mIncoming = new ConcurrentHashMap<>();

    /** A connection, and the body of the request that is being read on it. */
    private static final class Incoming {
        private final ServerConnection mConnection;
        private ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private boolean mBegun;
        private boolean mRejected;

        private Incoming(ServerConnection connection) {
            mConnection = connection;
        }

        private void read(
                HttpRequestPacket packet, byte[] body, Consumer<IncomingRequest> handler) {
            mConnection.read(IncomingRequest.create(packet, body, mConnection), handler);
        }

        private byte[] takeBody() {
            byte[] body = mBody.toByteArray();
            mBody = new ByteArrayOutputStream();
            mBegun = false;
            return body;
        }
    }

    RequestFilter(int maxBodyBytes, Consumer<IncomingRequest> handler) {
        mMaxBodyBytes = maxBodyBytes;
        mHandler = handler;
    }

    @Override
    public NextAction handleAccept(FilterChainContext context) {
        Connection<?> connection = context.getConnection();
        mIncoming.put(
                connection, new Incoming(new ServerConnection(connection, HttpClient.nowMs())));
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Incoming incoming = mIncoming.remove(context.getConnection());
        if (incoming != null) {
            incoming.mConnection.closed();
        }
        return context.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        HttpContent content = context.getMessage();
        HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
        Incoming incoming = mIncoming.get(context.getConnection());
        if (incoming == null || incoming.mRejected) {
            return context.getStopAction();
        }
        if (!incoming.mBegun) {
            incoming.mBegun = true;
            acknowledge(context, packet);
        }
        append(content.getContent(), incoming.mBody);
        if (incoming.mBody.size() > mMaxBodyBytes || packet.getContentLength() > mMaxBodyBytes) {
            incoming.mRejected = true;
            incoming.read(packet, new byte[0], this::rejectTooLarge);
        } else if (content.isLast()) {
            incoming.read(packet, incoming.takeBody(), mHandler);
        }
        return context.getStopAction();
    }

    private static void append(Buffer part, ByteArrayOutputStream body) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        body.writeBytes(bytes);
    }

    /** Asks for the body if the client waits for that. */
    private void acknowledge(FilterChainContext context, HttpRequestPacket packet) {
        if (!packet.requiresAcknowledgement() || packet.getContentLength() > mMaxBodyBytes) {
            return;
        }
        HttpResponsePacket response = packet.getResponse();
        response.setStatus(HttpStatus.CONINTUE_100);
        response.setAcknowledgement(true);
        context.write(HttpContent.builder(response).build());
        response.acknowledged();
    }

    private void rejectTooLarge(IncomingRequest request) {
        String problem =
                "{\"title\":\"Body too large\",\"status\":413,\"outcome\":\"not_run\","
                        + "\"detail\":\"the body may have "
                        + mMaxBodyBytes
                        + " bytes\"}";
        request.closeAfterReply();
        request.reply(CONTENT_TOO_LARGE, "application/problem+json", Map.of(), problem);
    }

    /** Closes each connection as soon as no request waits on it. */
    void closeWhenDone() {
        mIncoming.values().forEach(incoming -> incoming.mConnection.closeWhenDone());
    }

    /** Closes the connections that were without a request for long. */
    void closeIdle() {
        long nowMs = HttpClient.nowMs();
        mIncoming.values().stream()
                .map(incoming -> incoming.mConnection)
                .filter(connection -> connection.idleFor(MAX_IDLE_MS, nowMs))
                .forEach(ServerConnection::drop);
    }

    /** True while some connection is open. */
    boolean hasConnections() {
        return !mIncoming.isEmpty();
    }
}
