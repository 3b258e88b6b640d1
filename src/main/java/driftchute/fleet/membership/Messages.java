package driftchute.fleet.membership;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/** The messages of membership: types 0x10 to 0x18. */
final class Messages {
    /** Sequence numbers wrap around after this: three bytes, and more than can be in transit. */
    static final int MAX_SEQUENCE = (1 << 21) - 1;

    private static final int PING = 0x10;
    private static final int ACK = 0x11;
    private static final int PING_REQUEST = 0x12;
    private static final int RELAYED = 0x13;
    private static final int NACK = 0x14;
    private static final int GOSSIP = 0x15;
    private static final int CARRIER = 0x16;
    private static final int TABLE_REQUEST = 0x17;
    private static final int TABLE_SEGMENT = 0x18;

    private Messages() {}

    /** A message that is a list of non-negative numbers. */
    private interface NumberList extends Message {
        long[] numbers();

        @Override
        default int size() {
            int size = 0;
            for (final long number : numbers()) {
                size += Varint.size(number);
            }
            return size;
        }

        @Override
        default void write(final ByteBuffer into) {
            for (final long number : numbers()) {
                Varint.put(into, number);
            }
        }
    }

    /** Probes a courier. Contains the sender's incarnation and its claim about the receiver. */
    record Ping(int sequence, long incarnation, Claim claim) implements NumberList {
        @Override
        public int type() {
            return PING;
        }

        @Override
        public long[] numbers() {
            return new long[] {sequence, incarnation, claim.packed()};
        }
    }

    /** The answer to the ping with that sequence number. */
    record Ack(int sequence, long incarnation, Claim claim) implements NumberList {
        @Override
        public int type() {
            return ACK;
        }

        @Override
        public long[] numbers() {
            return new long[] {sequence, incarnation, claim.packed()};
        }
    }

    /** Asks a courier to probe another one, and to answer with this sequence number. */
    record PingRequest(int sequence, int target) implements NumberList {
        @Override
        public int type() {
            return PING_REQUEST;
        }

        @Override
        public long[] numbers() {
            return new long[] {sequence, target};
        }
    }

    /** The target of an indirect probe has answered, with this incarnation. */
    record Relayed(int sequence, long incarnation) implements NumberList {
        @Override
        public int type() {
            return RELAYED;
        }

        @Override
        public long[] numbers() {
            return new long[] {sequence, incarnation};
        }
    }

    /** The target of an indirect probe has not answered so far. It shows that sender and receiver can communicate. */
    record Nack(int sequence) implements NumberList {
        @Override
        public int type() {
            return NACK;
        }

        @Override
        public long[] numbers() {
            return new long[] {sequence};
        }
    }

    /** A claim about a courier and who made it. */
    record Gossip(int member, Claim claim, int by) implements NumberList {
        @Override
        public int type() {
            return GOSSIP;
        }

        @Override
        public long[] numbers() {
            return new long[] {member, claim.packed(), by};
        }
    }

    /** An empty message, sent so that a datagram carries gossip. */
    record Carrier() implements NumberList {
        @Override
        public int type() {
            return CARRIER;
        }

        @Override
        public long[] numbers() {
            return new long[] {};
        }
    }

    /** Asks for the receiver's claims about the couriers from this number on. */
    record TableRequest(int first) implements NumberList {
        @Override
        public int type() {
            return TABLE_REQUEST;
        }

        @Override
        public long[] numbers() {
            return new long[] {first};
        }
    }

    /** The sender's claims about the couriers from this number on. */
    record TableSegment(int first, List<Claim> claims) implements NumberList {
        @Override
        public int type() {
            return TABLE_SEGMENT;
        }

        @Override
        public long[] numbers() {
            return LongStream.concat(LongStream.of(first), claims.stream().mapToLong(Claim::packed))
                    .toArray();
        }
    }

    /** Parsers for a tier of this size. Higher courier numbers and accusations of oneself are malformed. */
    static Map<Integer, Message.Reader> readers(final int size) {
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        readers.put(PING, body -> new Ping(readSequence(body), readIncarnation(body), Claim.read(body)));
        readers.put(ACK, body -> new Ack(readSequence(body), readIncarnation(body), Claim.read(body)));
        readers.put(PING_REQUEST, body -> new PingRequest(readSequence(body), readCourier(body, size)));
        readers.put(RELAYED, body -> new Relayed(readSequence(body), readIncarnation(body)));
        readers.put(NACK, body -> new Nack(readSequence(body)));
        readers.put(GOSSIP, body -> readGossip(body, size));
        readers.put(CARRIER, body -> new Carrier());
        readers.put(TABLE_REQUEST, body -> new TableRequest(readCourier(body, size)));
        readers.put(TABLE_SEGMENT, body -> readSegment(body, size));
        return readers;
    }

    private static Gossip readGossip(final ByteBuffer body, final int size) throws MalformedMessageException {
        final Gossip gossip = new Gossip(readCourier(body, size), Claim.read(body), readCourier(body, size));
        final MemberState state = gossip.claim().state();
        final boolean accuses = state == MemberState.SUSPECT || state == MemberState.DEAD;
        if (state == MemberState.UNKNOWN || accuses && gossip.by() == gossip.member()) {
            throw new MalformedMessageException("impossible claim: " + gossip);
        }
        return gossip;
    }

    private static TableSegment readSegment(final ByteBuffer body, final int size) throws MalformedMessageException {
        final int first = readCourier(body, size);
        final List<Claim> claims = new ArrayList<>();
        while (body.hasRemaining()) {
            claims.add(Claim.read(body));
        }
        if (first + claims.size() > size) {
            throw new MalformedMessageException(
                    "a table segment up to courier " + (first + claims.size()) + " of " + size);
        }
        return new TableSegment(first, claims);
    }

    private static int readSequence(final ByteBuffer body) throws MalformedMessageException {
        return (int) readBounded(body, 0, MAX_SEQUENCE);
    }

    private static long readIncarnation(final ByteBuffer body) throws MalformedMessageException {
        return readBounded(body, 1, Claim.MAX_INCARNATION);
    }

    private static int readCourier(final ByteBuffer body, final int size) throws MalformedMessageException {
        return (int) readBounded(body, 0, size - 1);
    }

    private static long readBounded(final ByteBuffer body, final long min, final long max)
            throws MalformedMessageException {
        final long number = Varint.get(body);
        if (number < min || number > max) {
            throw new MalformedMessageException(number + " is not within " + min + " to " + max);
        }
        return number;
    }
}
