package driftchute.fleet;

import java.nio.ByteBuffer;

/**
 * One thing that a courier tells another; a datagram holds several. Types: membership 0x10 to 0x1F, leases 0x20, rations
 * 0x30, verdicts 0x40, lanes 0x50, sessions 0x60, each with sixteen.
 */
public interface Message {
    /** Its type, 1 to 255. */
    int type();

    /** Bytes of its body, at most {@link Codec#MOST_BODY}. */
    int size();

    /** Writes exactly {@link #size()} bytes. */
    void write(ByteBuffer into);

    /** Reads the body of one type. */
    interface Reader {
        /**
         * Reads a body to its end; what is left over, or missing, makes the frame unreadable.
         *
         * @throws MalformedMessageException where the bytes mean nothing
         * @throws java.nio.BufferUnderflowException where they end early (the codec treats it the same)
         */
        Message read(ByteBuffer body) throws MalformedMessageException;
    }
}
