package driftchute.fleet.session;

import driftchute.fleet.FrameCodec;
import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Some of the sender's own counters, all of the process that sends them. */
record CountersMessage(long processGeneration, List<Row> rows) implements Message {
    static final int TYPE = 0x62;

    /** One session's counters within an epoch. */
    record Row(long session, int epoch, Counters counters) {
        int size() {
            return Long.BYTES + Varint.size(epoch) + counters.size();
        }
    }

    CountersMessage {
        rows = List.copyOf(rows);
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return Varint.size(processGeneration)
                + rows.stream().mapToInt(Row::size).sum();
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, processGeneration);
        for (final Row row : rows) {
            into.putLong(row.session());
            Varint.put(into, row.epoch());
            row.counters().write(into);
        }
    }

    /**
     * Reads rows to the end of the body, so that their number need not be sent.
     *
     * @throws MalformedMessageException for an impossible epoch
     * @throws IllegalArgumentException for impossible counters
     */
    static CountersMessage read(final ByteBuffer from) throws MalformedMessageException {
        final long processGeneration = Varint.get(from);
        final List<Row> rows = new ArrayList<>();
        while (from.hasRemaining()) {
            final long session = from.getLong();
            final long epoch = Varint.get(from);
            if (epoch > SessionState.MAX_EPOCH) {
                throw new MalformedMessageException("invalid session epoch: " + epoch);
            }
            rows.add(new Row(session, (int) epoch, Counters.read(processGeneration, from)));
        }
        return new CountersMessage(processGeneration, rows);
    }

    /** Maximum size of rows in a datagram that has {@code left} bytes for this message with its prefix. */
    static int room(final long processGeneration, final int left) {
        return Math.min(left - DemotionGossip.PREFIX_BYTES, FrameCodec.MAX_BODY_BYTES) - Varint.size(processGeneration);
    }
}
