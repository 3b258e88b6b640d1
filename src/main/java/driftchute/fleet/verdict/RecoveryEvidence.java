package driftchute.fleet.verdict;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * Evidence that a destination serves. Times are wall-clock ms.
 *
 * @param served the latest delivered call that contradicts a report
 * @param recovered the latest one that ended an outage, not later than {@code served}; {@link Delivery#NEVER} if none
 */
record RecoveryEvidence(long destination, Delivery served, Delivery recovered) implements EvidenceEntry {
    static final int TYPE = 0x41;

    /** A call that was delivered at that time, for a message of that courier. */
    record Delivery(long ms, int courier) implements Comparable<Delivery> {
        static final Delivery NEVER = new Delivery(0, 0);

        @Override
        public int compareTo(final Delivery other) {
            return ms == other.ms ? Integer.compare(courier, other.courier) : Long.compare(ms, other.ms);
        }

        Delivery later(final Delivery other) {
            return compareTo(other) >= 0 ? this : other;
        }

        private int size() {
            return Varint.size(ms) + Varint.size(courier);
        }

        private void write(final ByteBuffer into) {
            Varint.put(into, ms);
            Varint.put(into, courier);
        }

        private static Delivery read(final ByteBuffer body, final int couriers) throws MalformedMessageException {
            final long ms = Varint.get(body);
            final long by = Varint.get(body);
            if (by >= couriers) {
                throw new MalformedMessageException("a recovery seen by courier " + by + " of " + couriers);
            }
            return new Delivery(ms, (int) by);
        }
    }

    /** The later of both, for each field. */
    RecoveryEvidence merge(final RecoveryEvidence other) {
        return new RecoveryEvidence(destination, served.later(other.served), recovered.later(other.recovered));
    }

    /** Whether the trouble in a report was over by then. */
    boolean refutes(final FailureReport report, final long lateMs) {
        return report.lastFailureMs() <= served.ms
                || report.sinceMs() <= recovered.ms && report.lastFailureMs() <= recovered.ms + lateMs;
    }

    @Override
    public int slot() {
        return RECOVERY_SLOT;
    }

    @Override
    public long timestampMs() {
        return served.ms;
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return Varint.size(destination) + served.size() + recovered.size();
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, destination);
        served.write(into);
        recovered.write(into);
    }

    static RecoveryEvidence read(final ByteBuffer body, final int couriers) throws MalformedMessageException {
        final long destination = Varint.get(body);
        final Delivery served = Delivery.read(body, couriers);
        final Delivery back = Delivery.read(body, couriers);
        if (served.compareTo(back) < 0) {
            throw new MalformedMessageException("recovered at " + back.ms + ", but last served at " + served.ms);
        }
        return new RecoveryEvidence(destination, served, back);
    }
}
