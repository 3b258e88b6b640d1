package driftchute.fleet.lease;

/**
 * The durations of the protocol, us, each on the clock of the process that measures it.
 *
 * @param leaseUs how long an acceptor is locked, in whole ms
 * @param holderUs how long a holder counts on a lease, from before it sent the request
 * @param startupWaitUs how long a started process sends no replies
 */
record LeaseTiming(long leaseUs, long holderUs, long startupWaitUs) {
    private static final long MS = 1000;
    private static final long MILLION = 1_000_000;
    /** In a shorter lease, an attempt (a quarter of it) has no time for two round trips. */
    private static final long MIN_US = 20 * MS;

    private static final long MAX_US = 3600 * MILLION;
    /** The configuration's upper bound, 10%. */
    private static final int MAX_DRIFT_PPM = 100_000;

    /**
     * Durations that are safe if each clock deviates from true time by at most so many millionths: with drift d, the
     * holder's {@code L(1-2d)} ends before an acceptor's {@code L}, since {@code (1-2d)(1+d)/(1-d) <= 1}.
     *
     * @throws IllegalArgumentException for a lease outside 20 ms to 1 h or a drift outside 0 to 100,000
     */
    static LeaseTiming of(final long leaseUs, final int driftPpm) {
        if (leaseUs < MIN_US || leaseUs > MAX_US) {
            throw new IllegalArgumentException("a lease must be " + MIN_US + " to " + MAX_US + " us, not " + leaseUs);
        }
        if (driftPpm < 0 || driftPpm > MAX_DRIFT_PPM) {
            throw new IllegalArgumentException("the drift must be 0 to " + MAX_DRIFT_PPM + " ppm, not " + driftPpm);
        }
        final long whole = leaseUs / MS * MS;
        final long margin = (2 * whole * driftPpm + MILLION - 1) / MILLION;
        return new LeaseTiming(whole, whole - margin, whole + margin);
    }

    /** The lease in ms, as sent in messages. */
    long leaseMs() {
        return leaseUs / MS;
    }

    /** Interval between renewals. One may fail, with half a lease without a reply. */
    long renewUs() {
        return leaseUs / 2;
    }

    /** Interval between repetitions of a request: eight fit between a renewal and the lease's end. */
    long repeatUs() {
        return leaseUs / 16;
    }

    /** Duration of an attempt from its first prepare: four repetitions. */
    long attemptUs() {
        return leaseUs / 4;
    }

    /** How long an acceptor keeps a promise: longer than any attempt on any two clocks. */
    long promiseUs() {
        return leaseUs / 2;
    }

    /** Difference between the delays of successive ranks: several round trips, and sixteen ranks in half a lease. */
    long rankStepUs() {
        return leaseUs / 32;
    }
}
