package driftchute.fleet.lane;

/**
 * Generic cell rate algorithm (ITU-T I.371, annex A), virtual scheduling form, for a rate that may change. As a ceiling
 * it admits a message up to {@code earlyUs} before it is due; as a floor it demands one only when it is {@code lateUs}
 * overdue. Times in us.
 */
final class Gcra {
    private static final double US_PER_S = 1e6;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final long maxEarlyUs;
    private final long minLateUs;
    private double perSecond;
    private double dueUs = NEVER;

    private Gcra(final long earlyUs, final long lateUs) {
        this.maxEarlyUs = earlyUs;
        this.minLateUs = lateUs;
    }

    /** A ceiling: a message conforms if it comes at most {@code earlyUs} before it is due. */
    static Gcra ceiling(final long earlyUs) {
        return new Gcra(earlyUs, 0);
    }

    /**
     * A floor: a message conforms if it is overdue by {@code lateUs}. As much again may be caught up in a burst.
     * Messages beyond the rate do not count against later ones.
     */
    static Gcra floor(final long lateUs) {
        return new Gcra(0, lateUs);
    }

    /** Sets the rate per second; 0 means none. */
    void rate(final long nowUs, final double newPerSecond) {
        perSecond = newPerSecond;
        if (dueUs == NEVER) {
            restart(nowUs);
        }
    }

    /** Makes the next message due now, whatever came before. */
    void restart(final long nowUs) {
        dueUs = nowUs;
    }

    /** True if one more message conforms. */
    boolean conforms(final long nowUs) {
        return perSecond > 0 && dueUs + minLateUs <= nowUs + maxEarlyUs;
    }

    /** Records a message, whether it conformed or not. */
    void charge(final long nowUs) {
        if (perSecond > 0) {
            dueUs = Math.min(Math.max(dueUs, nowUs - 2 * minLateUs), nowUs + maxEarlyUs) + US_PER_S / perSecond;
        }
    }
}
