package driftchute.fleet.lane;

/**
 * Holds what one courier lets in of a cut lane near what the cut means, where a lane has too few accounts for choice
 * alone to do it: three tenants cannot be shed by a tenth. Inside the band the choice of accounts decides.
 */
final class LaneBand {
    /** How far from the kept part choice may lead: fifty accounts stay inside. */
    private static final double WIDTH = 0.1;
    /** What choice may run ahead or behind for; shorter, and it would be overruled by the chance of arrivals alone. */
    private static final long SLACK_US = 500_000;
    /** How long a lane may go without its guaranteed rate. */
    private static final long LATE_US = 150_000;
    /** The guarantee is judged in five seconds: makes good for that lateness, and for the step between two messages. */
    private static final double MARGIN = 1.08;

    private final Gcra guarantee = Gcra.floor(LATE_US);
    private final Gcra floor = Gcra.floor(SLACK_US);
    private final Gcra ceiling = Gcra.ceiling(SLACK_US);

    /**
     * Sets the band.
     *
     * @param offered messages a second that come to this courier in the lane
     * @param kept the part of them that the level keeps, 0 to 1
     * @param guaranteed messages a second that the lane may always have here
     */
    void tune(final long nowUs, final double offered, final double kept, final double guaranteed) {
        final double wanted = offered * kept;
        guarantee.rate(nowUs, guaranteed * MARGIN);
        floor.rate(nowUs, wanted * (1 - WIDTH));
        ceiling.rate(nowUs, Math.max(guaranteed * MARGIN, wanted) * (1 + WIDTH));
        if (kept >= 1) {
            guarantee.restart(nowUs);
            floor.restart(nowUs);
            ceiling.restart(nowUs);
        }
    }

    /** True where a message is let in, whose account the level keeps or does not keep. */
    boolean admits(final long nowUs, final boolean kept) {
        final boolean let = kept ? ceiling.conforms(nowUs) : guarantee.conforms(nowUs) || floor.conforms(nowUs);
        if (let) {
            guarantee.charge(nowUs);
            floor.charge(nowUs);
            ceiling.charge(nowUs);
        }
        return let;
    }
}
