package driftchute.fleet;

import java.nio.ByteBuffer;

/**
 * A message between couriers; a datagram holds several. Types by component: membership 0x10 to 0x1F, role leases 0x20,
 * rate leases 0x30, verdicts 0x40, lanes 0x50, sessions 0x60, sixteen each.
 */
public interface Message {
    /** The message type, 1 to 255. */
    int type();

    /** Size of its body in bytes, at most {@link FrameCodec#MAX_BODY_BYTES}. */
    int size();

    /** Writes exactly {@link #size()} bytes. */
    void write(ByteBuffer into);

    /** Parses the body of one message type. */
    interface Reader {
        /**
         * Parses a complete body. Bytes that are left over or missing make the frame invalid.
         *
         * @throws MalformedMessageException if the bytes are invalid
         * @throws java.nio.BufferUnderflowException if bytes are missing (the codec treats both alike)
         */
        Message read(ByteBuffer body) throws MalformedMessageException;
    }
}
