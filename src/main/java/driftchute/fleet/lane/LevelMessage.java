package driftchute.fleet.lane;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * The allocator's level for a destination. Each message has its own version, so that a late or duplicate one does not
 * extend its validity.
 *
 * @param digest the configuration that numbers the lanes
 */
record LevelMessage(int digest, long destination, LevelVersion version, SheddingLevel level) implements Message {
    static final int TYPE = 0x51;
    private static final int FIXED = Integer.BYTES + Long.BYTES + 1;

    static Message read(final ByteBuffer body) throws MalformedMessageException {
        final int digest = body.getInt();
        final long destination = body.getLong();
        final LevelVersion version = new LevelVersion(Varint.get(body), Varint.get(body));
        final long epoch = Varint.get(body);
        final int[] cuts = new int[LaneFields.count(body)];
        for (int i = 0; i < cuts.length; i++) {
            cuts[i] = (int) LaneFields.atMost(SheddingLevel.SCALE, body);
        }
        return new LevelMessage(digest, destination, version, new SheddingLevel(epoch, cuts));
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        int size = FIXED + Varint.size(version.token()) + Varint.size(version.sequence()) + Varint.size(level.epoch());
        for (int i = 0; i < level.lanes(); i++) {
            size += Varint.size(level.cutOf(i));
        }
        return size;
    }

    @Override
    public void write(final ByteBuffer into) {
        into.putInt(digest).putLong(destination);
        Varint.put(into, version.token());
        Varint.put(into, version.sequence());
        Varint.put(into, level.epoch());
        into.put((byte) level.lanes());
        for (int i = 0; i < level.lanes(); i++) {
            Varint.put(into, level.cutOf(i));
        }
    }
}
