package driftchute.fleet.lane;

/**
 * Generic cell rate algorithm (ITU-T I.371, annex A), virtual scheduling form, for a rate that may change. As a
 * ceiling it lets a message come so much earlier than due; as a floor it asks for one only when it is so much
 * overdue. Times in us.
 */
final class Gcra {
    private static final double US_PER_S = 1e6;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final long earlyUs;
    private final long lateUs;
    private double perSecond;
    private double dueUs = NEVER;

    private Gcra(final long earlyUs, final long lateUs) {
        this.earlyUs = earlyUs;
        this.lateUs = lateUs;
    }

    /** Conforms to it what comes no earlier than that before it is due. */
    static Gcra ceiling(final long earlyUs) {
        return new Gcra(earlyUs, 0);
    }

    /**
     * Conforms to it what is overdue by that; as much again may be caught up in a clump. What comes beyond the rate
     * is not held against what comes later.
     */
    static Gcra floor(final long lateUs) {
        return new Gcra(0, lateUs);
    }

    /** So many a second from now on; 0: none at all. */
    void rate(final long nowUs, final double newPerSecond) {
        perSecond = newPerSecond;
        if (dueUs == NEVER) {
            restart(nowUs);
        }
    }

    /** The next one is due now, whatever came before. */
    void restart(final long nowUs) {
        dueUs = nowUs;
    }

    /** True where one more conforms. */
    boolean conforms(final long nowUs) {
        return perSecond > 0 && dueUs + lateUs <= nowUs + earlyUs;
    }

    /** One has passed, whether it conformed or not. */
    void charge(final long nowUs) {
        if (perSecond > 0) {
            dueUs = Math.min(Math.max(dueUs, nowUs - 2 * lateUs), nowUs + earlyUs) + US_PER_S / perSecond;
        }
    }
}
