package driftchute.fleet.session;

/** One-sided 95% bounds on a rate from observed counts (Wilson 1927; Brown, Cai, DasGupta 2001). */
final class WilsonInterval {
    /** The 0.95 quantile of the normal distribution. */
    private static final double Z = 1.6448536269514722;

    private WilsonInterval() {}

    /** Upper bound of the rate; 1 without observations. */
    static double upper(final long hits, final long of) {
        return of == 0 ? 1 : bound(hits, of, 1);
    }

    /** Lower bound of the rate; 0 without observations. */
    static double lower(final long hits, final long of) {
        return of == 0 ? 0 : bound(hits, of, -1);
    }

    private static double bound(final long hits, final long of, final int side) {
        final double rate = (double) hits / of;
        final double square = Z * Z / of;
        final double spread = Z * Math.sqrt(rate * (1 - rate) / of + square / (4 * of));
        return Math.min(1, Math.max(0, (rate + square / 2 + side * spread) / (1 + square)));
    }
}
