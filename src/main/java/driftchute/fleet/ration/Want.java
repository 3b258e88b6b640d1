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
 * rationMs} and {@code reserve} (see {@link Shares}) are the courier's own settings.
 */
record Want(long seq, int rationMs, int reserve, List<Ask> asks) implements Message {
    static final int TYPE = 0x30;
    /** Upper bound of plausible rates, calls per second. */
    static final float MAX_RATE = 1e9f;
    /** Longest lease time that a configuration may set, ms. */
    static final int MAX_MS = 60_000;
    /** Maximum size of a demand, or of a granted share, beside its destination: two floats, bytes. */
    static final int FIGURES = 2 * Float.BYTES;
    /**
     * Maximum size of a request's demands, so that the grant, with two varints and a time, also fits into one message.
     */
    static final int MAX_ASKS = FrameCodec.MAX_BODY - 24;

    /** The reported limit, calls per second (0: none), and the rate that the courier could use (0: none needed). */
    record Ask(long destination, float limit, float demand) {
        int size() {
            return Varint.size(destination) + FIGURES;
        }
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return Varint.size(seq)
                + Varint.size(rationMs)
                + Short.BYTES
                + asks.stream().mapToInt(Ask::size).sum();
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, seq);
        Varint.put(into, rationMs);
        into.putShort((short) reserve);
        for (final Ask ask : asks) {
            Varint.put(into, ask.destination());
            into.putFloat(ask.limit()).putFloat(ask.demand());
        }
    }

    static Want read(final ByteBuffer body) throws MalformedMessageException {
        final long seq = Varint.get(body);
        final int rationMs = time(body);
        final int reserve = body.getShort() & Shares.WHOLE;
        final List<Ask> asks = new ArrayList<>();
        while (body.hasRemaining()) {
            asks.add(new Ask(Varint.get(body), rate(body), rate(body)));
        }
        return new Want(seq, rationMs, reserve, asks);
    }

    static int time(final ByteBuffer body) throws MalformedMessageException {
        final long rationMs = Varint.get(body);
        if (rationMs < 1 || rationMs > MAX_MS) {
            throw new MalformedMessageException("invalid lease time of " + rationMs + " ms");
        }
        return (int) rationMs;
    }

    static float rate(final ByteBuffer body) throws MalformedMessageException {
        final float rate = body.getFloat();
        if (!(rate >= 0 && rate <= MAX_RATE)) {
            throw new MalformedMessageException(rate + " calls per second is out of bounds");
        }
        return rate;
    }
}
