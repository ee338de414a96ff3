package org.boragegap.wire;

import java.io.IOException;
import org.boragegap.core.cell.Verdict;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The encoding of each verdict in a frame: the number of its type, then its components. The number
 * is the ordinal of the constant, so the order of the constants is part of the wire format.
 */
enum VerdictFields {
    COMPLETED {
        @Override
        Verdict unpackFields(MessageUnpacker unpacker) {
            return new Verdict.Completed();
        }
    },
    FAILED {
        @Override
        Verdict unpackFields(MessageUnpacker unpacker) throws IOException {
            return new Verdict.Failed(unpacker.unpackString());
        }
    },
    DECLINED {
        @Override
        Verdict unpackFields(MessageUnpacker unpacker) throws IOException {
            return new Verdict.Declined(unpacker.unpackString(), unpacker.unpackLong());
        }
    },
    IN_DOUBT {
        @Override
        Verdict unpackFields(MessageUnpacker unpacker) throws IOException {
            return new Verdict.InDoubt(unpacker.unpackString());
        }
    };

    private static final VerdictFields[] ALL = values();

    abstract Verdict unpackFields(MessageUnpacker unpacker) throws IOException;

    static void pack(MessagePacker packer, Verdict verdict) throws IOException {
        if (verdict instanceof Verdict.Completed) {
            packer.packInt(COMPLETED.ordinal());
        } else if (verdict instanceof Verdict.Failed failed) {
            packer.packInt(FAILED.ordinal()).packString(failed.reason());
        } else if (verdict instanceof Verdict.Declined declined) {
            packer.packInt(DECLINED.ordinal()).packString(declined.reason());
            packer.packLong(declined.retryAfterMs());
        } else {
            packer.packInt(IN_DOUBT.ordinal()).packString(verdict.reason());
        }
    }

    static Verdict unpack(MessageUnpacker unpacker) throws IOException {
        int number = unpacker.unpackInt();
        if (number < 0 || number >= ALL.length) {
            throw new IOException("unknown verdict: " + number);
        }
        return ALL[number].unpackFields(unpacker);
    }
}
