package driftchute.fleet.lane;

/**
 * Whose turn it is among messages held for one destination: a lane that is behind with its guaranteed share,
 * otherwise the first lane that has something. So premium goes first, and nothing that waits starves behind it.
 */
public final class Turns {
    /** How long a lane may be behind; as in {@link LaneBand}. */
    private static final long LATE_US = 150_000;

    private final Gcra[] guarantees;
    private final double[] shares;

    /** @param lanes the lanes to go by; with others, begin anew */
    public Turns(final Lanes lanes) {
        this.shares = lanes.shares();
        this.guarantees = new Gcra[shares.length];
        for (int i = 0; i < guarantees.length; i++) {
            guarantees[i] = Gcra.floor(LATE_US);
        }
    }

    /** This courier may send so many messages a second there from now on; what is no such figure counts as 0. */
    public void part(final long nowUs, final double perSecond) {
        final double known = perSecond > 0 && perSecond < Double.POSITIVE_INFINITY ? perSecond : 0;
        for (int i = 0; i < guarantees.length; i++) {
            guarantees[i].rate(nowUs, shares[i] * known);
        }
    }

    /**
     * The lane whose message goes next, or -1 where none waits.
     *
     * @param waiting for each lane, whether something may go
     */
    public int next(final long nowUs, final boolean[] waiting) {
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

    /** A message of that lane has gone. */
    public void gone(final long nowUs, final int lane) {
        guarantees[lane].charge(nowUs);
    }
}
