package driftchute.fleet.verdict;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Message;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/** The messages of verdicts other than evidence entries. */
final class VerdictMessages {
    private VerdictMessages() {}

    /** The sum of the checksums of all entries of its sender. */
    record Digest(int sum) implements Message {
        static final int TYPE = 0x42;

        static Digest read(final ByteBuffer body) {
            return new Digest(body.getInt());
        }

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public int size() {
            return Integer.BYTES;
        }

        @Override
        public void write(final ByteBuffer into) {
            into.putInt(sum);
        }
    }

    /** Requests a datagram of entries. */
    record Pull() implements Message {
        static final int TYPE = 0x43;

        static Pull read(final ByteBuffer body) {
            return new Pull();
        }

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public int size() {
            return 0;
        }

        @Override
        public void write(final ByteBuffer into) {}
    }

    /** Requests a probe of a destination that is down, for waiting messages. {@code number} identifies the request. */
    record ProbeRequest(long destination, long number) implements Message {
        static final int TYPE = 0x44;

        static ProbeRequest read(final ByteBuffer body) throws MalformedMessageException {
            return new ProbeRequest(Varint.get(body), Varint.get(body));
        }

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public int size() {
            return Varint.size(destination) + Varint.size(number);
        }

        @Override
        public void write(final ByteBuffer into) {
            Varint.put(into, destination);
            Varint.put(into, number);
        }
    }

    /**
     * The reply to that request, under the token of the role's holder. {@code afterMs} is 0 for a permit, otherwise the
     * delay before the next request, ms.
     */
    record ProbeReply(long destination, long number, long token, long afterMs) implements Message {
        static final int TYPE = 0x45;

        static ProbeReply read(final ByteBuffer body) throws MalformedMessageException {
            return new ProbeReply(Varint.get(body), Varint.get(body), Varint.get(body), Varint.get(body));
        }

        @Override
        public int type() {
            return TYPE;
        }

        @Override
        public int size() {
            return Varint.size(destination) + Varint.size(number) + Varint.size(token) + Varint.size(afterMs);
        }

        @Override
        public void write(final ByteBuffer into) {
            Varint.put(into, destination);
            Varint.put(into, number);
            Varint.put(into, token);
            Varint.put(into, afterMs);
        }
    }
}
