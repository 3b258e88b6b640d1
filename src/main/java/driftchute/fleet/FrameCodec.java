package driftchute.fleet;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes frames: datagrams of at most 256 bytes (PROTOCOL-irishead.md, Between couriers) with a version,
 * the tier's epoch and messages. Invalid input is counted by reason and dropped; no input makes it throw.
 */
public final class FrameCodec {
    /** Maximum size of a datagram, bytes. A longer one violates the protocol. */
    public static final int MAX_BYTES = 256;
    /** Version of the frames that this release writes. */
    static final int VERSION = 1;
    /** Size of the version and the epoch, bytes. */
    static final int HEADER_BYTES = 5;
    /** Size of the type and length before each body, bytes. */
    static final int PREFIX_BYTES = 2;
    /** Maximum body of a message that has a datagram to itself, bytes. */
    public static final int MAX_BODY_BYTES = MAX_BYTES - HEADER_BYTES - PREFIX_BYTES;

    private static final int BYTE_MASK = 0xFF;

    /** The reason for dropping a frame or one of its messages. Logged by name. */
    public enum Drop {
        VERSION,
        EPOCH,
        LENGTH,
        MALFORMED,
        TYPE
    }

    private final int epoch;
    private final Map<Integer, Message.Reader> readers;
    private final EnumMap<Drop, Long> drops = new EnumMap<>(Drop.class);

    /** Creates a codec for frames of one epoch and the message types that these readers understand. */
    public FrameCodec(final int epoch, final Map<Integer, Message.Reader> readers) {
        this.epoch = epoch;
        this.readers = new HashMap<>(readers);
    }

    /**
     * Encodes messages into one datagram.
     *
     * @throws IllegalArgumentException if they exceed {@link #MAX_BYTES}, or one reports a wrong size
     */
    public byte[] encode(final List<Message> messages) {
        final int size =
                HEADER_BYTES + messages.stream().mapToInt(FrameCodec::sizeOf).sum();
        if (size > MAX_BYTES) {
            throw new IllegalArgumentException("a datagram of " + size + " bytes; " + MAX_BYTES + " is the maximum");
        }
        final ByteBuffer into = ByteBuffer.allocate(size);
        into.put((byte) VERSION).putInt(epoch);
        for (final Message message : messages) {
            into.put((byte) message.type()).put((byte) message.size());
            final int from = into.position();
            message.write(into);
            if (into.position() - from != message.size()) {
                throw new IllegalArgumentException("the size of a message differs from the reported one: " + message);
            }
        }
        return into.array();
    }

    /** Size of a message in a datagram, bytes. */
    static int sizeOf(final Message message) {
        return PREFIX_BYTES + message.size();
    }

    /** The messages of a datagram; none if it is dropped. Messages of unknown types are left out and counted. */
    public List<Message> decode(final byte[] datagram) {
        if (datagram.length < HEADER_BYTES || datagram.length > MAX_BYTES) {
            return countDrop(Drop.LENGTH);
        }
        final ByteBuffer from = ByteBuffer.wrap(datagram);
        if ((from.get() & BYTE_MASK) != VERSION) {
            return countDrop(Drop.VERSION);
        }
        if (from.getInt() != epoch) {
            return countDrop(Drop.EPOCH);
        }
        final List<Message> messages = new ArrayList<>();
        while (from.hasRemaining()) {
            final int type = from.get() & BYTE_MASK;
            final int length = from.hasRemaining() ? from.get() & BYTE_MASK : Integer.MAX_VALUE;
            if (length > from.remaining()) {
                return countDrop(Drop.LENGTH);
            }
            final ByteBuffer body = from.slice(from.position(), length);
            from.position(from.position() + length);
            final Message.Reader reader = readers.get(type);
            if (reader == null) {
                countDrop(Drop.TYPE);
                continue;
            }
            try {
                messages.add(reader.read(body));
            } catch (final MalformedMessageException | BufferUnderflowException | IllegalArgumentException e) {
                return countDrop(Drop.MALFORMED);
            }
            if (body.hasRemaining()) {
                return countDrop(Drop.MALFORMED);
            }
        }
        return messages;
    }

    private List<Message> countDrop(final Drop why) {
        drops.merge(why, 1L, Long::sum);
        return List.of();
    }

    /** Number of dropped frames and messages by reason; reasons that never occurred are absent. */
    public Map<Drop, Long> drops() {
        return new EnumMap<>(drops);
    }
}
