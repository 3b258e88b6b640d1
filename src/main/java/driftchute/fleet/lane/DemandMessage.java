package driftchute.fleet.lane;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/**
 * A courier's offered load for a destination, by lane, in tenths of a message per second.
 *
 * @param digest the configuration that numbers the lanes
 */
record DemandMessage(int digest, long destination, List<Long> tenths) implements Message {
    static final int TYPE = 0x50;
    /** Upper bound, ten million messages per second: far beyond one process, and sums over any fleet stay exact. */
    private static final long MAX_TENTHS = 100_000_000L;

    private static final double TENTHS = 10;
    private static final int FIXED = Integer.BYTES + Long.BYTES + 1;

    DemandMessage {
        tenths = List.copyOf(tenths);
    }

    static DemandMessage of(final int digest, final long destination, final double[] perSecond) {
        return new DemandMessage(
                digest,
                destination,
                Arrays.stream(perSecond)
                        .mapToObj(rate -> Math.min(MAX_TENTHS, Math.max(0, Math.round(rate * TENTHS))))
                        .toList());
    }

    static Message read(final ByteBuffer body) throws MalformedMessageException {
        final int digest = body.getInt();
        final long destination = body.getLong();
        final Long[] tenths = new Long[LaneFields.count(body)];
        for (int i = 0; i < tenths.length; i++) {
            tenths[i] = LaneFields.atMost(MAX_TENTHS, body);
        }
        return new DemandMessage(digest, destination, List.of(tenths));
    }

    /** Messages per second by lane. */
    double[] perSecond() {
        return tenths.stream().mapToDouble(each -> each / TENTHS).toArray();
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return FIXED + tenths.stream().mapToInt(Varint::size).sum();
    }

    @Override
    public void write(final ByteBuffer into) {
        into.putInt(digest).putLong(destination).put((byte) tenths.size());
        tenths.forEach(each -> Varint.put(into, each));
    }
}
