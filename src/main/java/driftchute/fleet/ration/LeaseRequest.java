package driftchute.fleet.ration;

import driftchute.fleet.FrameCodec;
import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A courier's request to the allocator. The sequence number grows with each request and across restarts; {@code
 * rationMs} and {@code reserve} (see {@link LimitShares}) are the courier's own settings.
 */
record LeaseRequest(long seq, int leaseMs, int reserve, List<Demand> demands) implements Message {
    static final int TYPE = 0x30;
    /** Upper bound of plausible rates, calls per second. */
    static final float MAX_RATE = 1e9f;
    /** Longest lease time that a configuration may set, ms. */
    static final int MAX_LEASE_MS = 60_000;
    /** Maximum size of a demand, or of a granted share, beside its destination: two floats, bytes. */
    static final int FIGURES_BYTES = 2 * Float.BYTES;
    /**
     * Maximum size of a request's demands, so that the grant, with two varints and a time, also fits into one message.
     */
    static final int MAX_DEMANDS_BYTES = FrameCodec.MAX_BODY_BYTES - 24;

    /** The reported limit, calls per second (0: none), and the rate that the courier could use (0: none needed). */
    record Demand(long destination, float limit, float rate) {
        int size() {
            return Varint.size(destination) + FIGURES_BYTES;
        }
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return Varint.size(seq)
                + Varint.size(leaseMs)
                + Short.BYTES
                + demands.stream().mapToInt(Demand::size).sum();
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, seq);
        Varint.put(into, leaseMs);
        into.putShort((short) reserve);
        for (final Demand ask : demands) {
            Varint.put(into, ask.destination());
            into.putFloat(ask.limit()).putFloat(ask.rate());
        }
    }

    static LeaseRequest read(final ByteBuffer body) throws MalformedMessageException {
        final long seq = Varint.get(body);
        final int rationMs = readLeaseMs(body);
        final int reserve = body.getShort() & LimitShares.WHOLE;
        final List<Demand> asks = new ArrayList<>();
        while (body.hasRemaining()) {
            asks.add(new Demand(Varint.get(body), readRate(body), readRate(body)));
        }
        return new LeaseRequest(seq, rationMs, reserve, asks);
    }

    static int readLeaseMs(final ByteBuffer body) throws MalformedMessageException {
        final long rationMs = Varint.get(body);
        if (rationMs < 1 || rationMs > MAX_LEASE_MS) {
            throw new MalformedMessageException("invalid lease time of " + rationMs + " ms");
        }
        return (int) rationMs;
    }

    static float readRate(final ByteBuffer body) throws MalformedMessageException {
        final float rate = body.getFloat();
        if (!(rate >= 0 && rate <= MAX_RATE)) {
            throw new MalformedMessageException(rate + " calls per second is out of bounds");
        }
        return rate;
    }
}
