package driftchute.fleet.session;

import driftchute.fleet.MalformedMessageException;
import driftchute.fleet.Varint;
import java.nio.ByteBuffer;

/**
 * What one process of one courier has seen of a session within an epoch. Each figure only grows. Calls and merged calls
 * differ in whether another session's messages were in them.
 *
 * @param processGeneration generation of that courier's process, which grows with each start; later figures replace earlier ones
 * @param ownCalls counted calls that carried this session alone
 * @param failedCalls those of them that failed
 * @param mergedCalls merged calls that succeeded, and {@code mergedFailures}
 * @param mergedFailures searches for a harmful session that ended with this one among the last suspects, unproven
 * @param dependentCalls calls whose message arrived right after the previous one's end, several times in a row
 * @param retriedCalls calls with a message that was submitted again after no answer
 * @param largeCalls calls with a body near the limit
 * @param effects bit set of the effects of its classes
 */
record Counters(
        long processGeneration,
        long ownCalls,
        long failedCalls,
        long mergedCalls,
        long mergedFailures,
        long dependentCalls,
        long retriedCalls,
        long largeCalls,
        int effects) {
    /** Upper bound: far above any count of calls, and far enough below 2^63 for the sum over all couriers. */
    static final long MAX = 1L << 40;

    private static final int MAX_EFFECTS = 7;

    Counters {
        if (processGeneration < 0
                || outOfBounds(failedCalls, ownCalls)
                || outOfBounds(mergedFailures, mergedCalls)
                || outOfBounds(dependentCalls, MAX)
                || outOfBounds(retriedCalls, MAX)
                || outOfBounds(largeCalls, MAX)
                || outOfBounds(ownCalls, MAX)
                || outOfBounds(mergedCalls, MAX)
                || effects < 0
                || effects > MAX_EFFECTS) {
            throw new IllegalArgumentException("impossible counters");
        }
    }

    private static boolean outOfBounds(final long value, final long most) {
        return value < 0 || value > most;
    }

    static Counters none(final long processGeneration) {
        return new Counters(processGeneration, 0, 0, 0, 0, 0, 0, 0, 0);
    }

    /**
     * The join of both: the later process's figures, or the maximum of each figure. Commutative, associative and
     * idempotent.
     */
    Counters join(final Counters other) {
        if (processGeneration != other.processGeneration) {
            return processGeneration > other.processGeneration ? this : other;
        }
        return new Counters(
                processGeneration,
                Math.max(ownCalls, other.ownCalls),
                Math.max(failedCalls, other.failedCalls),
                Math.max(mergedCalls, other.mergedCalls),
                Math.max(mergedFailures, other.mergedFailures),
                Math.max(dependentCalls, other.dependentCalls),
                Math.max(retriedCalls, other.retriedCalls),
                Math.max(largeCalls, other.largeCalls),
                effects | other.effects);
    }

    Counters plusCall(final boolean harm) {
        return new Counters(
                processGeneration,
                ownCalls + 1,
                failedCalls + (harm ? 1 : 0),
                mergedCalls,
                mergedFailures,
                dependentCalls,
                retriedCalls,
                largeCalls,
                effects);
    }

    Counters plusMerged(final boolean harm) {
        return new Counters(
                processGeneration,
                ownCalls,
                failedCalls,
                mergedCalls + 1,
                mergedFailures + (harm ? 1 : 0),
                dependentCalls,
                retriedCalls,
                largeCalls,
                effects);
    }

    /** Adds one call's properties. */
    Counters plusProperties(final int moreDependent, final boolean again, final boolean big, final int effect) {
        return new Counters(
                processGeneration,
                ownCalls,
                failedCalls,
                mergedCalls,
                mergedFailures,
                dependentCalls + moreDependent,
                retriedCalls + (again ? 1 : 0),
                largeCalls + (big ? 1 : 0),
                effects | effect);
    }

    /** Encoded size without the process generation, which a message contains once. */
    int size() {
        return 1
                + Varint.size(ownCalls)
                + Varint.size(failedCalls)
                + Varint.size(mergedCalls)
                + Varint.size(mergedFailures)
                + Varint.size(dependentCalls)
                + Varint.size(retriedCalls)
                + Varint.size(largeCalls);
    }

    void write(final ByteBuffer into) {
        into.put((byte) effects);
        for (final long value :
                new long[] {ownCalls, failedCalls, mergedCalls, mergedFailures, dependentCalls, retriedCalls, largeCalls
                }) {
            Varint.put(into, value);
        }
    }

    /**
     * Reads counters.
     *
     * @throws IllegalArgumentException for impossible figures
     */
    static Counters read(final long processGeneration, final ByteBuffer from) throws MalformedMessageException {
        final int effects = from.get();
        return new Counters(
                processGeneration,
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
