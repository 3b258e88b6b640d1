package driftchute.fleet;

import java.nio.ByteBuffer;

/** Unsigned integers in groups of seven bits, the lowest first (LEB128, DWARF 4, section 7.6). */
public final class Varint {
    private static final int GROUP = 7;
    private static final int MORE = 0x80;
    private static final int MAX_BITS = 63;

    private Varint() {}

    /** Encoded size of a non-negative number, bytes. */
    public static int size(final long value) {
        return Math.max(1, (Long.SIZE - Long.numberOfLeadingZeros(value) + GROUP - 1) / GROUP);
    }

    /**
     * Writes a number.
     *
     * @throws IllegalArgumentException for a negative number
     */
    public static void put(final ByteBuffer into, final long value) {
        if (value < 0) {
            throw new IllegalArgumentException("negative number: " + value);
        }
        long rest = value;
        while (rest >= MORE) {
            into.put((byte) (rest & (MORE - 1) | MORE));
            rest >>>= GROUP;
        }
        into.put((byte) rest);
    }

    /**
     * Reads a number.
     *
     * @throws MalformedMessageException for a number above 63 bits
     */
    public static long get(final ByteBuffer from) throws MalformedMessageException {
        long value = 0;
        for (int shift = 0; shift < MAX_BITS; shift += GROUP) {
            final byte next = from.get();
            value |= (long) (next & (MORE - 1)) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw new MalformedMessageException("a number of more than 63 bits");
    }
}
