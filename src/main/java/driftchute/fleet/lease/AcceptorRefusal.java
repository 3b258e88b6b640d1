package driftchute.fleet.lease;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * A negative reply of an acceptor.
 *
 * @param role the role's number
 * @param processId the process that asked
 * @param serial number of its request
 * @param token the highest token that prevents it, 0 if none
 * @param lockedMs how long the acceptor is still locked by another process, ms; 0 if it is not
 */
record AcceptorRefusal(int role, int processId, long serial, long token, long lockedMs) implements Message {
    static final int REFUSED = 0x26;

    @Override
    public int type() {
        return REFUSED;
    }

    @Override
    public int size() {
        return Varint.size(role) + Integer.BYTES + Varint.size(serial) + Varint.size(token) + Varint.size(lockedMs);
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, role);
        into.putInt(processId);
        Varint.put(into, serial);
        Varint.put(into, token);
        Varint.put(into, lockedMs);
    }

    static Message read(final ByteBuffer body) throws MalformedMessageException {
        return new AcceptorRefusal(
                AcceptorReply.readRole(body), body.getInt(), Varint.get(body), Varint.get(body), Varint.get(body));
    }
}
