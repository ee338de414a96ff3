package org.boragegap.wire;

import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Splits a byte stream into frames: a length of four bytes, then that many bytes of MessagePack.
 *
 * <p>A frame with an invalid length or undecodable content closes its connection. The process and
 * the other connections are not affected.
 */
final class FrameFilter extends BaseFilter {
    static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    private static final int HEADER_BYTES = Integer.BYTES;
    private static final Logger sLog = LogManager.getLogger(FrameFilter.class);

    private final PeerCodec mCodec;

    /** The most recently encoded message, so that a heartbeat sent to all peers is encoded once. */
    private volatile Encoded mLastEncoded = new Encoded(null, new byte[0]);

    private record Encoded(PeerMessage message, byte[] bytes) {}

    FrameFilter(PeerCodec codec) {
        mCodec = codec;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) throws IOException {
        Buffer input = context.getMessage();
        if (input.remaining() < HEADER_BYTES) {
            return context.getStopAction(input);
        }
        int length = input.getInt(input.position());
        if (length <= 0 || length > MAX_FRAME_BYTES) {
            return reject(context, "frame length " + length + " is not in 1.." + MAX_FRAME_BYTES);
        }
        if (input.remaining() < HEADER_BYTES + length) {
            return context.getStopAction(input);
        }
        int end = input.position() + HEADER_BYTES + length;
        Buffer rest = input.limit() > end ? input.split(end) : null;
        input.getInt();
        byte[] bytes = new byte[length];
        input.get(bytes);
        input.tryDispose();
        try {
            context.setMessage(mCodec.decode(bytes));
        } catch (WireException e) {
            return reject(context, e.getMessage());
        }
        return context.getInvokeAction(rest);
    }

    private static NextAction reject(FilterChainContext context, String reason) {
        sLog.warn("closing peer connection {}: {}", context.getAddress(), reason);
        context.getConnection().closeSilently();
        return context.getStopAction();
    }

    @Override
    public NextAction handleWrite(FilterChainContext context) throws IOException {
        byte[] bytes = encode(context.getMessage());
        MemoryManager<?> memory = context.getMemoryManager();
        Buffer frame = memory.allocate(HEADER_BYTES + bytes.length);
        frame.putInt(bytes.length);
        frame.put(bytes);
        frame.flip();
        frame.allowBufferDispose(true);
        context.setMessage(frame);
        return context.getInvokeAction();
    }

    private byte[] encode(PeerMessage message) throws IOException {
        Encoded last = mLastEncoded;
        if (last.message() == message) {
            return last.bytes();
        }
        try {
            byte[] bytes = mCodec.encode(message);
            mLastEncoded = new Encoded(message, bytes);
            return bytes;
        } catch (WireException e) {
            throw new IOException(e);
        }
    }
}
