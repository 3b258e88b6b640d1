package driftchute.fleet.lease;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * A positive reply of an acceptor.
 *
 * @param type one of the constants
 * @param role the role's number
 * @param processId the process that asked
 * @param serial number of its request
 */
record AcceptorReply(int type, int role, int processId, long serial) implements Message {
    /** Reply to a prepare: promised. */
    static final int PROMISED = 0x24;
    /** Reply to a propose or renew: accepted. */
    static final int ACCEPTED = 0x25;
    /** Maximum number of roles in a tier, so that a role number takes one byte. */
    static final int MAX_ROLES = 128;

    @Override
    public int size() {
        return Varint.size(role) + Integer.BYTES + Varint.size(serial);
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, role);
        into.putInt(processId);
        Varint.put(into, serial);
    }

    static Message read(final int type, final ByteBuffer body) throws MalformedMessageException {
        return new AcceptorReply(type, readRole(body), body.getInt(), Varint.get(body));
    }

    static int readRole(final ByteBuffer body) throws MalformedMessageException {
        final long duty = Varint.get(body);
        if (duty >= MAX_ROLES) {
            throw new MalformedMessageException("invalid role number " + duty);
        }
        return (int) duty;
    }
}
