package driftchute.fleet.ration;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The allocator's answer to the request with that sequence number, under its token. The shares are valid for {@code
 * rationMs} from when the request was sent, on its sender's clock and less the drift.
 */
record LeaseGrant(long seq, long token, int leaseMs, List<GrantedShare> shares) implements Message {
    static final int TYPE = 0x31;

    /** A share of a destination's limit, and the limit it is based on, calls per second. */
    record GrantedShare(long destination, int share, float limit) {}

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return Varint.size(seq)
                + Varint.size(token)
                + Varint.size(leaseMs)
                + shares.stream()
                        .mapToInt(portion -> Varint.size(portion.destination()) + Short.BYTES + Float.BYTES)
                        .sum();
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, seq);
        Varint.put(into, token);
        Varint.put(into, leaseMs);
        for (final GrantedShare portion : shares) {
            Varint.put(into, portion.destination());
            into.putShort((short) portion.share()).putFloat(portion.limit());
        }
    }

    static LeaseGrant read(final ByteBuffer body) throws MalformedMessageException {
        final long seq = Varint.get(body);
        final long token = Varint.get(body);
        final int rationMs = LeaseRequest.readLeaseMs(body);
        final List<GrantedShare> portions = new ArrayList<>();
        while (body.hasRemaining()) {
            portions.add(new GrantedShare(
                    Varint.get(body), body.getShort() & LimitShares.WHOLE, LeaseRequest.readRate(body)));
        }
        return new LeaseGrant(seq, token, rationMs, portions);
    }
}
