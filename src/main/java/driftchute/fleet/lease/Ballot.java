package driftchute.fleet.lease;

/**
 * A ballot of one process of a courier. Ballots are ordered by round, then courier. {@code processId} is a random number of
 * the process; it distinguishes a courier's processes and is not part of the order.
 */
record Ballot(int courier, int processId, long round) {
    /** Bits of a courier's number in a token (a tier has at most 65,535 couriers). */
    private static final int COURIER_BITS = 16;
    /** The highest round whose token is a positive long: 2,200 years of milliseconds. */
    static final long MAX_ROUND = (1L << 46) - 1;
    /** 2026-01-01T00:00:00Z in Unix ms. Rounds counted from 1970 would take two more bytes in each datagram. */
    private static final long ROUND_EPOCH_MS = 1_767_225_600_000L;
    /**
     * Maximum distance of a round ahead of the wall clock, ms (398 days), so that a false round cannot use up the
     * range.
     */
    private static final long MAX_AHEAD_MS = 1L << 35;

    /** The fencing token of a holder with this ballot. */
    long token() {
        return round << COURIER_BITS | courier;
    }

    /** The round of a token. */
    static long roundOf(final long token) {
        return token >>> COURIER_BITS;
    }

    /** The lowest round that is used at that Unix time (ms), so that a later process uses a higher one. */
    static long roundAt(final long wallMs) {
        return Math.min(MAX_ROUND, Math.max(0, wallMs - ROUND_EPOCH_MS));
    }

    /** True if a correct courier may use that round at that Unix time (ms). */
    static boolean plausible(final long round, final long wallMs) {
        return round > 0 && round <= Math.min(MAX_ROUND, roundAt(wallMs) + MAX_AHEAD_MS);
    }

    /** True if both ballots are of the same process. */
    boolean sameProcess(final Ballot other) {
        return courier == other.courier && processId == other.processId;
    }
}
