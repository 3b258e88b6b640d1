package driftchute.fleet.session;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * A session's epoch, sent because of a demotion ({@code isAnswer} false: asks for an answer) or as the answer.
 *
 * @param epoch 1 to 2^20
 */
record DemotionMessage(boolean isAnswer, long session, int epoch) implements Message {
    static final int DEMOTED = 0x60;
    static final int ACKNOWLEDGED = 0x61;

    @Override
    public int type() {
        return isAnswer ? ACKNOWLEDGED : DEMOTED;
    }

    @Override
    public int size() {
        return Long.BYTES + Varint.size(epoch);
    }

    @Override
    public void write(final ByteBuffer into) {
        into.putLong(session);
        Varint.put(into, epoch);
    }

    /**
     * Reads a demotion.
     *
     * @throws MalformedMessageException for an impossible epoch
     */
    static DemotionMessage read(final boolean heard, final ByteBuffer from) throws MalformedMessageException {
        final long session = from.getLong();
        final long epoch = Varint.get(from);
        if (epoch < 1 || epoch > SessionState.MAX_EPOCH) {
            throw new MalformedMessageException("invalid session epoch: " + epoch);
        }
        return new DemotionMessage(heard, session, (int) epoch);
    }
}
