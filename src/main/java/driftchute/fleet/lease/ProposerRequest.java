package driftchute.fleet.lease;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * A request or notification from a proposer to an acceptor about one role. The ballot's courier is the sender.
 *
 * @param type one of the constants
 * @param role the role's number
 * @param processId the sender's process
 * @param serial number of the request in that process; repetitions have the same
 * @param round the ballot's round
 * @param leaseMs the sender's lease time, ms
 */
record ProposerRequest(int type, int role, int processId, long serial, long round, long leaseMs) implements Message {
    /** Asks for a promise to accept a ballot. */
    static final int PREPARE = 0x20;
    /** Proposes the sender as holder. */
    static final int PROPOSE = 0x21;
    /** Renews the sender's lease. */
    static final int RENEW = 0x22;
    /** Announces that the sender does not hold the role by this ballot or an earlier one. */
    static final int RELEASE = 0x23;

    @Override
    public int size() {
        return Varint.size(role) + Integer.BYTES + Varint.size(serial) + Varint.size(round) + Varint.size(leaseMs);
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, role);
        into.putInt(processId);
        Varint.put(into, serial);
        Varint.put(into, round);
        Varint.put(into, leaseMs);
    }

    static Message read(final int type, final ByteBuffer body) throws MalformedMessageException {
        return new ProposerRequest(
                type,
                AcceptorReply.readRole(body),
                body.getInt(),
                Varint.get(body),
                Varint.get(body),
                Varint.get(body));
    }
}
