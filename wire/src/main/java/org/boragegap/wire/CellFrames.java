package org.boragegap.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.cell.CellMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes frames about cells field by field, as a sequence of MessagePack values whose first value
 * is the kind of the frame. Most frames between entry VMs are of these kinds, so they are encoded
 * without reflection, on which a process would otherwise spend its first moments after the start.
 */
final class CellFrames {
    /** Kinds of frames. The ordinal is the first value of a frame, so the order must not change. */
    private enum Kind {
        PING,
        PONG,
        CELL,
        BATCH;

        private static final Kind[] KINDS = values();

        static Kind of(int number) throws WireException {
            if (number < 0 || number >= KINDS.length) {
                throw new WireException("unknown kind of frame: " + number, null);
            }
            return KINDS[number];
        }
    }

    private CellFrames() {}

    /** Returns true if this class encodes the message. */
    static boolean supports(PeerMessage message) {
        return message instanceof PeerMessage.Cell
                || message instanceof PeerMessage.Batch
                || message instanceof PeerMessage.Ping
                || message instanceof PeerMessage.Pong;
    }

    /** Returns true if the frame starts with the number of a {@link Kind}. */
    static boolean isCellFrame(byte[] bytes) {
        return bytes.length > 0 && bytes[0] >= 0 && bytes[0] < Kind.KINDS.length;
    }

    static byte[] encode(PeerMessage message) throws WireException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (message instanceof PeerMessage.Ping) {
                packer.packInt(Kind.PING.ordinal());
            } else if (message instanceof PeerMessage.Pong) {
                packer.packInt(Kind.PONG.ordinal());
            } else if (message instanceof PeerMessage.Cell cell) {
                packer.packInt(Kind.CELL.ordinal());
                pack(packer, cell);
            } else {
                packer.packInt(Kind.BATCH.ordinal());
                packCells(packer, ((PeerMessage.Batch) message).messages());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new WireException("can't encode message", e);
        }
    }

    private static void packCells(MessageBufferPacker packer, List<PeerMessage.Cell> cells)
            throws IOException {
        packer.packInt(cells.size());
        for (PeerMessage.Cell cell : cells) {
            pack(packer, cell);
        }
    }

    private static void pack(MessageBufferPacker packer, PeerMessage.Cell cell) throws IOException {
        packer.packString(cell.from());
        packer.packInt(cell.cell());
        CellFields.of(cell.message()).pack(packer, cell.message());
    }

    static PeerMessage decode(byte[] bytes) throws WireException {
        try {
            checkLengths(bytes);
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
                return unpack(unpacker);
            }
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            // MessagePack reports a truncated frame by an unchecked exception.
            throw new WireException("can't decode frame", e);
        }
    }

    /**
     * Rejects a frame that declares more data than it contains. Otherwise, a frame of a few bytes
     * could cause the allocation of a string of two gigabytes. Skipping values allocates nothing.
     */
    private static void checkLengths(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            while (unpacker.hasNext()) {
                unpacker.skipValue();
            }
        }
    }

    private static PeerMessage unpack(MessageUnpacker unpacker) throws IOException, WireException {
        return switch (Kind.of(unpacker.unpackInt())) {
            case PING -> new PeerMessage.Ping();
            case PONG -> new PeerMessage.Pong();
            case CELL -> unpackCell(unpacker);
            case BATCH -> unpackBatch(unpacker);
        };
    }

    private static PeerMessage.Batch unpackBatch(MessageUnpacker unpacker)
            throws IOException, WireException {
        int count = unpacker.unpackInt();
        List<PeerMessage.Cell> cells = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            cells.add(unpackCell(unpacker));
        }
        return new PeerMessage.Batch(cells);
    }

    private static PeerMessage.Cell unpackCell(MessageUnpacker unpacker)
            throws IOException, WireException {
        String from = unpacker.unpackString();
        int cell = unpacker.unpackInt();
        CellMessage message = CellFields.of(unpacker.unpackInt()).unpack(unpacker);
        return new PeerMessage.Cell(from, cell, message);
    }
}
