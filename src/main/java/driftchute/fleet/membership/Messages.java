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
    private static final int RUMOUR = 0x15;
    private static final int CARRIER = 0x16;
    private static final int ASK = 0x17;
    private static final int ROLL = 0x18;

    private Messages() {}

    /** A message that is a list of non-negative numbers. */
    private interface Row extends Message {
        long[] row();

        @Override
        default int size() {
            int size = 0;
            for (final long number : row()) {
                size += Varint.size(number);
            }
            return size;
        }

        @Override
        default void write(final ByteBuffer into) {
            for (final long number : row()) {
                Varint.put(into, number);
            }
        }
    }

    /** Probes a courier. Contains the sender's incarnation and its claim about the receiver. */
    record Ping(int sequence, long incarnation, Claim notice) implements Row {
        @Override
        public int type() {
            return PING;
        }

        @Override
        public long[] row() {
            return new long[] {sequence, incarnation, notice.packed()};
        }
    }

    /** The answer to the ping with that sequence number. */
    record Ack(int sequence, long incarnation, Claim notice) implements Row {
        @Override
        public int type() {
            return ACK;
        }

        @Override
        public long[] row() {
            return new long[] {sequence, incarnation, notice.packed()};
        }
    }

    /** Asks a courier to probe another one, and to answer with this sequence number. */
    record PingRequest(int sequence, int target) implements Row {
        @Override
        public int type() {
            return PING_REQUEST;
        }

        @Override
        public long[] row() {
            return new long[] {sequence, target};
        }
    }

    /** The target of an indirect probe has answered, with this incarnation. */
    record Relayed(int sequence, long incarnation) implements Row {
        @Override
        public int type() {
            return RELAYED;
        }

        @Override
        public long[] row() {
            return new long[] {sequence, incarnation};
        }
    }

    /** The target of an indirect probe has not answered so far. It shows that sender and receiver can communicate. */
    record Nack(int sequence) implements Row {
        @Override
        public int type() {
            return NACK;
        }

        @Override
        public long[] row() {
            return new long[] {sequence};
        }
    }

    /** A claim about a courier and who made it. */
    record Rumour(int member, Claim claim, int by) implements Row {
        @Override
        public int type() {
            return RUMOUR;
        }

        @Override
        public long[] row() {
            return new long[] {member, claim.packed(), by};
        }
    }

    /** An empty message, sent so that a datagram carries gossip. */
    record Carrier() implements Row {
        @Override
        public int type() {
            return CARRIER;
        }

        @Override
        public long[] row() {
            return new long[] {};
        }
    }

    /** Asks for the receiver's claims about the couriers from this number on. */
    record Ask(int first) implements Row {
        @Override
        public int type() {
            return ASK;
        }

        @Override
        public long[] row() {
            return new long[] {first};
        }
    }

    /** The sender's claims about the couriers from this number on. */
    record Roll(int first, List<Claim> claims) implements Row {
        @Override
        public int type() {
            return ROLL;
        }

        @Override
        public long[] row() {
            return LongStream.concat(LongStream.of(first), claims.stream().mapToLong(Claim::packed))
                    .toArray();
        }
    }

    /** Parsers for a tier of this size. Higher courier numbers and accusations of oneself are malformed. */
    static Map<Integer, Message.Reader> readers(final int size) {
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        readers.put(PING, body -> new Ping(sequence(body), incarnation(body), Claim.get(body)));
        readers.put(ACK, body -> new Ack(sequence(body), incarnation(body), Claim.get(body)));
        readers.put(PING_REQUEST, body -> new PingRequest(sequence(body), courier(body, size)));
        readers.put(RELAYED, body -> new Relayed(sequence(body), incarnation(body)));
        readers.put(NACK, body -> new Nack(sequence(body)));
        readers.put(RUMOUR, body -> rumour(body, size));
        readers.put(CARRIER, body -> new Carrier());
        readers.put(ASK, body -> new Ask(courier(body, size)));
        readers.put(ROLL, body -> roll(body, size));
        return readers;
    }

    private static Rumour rumour(final ByteBuffer body, final int size) throws MalformedMessageException {
        final Rumour rumour = new Rumour(courier(body, size), Claim.get(body), courier(body, size));
        final State state = rumour.claim().state();
        final boolean accuses = state == State.SUSPECT || state == State.DEAD;
        if (state == State.UNKNOWN || accuses && rumour.by() == rumour.member()) {
            throw new MalformedMessageException("impossible claim: " + rumour);
        }
        return rumour;
    }

    private static Roll roll(final ByteBuffer body, final int size) throws MalformedMessageException {
        final int first = courier(body, size);
        final List<Claim> claims = new ArrayList<>();
        while (body.hasRemaining()) {
            claims.add(Claim.get(body));
        }
        if (first + claims.size() > size) {
            throw new MalformedMessageException("a table segment up to courier " + (first + claims.size()) + " of " + size);
        }
        return new Roll(first, claims);
    }

    private static int sequence(final ByteBuffer body) throws MalformedMessageException {
        return (int) bounded(body, 0, MAX_SEQUENCE);
    }

    private static long incarnation(final ByteBuffer body) throws MalformedMessageException {
        return bounded(body, 1, Claim.MAX_INCARNATION);
    }

    private static int courier(final ByteBuffer body, final int size) throws MalformedMessageException {
        return (int) bounded(body, 0, size - 1);
    }

    private static long bounded(final ByteBuffer body, final long least, final long most)
            throws MalformedMessageException {
        final long number = Varint.get(body);
        if (number < least || number > most) {
            throw new MalformedMessageException(number + " is not within " + least + " to " + most);
        }
        return number;
    }
}
