package org.boragegap.wire;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.job.Answer;
import org.boragegap.core.placement.LoanMessage;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes peer messages as MessagePack and decodes them. Messages about cells have an encoding of
 * their own, see {@link CellFrames}; all others are maps, as Jackson writes records.
 */
public final class PeerCodec {
    /** Initialized with the first message that isn't about cells; a VM in a cell never needs it. */
    private static final class MapperHolder {
        private static final ObjectMapper MAPPER = newMapper();
        private static final ObjectWriter WRITER = MAPPER.writerFor(PeerMessage.class);
        private static final ObjectReader READER = MAPPER.readerFor(PeerMessage.class);
    }

    /** Identifies the type of a message by its simple class name in the field {@code t}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
    private interface TypeByName {}

    private PeerCodec() {}

    /** Creates a codec, which is thread-safe. */
    public static PeerCodec create() {
        return new PeerCodec();
    }

    private static ObjectMapper newMapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.registerModule(new Jdk8Module());
        registerSubtypes(mapper, PeerMessage.class);
        registerSubtypes(mapper, ClaimMessage.class);
        registerSubtypes(mapper, Answer.class);
        registerSubtypes(mapper, LoanMessage.class);
        return mapper;
    }

    private static void registerSubtypes(ObjectMapper mapper, Class<?> sealedType) {
        mapper.addMixIn(sealedType, TypeByName.class);
        for (Class<?> type : sealedType.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
    }

    /** Encodes a message. */
    public byte[] encode(PeerMessage message) throws WireException {
        if (CellFrames.supports(message)) {
            return CellFrames.encode(message);
        }
        try {
            return MapperHolder.WRITER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new WireException("can't encode message", e);
        }
    }

    /** Decodes a message. */
    public PeerMessage decode(byte[] bytes) throws WireException {
        if (CellFrames.isCellFrame(bytes)) {
            return CellFrames.decode(bytes);
        }
        try {
            checkLengths(bytes);
            PeerMessage message = MapperHolder.READER.readValue(bytes);
            if (message == null) {
                throw new WireException("frame contains no message", null);
            }
            return message;
        } catch (IOException | MessagePackException e) {
            // MessagePack reports a truncated frame by an unchecked exception.
            throw new WireException("can't decode frame", e);
        }
    }

    /**
     * Rejects a frame that declares more data than it contains. Otherwise, the mapper would
     * allocate up to two gigabytes for a string of a few bytes, and the process would run out of
     * memory. Skipping through the frame allocates nothing and fails at the first invalid length.
     */
    private static void checkLengths(byte[] bytes) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
        }
    }
}
