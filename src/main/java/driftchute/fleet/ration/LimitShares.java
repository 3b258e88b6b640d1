package driftchute.fleet.ration;

/** Shares of a limit as integers, so that their sums are exact. */
final class LimitShares {
    /** The whole limit. */
    static final int WHOLE = 0xFFFF;

    private LimitShares() {}

    /** The smallest share that is at least this part (0 to 1) of a limit. */
    static int atLeast(final double part) {
        return (int) Math.ceil(part * WHOLE);
    }

    /** The rate of a share of a limit, calls per second. */
    static double rate(final int share, final double limit) {
        return limit * share / WHOLE;
    }
}
