package driftchute.fleet.lane;

/**
 * Keeps the rate that one courier admits of a cut lane close to the intended one, for lanes with too few accounts to do
 * this by choosing accounts alone: a tenth of three tenants cannot be shed. Inside the band the choice of accounts
 * decides.
 */
final class LaneAdmissionBand {
    /** Maximum relative deviation that the choice of accounts may cause; fifty accounts stay inside. */
    private static final double BAND_WIDTH = 0.1;
    /** Time that the choice may run ahead or behind, us. A shorter one would be exceeded by random arrivals alone. */
    private static final long SLACK_US = 500_000;
    /** Maximum time that a lane may go without its guaranteed rate, us. */
    private static final long LATE_US = 150_000;
    /**
     * The guarantee is judged over five seconds. This factor makes up for that lateness and the step between two
     * messages.
     */
    private static final double GUARANTEE_MARGIN = 1.08;

    private final Gcra guarantee = Gcra.floor(LATE_US);
    private final Gcra floor = Gcra.floor(SLACK_US);
    private final Gcra ceiling = Gcra.ceiling(SLACK_US);

    /**
     * Sets the band.
     *
     * @param offered messages per second that this courier receives in the lane
     * @param kept the part of them that the level admits, 0 to 1
     * @param guaranteed messages per second that the lane may always have here
     */
    void tune(final long nowUs, final double offered, final double kept, final double guaranteed) {
        final double wanted = offered * kept;
        guarantee.rate(nowUs, guaranteed * GUARANTEE_MARGIN);
        floor.rate(nowUs, wanted * (1 - BAND_WIDTH));
        ceiling.rate(nowUs, Math.max(guaranteed * GUARANTEE_MARGIN, wanted) * (1 + BAND_WIDTH));
        if (kept >= 1) {
            guarantee.restart(nowUs);
            floor.restart(nowUs);
            ceiling.restart(nowUs);
        }
    }

    /** True if a message is admitted. {@code kept}: the level admits its account. */
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
