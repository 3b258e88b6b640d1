package driftchute.fleet.lane;

/**
 * Chooses the lane to serve next among messages held for one destination: a lane that is behind with its guaranteed
 * share, otherwise the first lane with a message. So premium goes first, and no lane starves.
 */
public final class LaneScheduler {
    /** How long a lane may be behind, us; as in {@link LaneAdmissionBand}. */
    private static final long LATE_US = 150_000;

    private final Gcra[] guarantees;
    private final double[] shares;

    /** Creates the scheduler for these lanes. Other lanes need a new one. */
    public LaneScheduler(final Lanes lanes) {
        this.shares = lanes.shares();
        this.guarantees = new Gcra[shares.length];
        for (int i = 0; i < guarantees.length; i++) {
            guarantees[i] = Gcra.floor(LATE_US);
        }
    }

    /** Sets the rate that this courier may send there, messages per second; invalid values count as 0. */
    public void setRate(final long nowUs, final double perSecond) {
        final double known = perSecond > 0 && perSecond < Double.POSITIVE_INFINITY ? perSecond : 0;
        for (int i = 0; i < guarantees.length; i++) {
            guarantees[i].rate(nowUs, shares[i] * known);
        }
    }

    /**
     * The lane whose message goes next, or -1 if none waits.
     *
     * @param waiting for each lane, whether it has a message that may be sent
     */
    public int nextLane(final long nowUs, final boolean[] waiting) {
        int first = -1;
        for (int i = guarantees.length - 1; i >= 0; i--) {
            if (!waiting[i]) {
                guarantees[i].restart(nowUs);
            } else {
                first = i;
            }
        }
        for (int i = 0; i < guarantees.length; i++) {
            if (waiting[i] && guarantees[i].conforms(nowUs)) {
                return i;
            }
        }
        return first;
    }

    /** A message of that lane was sent. */
    public void onSent(final long nowUs, final int lane) {
        guarantees[lane].charge(nowUs);
    }
}
