package driftchute.fleet.lane;

import java.util.Arrays;

/**
 * Computes the part of each lane to shed at one destination, with hysteresis: it rises at once if the admitted load
 * exceeds the limit, falls only after the load has stayed below a lower mark for a while, and never cuts a lane below
 * its guaranteed share (docs/fleet-lanes.md). Has no clock; times are passed in, us.
 */
final class SheddingController {
    /**
     * Load that a new level admits, relative to the limit: the middle of the band, so that small variations of demand
     * change nothing.
     */
    private static final double TARGET_LOAD = 0.95;
    /** Below this part of the limit the level may fall. */
    private static final double LOW_LOAD = 0.9;
    /** Time that the load must stay below it, us: several report periods, and longer than a burst. */
    private static final long CALM_US = 3_000_000;

    private static final long NOT_CALM = Long.MIN_VALUE;
    /**
     * Tolerance, so that a level that admits exactly the limit does not exceed it, and one that admits a lane's demand
     * admits all of it.
     */
    private static final double ROUNDING = 1e-9;

    private final double[] shares;
    private final double[] kept;
    private long calmSinceUs = NOT_CALM;

    SheddingController(final double[] shares) {
        this.shares = shares.clone();
        this.kept = new double[shares.length];
        Arrays.fill(kept, 1);
    }

    /** Continues from another allocator's level if it has the same number of lanes. */
    void continueFrom(final SheddingLevel level) {
        for (int i = 0; i < kept.length && level.lanes() == kept.length; i++) {
            kept[i] = 1 - level.cut(i);
        }
    }

    /**
     * Decides on this demand, messages per second by lane.
     *
     * @param limit messages per second; 0 or not a number: none is known, and nothing is shed
     */
    void decide(final long nowUs, final double[] demand, final double limit) {
        if (!(limit > 0) || Double.isInfinite(limit)) {
            Arrays.fill(kept, 1);
            calmSinceUs = NOT_CALM;
            return;
        }
        double load = 0;
        for (int i = 0; i < kept.length; i++) {
            final double guaranteed = shares[i] * limit;
            if (shares[i] > 0) {
                kept[i] = Math.max(kept[i], demand[i] <= guaranteed ? 1 : guaranteed / demand[i]);
            }
            load += kept[i] * demand[i];
        }
        if (load > limit * (1 + ROUNDING)) {
            setLevel(demand, limit);
        } else if (load >= LOW_LOAD * limit || !isShedding()) {
            calmSinceUs = NOT_CALM;
        } else if (calmSinceUs == NOT_CALM) {
            calmSinceUs = nowUs;
        } else if (nowUs - calmSinceUs >= CALM_US) {
            setLevel(demand, limit);
        }
    }

    private void setLevel(final double[] demand, final double limit) {
        final double[] allotted = LaneAllocation.of(demand, shares, limit, TARGET_LOAD);
        boolean whole = true;
        for (int i = 0; i < kept.length; i++) {
            // A lane without a share and without demand now must not come in later ahead of one that is cut.
            final boolean all = allotted[i] >= demand[i] * (1 - ROUNDING);
            kept[i] = demand[i] > 0 ? all ? 1 : allotted[i] / demand[i] : whole || shares[i] > 0 ? 1 : 0;
            whole &= kept[i] == 1;
        }
        calmSinceUs = NOT_CALM;
    }

    /** True if any lane is cut. */
    boolean isShedding() {
        return Arrays.stream(kept).anyMatch(part -> part < 1);
    }

    /** The present level, for the accounts of this epoch. */
    SheddingLevel at(final long epoch) {
        return SheddingLevel.of(epoch, kept);
    }
}
