package driftchute.fleet.lane;

import java.util.Arrays;

/**
 * One courier's state of the lanes of one destination: offered load, the fleet's level, and its own level as a
 * fallback. Times in us.
 */
final class LaneState {
    /** Half a second follows a burst within one report; the sum over couriers is steady by itself. */
    private static final long SMOOTH_US = 500_000;
    /**
     * A decision by this courier alone is based on few messages; random variation of this many is about a twentieth,
     * the band of the level.
     */
    private static final int STEADY_MESSAGES = 500;

    private static final long STEADY_US = 3_000_000;

    private final double[] shares;
    private final long graceUs;
    private final long[] counts;
    private final LaneRates told;
    private final LaneRates steady;
    private final LaneBand[] bands;
    private final ShedLevel own;
    private double part;
    private long turnedUs;
    private long lastUs;
    private HeardLevel fleet;
    private Level alone = new Level(0, new int[0]);

    /**
     * Creates the state of a destination.
     *
     * @param graceUs how long a courier that has received no level for a destination waits before it decides by itself
     */
    LaneState(final long nowUs, final double[] shares, final long graceUs) {
        this.shares = shares;
        this.graceUs = graceUs;
        this.counts = new long[shares.length];
        this.told = new LaneRates(shares.length, 0, SMOOTH_US, SMOOTH_US);
        this.steady = new LaneRates(shares.length, STEADY_MESSAGES, SMOOTH_US, STEADY_US);
        this.bands = new LaneBand[shares.length];
        for (int i = 0; i < bands.length; i++) {
            bands[i] = new LaneBand();
        }
        this.own = new ShedLevel(shares);
        this.turnedUs = nowUs;
        this.lastUs = nowUs;
        this.fleet = new HeardLevel(alone, nowUs + graceUs);
    }

    void offered(final long nowUs, final int lane) {
        counts[lane]++;
        lastUs = nowUs;
    }

    /** True if nothing was offered since that time. */
    boolean idleSince(final long us) {
        return lastUs < us;
    }

    /** Handles the fleet's level. An expired one is ignored. */
    void hear(final long nowUs, final HeardLevel level) {
        if (nowUs < level.untilUs()) {
            fleet = level;
            tune(nowUs);
        }
    }

    /** The level that applies. */
    Level level(final long nowUs) {
        return isAlone(nowUs) ? alone : fleet.level();
    }

    /** True while this courier decides by itself. */
    boolean isAlone(final long nowUs) {
        return nowUs >= fleet.untilUs();
    }

    /** Updates the rates and this courier's own level. {@code ownPart}: its part of the limit, messages per second. */
    void turn(final long nowUs, final double ownPart) {
        final double elapsedUs = Math.max(1, nowUs - turnedUs);
        told.turn(counts, elapsedUs);
        steady.turn(counts, elapsedUs);
        Arrays.fill(counts, 0);
        turnedUs = nowUs;
        part = ownPart > 0 && ownPart < Double.POSITIVE_INFINITY ? ownPart : 0;
        own.decide(nowUs, steady.perSecond(), part);
        final long epochUs = Allocator.EPOCH_MS * 1000;
        alone = own.at(fleet.level().epoch() + Math.max(0, nowUs - fleet.untilUs() + graceUs) / epochUs);
    }

    /** Adjusts the bands to the level that applies now. */
    void tune(final long nowUs) {
        final Level level = level(nowUs);
        final double[] offered = steady.perSecond();
        for (int i = 0; i < bands.length; i++) {
            bands[i].tune(nowUs, offered[i], 1 - level.cut(i), shares[i] * part);
        }
    }

    boolean sheds(final long nowUs, final int lane, final long account) {
        final Level level = level(nowUs);
        return level.cut(lane) > 0 && !bands[lane].admits(nowUs, !level.sheds(lane, account));
    }

    /** Offered load, messages per second by lane. */
    double[] rates() {
        return told.perSecond();
    }
}
