package driftchute.fleet.session;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * What one process of one courier has seen of a session within an epoch. Each figure only grows. Calls and merged calls
 * differ in whether another session's messages were in them.
 *
 * @param life generation of that courier's process, which grows with each start; later figures replace earlier ones
 * @param calls counted calls that carried this session alone
 * @param harms those of them that failed
 * @param merged merged calls that succeeded, and {@code mergedHarms}
 * @param mergedHarms searches for a harmful session that ended with this one among the last suspects, unproven
 * @param dependent calls whose message arrived right after the previous one's end, several times in a row
 * @param retried calls with a message that was submitted again after no answer
 * @param large calls with a body near the limit
 * @param effects bit set of the effects of its classes
 */
record Counters(
        long life,
        long calls,
        long harms,
        long merged,
        long mergedHarms,
        long dependent,
        long retried,
        long large,
        int effects) {
    /** Upper bound: far above any count of calls, and far enough below 2^63 for the sum over all couriers. */
    static final long MAX = 1L << 40;

    private static final int MAX_EFFECTS = 7;

    Counters {
        if (life < 0
                || bad(harms, calls)
                || bad(mergedHarms, merged)
                || bad(dependent, MAX)
                || bad(retried, MAX)
                || bad(large, MAX)
                || bad(calls, MAX)
                || bad(merged, MAX)
                || effects < 0
                || effects > MAX_EFFECTS) {
            throw new IllegalArgumentException("impossible counters");
        }
    }

    private static boolean bad(final long value, final long most) {
        return value < 0 || value > most;
    }

    static Counters none(final long life) {
        return new Counters(life, 0, 0, 0, 0, 0, 0, 0, 0);
    }

    /**
     * The join of both: the later process's figures, or the maximum of each figure. Commutative, associative and
     * idempotent.
     */
    Counters join(final Counters other) {
        if (life != other.life) {
            return life > other.life ? this : other;
        }
        return new Counters(
                life,
                Math.max(calls, other.calls),
                Math.max(harms, other.harms),
                Math.max(merged, other.merged),
                Math.max(mergedHarms, other.mergedHarms),
                Math.max(dependent, other.dependent),
                Math.max(retried, other.retried),
                Math.max(large, other.large),
                effects | other.effects);
    }

    Counters plusCall(final boolean harm) {
        return new Counters(
                life, calls + 1, harms + (harm ? 1 : 0), merged, mergedHarms, dependent, retried, large, effects);
    }

    Counters plusMerged(final boolean harm) {
        return new Counters(
                life, calls, harms, merged + 1, mergedHarms + (harm ? 1 : 0), dependent, retried, large, effects);
    }

    /** Adds one call's properties. */
    Counters plusHabits(final int moreDependent, final boolean again, final boolean big, final int effect) {
        return new Counters(
                life,
                calls,
                harms,
                merged,
                mergedHarms,
                dependent + moreDependent,
                retried + (again ? 1 : 0),
                large + (big ? 1 : 0),
                effects | effect);
    }

    /** Encoded size without the process generation, which a message contains once. */
    int size() {
        return 1
                + Varint.size(calls)
                + Varint.size(harms)
                + Varint.size(merged)
                + Varint.size(mergedHarms)
                + Varint.size(dependent)
                + Varint.size(retried)
                + Varint.size(large);
    }

    void write(final ByteBuffer into) {
        into.put((byte) effects);
        for (final long value : new long[] {calls, harms, merged, mergedHarms, dependent, retried, large}) {
            Varint.put(into, value);
        }
    }

    /**
     * Reads counters.
     *
     * @throws IllegalArgumentException for impossible figures
     */
    static Counters read(final long life, final ByteBuffer from) throws MalformedMessageException {
        final int effects = from.get();
        return new Counters(
                life,
                Varint.get(from),
                Varint.get(from),
                Varint.get(from),
                Varint.get(from),
                Varint.get(from),
                Varint.get(from),
                Varint.get(from),
                effects);
    }
}
