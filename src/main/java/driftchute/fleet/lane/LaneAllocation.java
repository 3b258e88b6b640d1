package driftchute.fleet.lane;

/** Divides a limit among lanes: guaranteed shares first, the remainder by priority. Rates in messages per second. */
final class LaneAllocation {
    private LaneAllocation() {}

    /**
     * Each lane gets the lesser of its demand and its share of the limit. The remainder of {@code fill} x limit goes to
     * the lanes in order, up to their demand.
     */
    static double[] of(final double[] demand, final double[] shares, final double limit, final double fill) {
        final double[] allotted = new double[demand.length];
        double left = fill * limit;
        for (int i = 0; i < demand.length; i++) {
            allotted[i] = Math.min(demand[i], shares[i] * limit);
            left -= allotted[i];
        }
        for (int i = 0; i < demand.length && left > 0; i++) {
            final double more = Math.min(demand[i] - allotted[i], left);
            allotted[i] += more;
            left -= more;
        }
        return allotted;
    }
}
