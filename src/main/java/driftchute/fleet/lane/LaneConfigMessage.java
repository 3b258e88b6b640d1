package driftchute.fleet.lane;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * The latest lane configuration of its sender. No courier reports another's, so that none can fake a majority.
 *
 * @param requestsReply the sender has not heard which configuration the receiver has
 */
record LaneConfigMessage(int version, int digest, boolean requestsReply) implements Message {
    static final int TYPE = 0x52;

    static Message read(final ByteBuffer body) throws MalformedMessageException {
        final int asks = body.get();
        if (asks < 0 || asks > 1) {
            throw new MalformedMessageException("invalid boolean: " + asks);
        }
        return new LaneConfigMessage((int) LaneFields.atMost(Integer.MAX_VALUE, body), body.getInt(), asks == 1);
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return 1 + Varint.size(version) + Integer.BYTES;
    }

    @Override
    public void write(final ByteBuffer into) {
        into.put((byte) (requestsReply ? 1 : 0));
        Varint.put(into, version);
        into.putInt(digest);
    }
}
