package driftchute.fleet.lease;

/**
 * A ballot of one process of a courier. Ballots are ordered by round, then courier; the life (a random number of the
 * process) tells a courier's processes apart and does not take part in the order.
 */
record Ballot(int courier, int life, long round) {
    /** Bits of a courier's number in a token (a tier has at most 65,535). */
    private static final int COURIER_BITS = 16;
    /** The largest round whose token is a positive long: 2,200 years of milliseconds. */
    static final long MOST_ROUND = (1L << 46) - 1;
    /** 2026-01-01T00:00:00Z in Unix ms: rounds that began in 1970 would take two bytes more in each datagram. */
    private static final long ROUNDS_FROM_MS = 1_767_225_600_000L;
    /** How far a round may be ahead of the wall clock, ms (398 days): no lie can use the rounds up. */
    private static final long MOST_AHEAD_MS = 1L << 35;

    /** The fencing token that a holding by this ballot has. */
    long token() {
        return round << COURIER_BITS | courier;
    }

    /** The round of a token. */
    static long roundOf(final long token) {
        return token >>> COURIER_BITS;
    }

    /** The least round that is used at that wall-clock time (Unix ms): a later process uses a higher one. */
    static long roundAt(final long wallMs) {
        return Math.min(MOST_ROUND, Math.max(0, wallMs - ROUNDS_FROM_MS));
    }

    /** True for a round that an honest courier may use at that wall-clock time (Unix ms). */
    static boolean plausible(final long round, final long wallMs) {
        return round > 0 && round <= Math.min(MOST_ROUND, roundAt(wallMs) + MOST_AHEAD_MS);
    }

    /** True if one process of one courier made both. */
    boolean sameProcess(final Ballot other) {
        return courier == other.courier && life == other.life;
    }
}
