package driftchute.fleet.verdict;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * Evidence that a destination serves. Times are wall-clock ms.
 *
 * @param served the latest delivered call that contradicts a report
 * @param back the latest one that ended an outage, not later than {@code served}; {@link Seen#NEVER} if none
 */
record Return(long destination, Seen served, Seen back) implements Entry {
    static final int TYPE = 0x41;

    /** A call that was delivered at that time, for a message of that courier. */
    record Seen(long ms, int by) implements Comparable<Seen> {
        static final Seen NEVER = new Seen(0, 0);

        @Override
        public int compareTo(final Seen other) {
            return ms == other.ms ? Integer.compare(by, other.by) : Long.compare(ms, other.ms);
        }

        Seen max(final Seen other) {
            return compareTo(other) >= 0 ? this : other;
        }

        private int size() {
            return Varint.size(ms) + Varint.size(by);
        }

        private void write(final ByteBuffer into) {
            Varint.put(into, ms);
            Varint.put(into, by);
        }

        private static Seen read(final ByteBuffer body, final int couriers) throws MalformedMessageException {
            final long ms = Varint.get(body);
            final long by = Varint.get(body);
            if (by >= couriers) {
                throw new MalformedMessageException("a recovery seen by courier " + by + " of " + couriers);
            }
            return new Seen(ms, (int) by);
        }
    }

    /** The later of both, for each field. */
    Return merge(final Return other) {
        return new Return(destination, served.max(other.served), back.max(other.back));
    }

    /** Whether the trouble in a report was over by then. */
    boolean ends(final BadReport report, final long lateMs) {
        return report.lastMs() <= served.ms || report.sinceMs() <= back.ms && report.lastMs() <= back.ms + lateMs;
    }

    @Override
    public int slot() {
        return RETURN_SLOT;
    }

    @Override
    public long stampMs() {
        return served.ms;
    }

    @Override
    public int type() {
        return TYPE;
    }

    @Override
    public int size() {
        return Varint.size(destination) + served.size() + back.size();
    }

    @Override
    public void write(final ByteBuffer into) {
        Varint.put(into, destination);
        served.write(into);
        back.write(into);
    }

    static Return read(final ByteBuffer body, final int couriers) throws MalformedMessageException {
        final long destination = Varint.get(body);
        final Seen served = Seen.read(body, couriers);
        final Seen back = Seen.read(body, couriers);
        if (served.compareTo(back) < 0) {
            throw new MalformedMessageException("recovered at " + back.ms + ", but last served at " + served.ms);
        }
        return new Return(destination, served, back);
    }
}
