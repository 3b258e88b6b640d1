package driftchute.fleet.lane;

/** Smoothed message rates by lane, messages per second. Times in us. */
final class LaneRates {
    private static final double US_PER_S = 1e6;
    /** Lower rates count as zero: a lane that has fallen silent has no demand. */
    private static final double MIN_RATE = 0.05;

    private final double messages;
    private final double leastUs;
    private final double mostUs;
    private final double[] perSecond;
    private boolean updated;

    /** Smooths over the time that so many messages take, within these bounds. */
    LaneRates(final int lanes, final int messages, final long leastUs, final long mostUs) {
        this.messages = messages;
        this.leastUs = leastUs;
        this.mostUs = mostUs;
        this.perSecond = new double[lanes];
    }

    /** Adds the counts of a period. */
    void update(final long[] counts, final double elapsedUs) {
        double came = 0;
        double known = 0;
        for (int i = 0; i < counts.length; i++) {
            came += counts[i] * US_PER_S / elapsedUs;
            known += perSecond[i];
        }
        final double smoothUs = Math.min(mostUs, Math.max(leastUs, messages * US_PER_S / Math.max(came, known)));
        final double weight = updated ? 1 - Math.exp(-elapsedUs / smoothUs) : 1;
        for (int i = 0; i < counts.length; i++) {
            perSecond[i] += weight * (counts[i] * US_PER_S / elapsedUs - perSecond[i]);
            perSecond[i] = perSecond[i] < MIN_RATE ? 0 : perSecond[i];
        }
        updated = true;
    }

    /** Messages per second by lane. */
    double[] perSecond() {
        return perSecond.clone();
    }
}
