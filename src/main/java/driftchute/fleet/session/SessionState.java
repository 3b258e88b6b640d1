package driftchute.fleet.session;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the couriers together know of a session: an epoch, and each courier's counters within it. Merging takes the
 * greater epoch; within one epoch it joins each courier's counters. This is a lexicographic order of semilattices
 * (state-based CRDTs: Shapiro, Preguica, Baquero, Zawirski 2011), so the order, number and grouping of merges make no
 * difference.
 */
final class SessionState {
    /** The last epoch. A session in it cannot be demoted further, and is {@code OWN} for good. */
    static final int MAX_EPOCH = 1 << 20;

    private int epoch;
    private final Map<Integer, Counters> byCourier = new TreeMap<>();

    SessionState(final int epoch) {
        this.epoch = epoch;
    }

    int epoch() {
        return epoch;
    }

    Map<Integer, Counters> byCourier() {
        return Collections.unmodifiableMap(byCourier);
    }

    /** Drops the counters of an older epoch. Does nothing if this epoch, or a newer one, is known. */
    void raise(final int to) {
        if (to > epoch) {
            epoch = to;
            byCourier.clear();
        }
    }

    /** Adds one courier's counters of an epoch; those of an older epoch are ignored. */
    void join(final int of, final int courier, final Counters counters) {
        raise(of);
        if (of == epoch) {
            byCourier.merge(courier, counters, Counters::join);
        }
    }

    void join(final SessionState other) {
        raise(other.epoch);
        other.byCourier.forEach((courier, counters) -> join(other.epoch, courier, counters));
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof SessionState state && epoch == state.epoch && byCourier.equals(state.byCourier);
    }

    @Override
    public int hashCode() {
        return 31 * epoch + byCourier.hashCode();
    }

    @Override
    public String toString() {
        return "epoch " + epoch + " " + byCourier;
    }
}
