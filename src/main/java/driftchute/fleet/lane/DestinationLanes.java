package driftchute.fleet.lane;

import java.util.Arrays;

/**
 * One courier's state of the lanes of one destination: offered load, the fleet's level, and its own level as a
 * fallback. Times in us.
 */
final class DestinationLanes {
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
    private final LaneRates reportedRates;
    private final LaneRates steadyRates;
    private final LaneAdmissionBand[] bands;
    private final SheddingController controller;
    private double ownLimit;
    private long updatedUs;
    private long lastOfferedUs;
    private ReceivedLevel fleetLevel;
    private SheddingLevel ownLevel = new SheddingLevel(0, new int[0]);

    /**
     * Creates the state of a destination.
     *
     * @param graceUs how long a courier that has received no level for a destination waits before it decides by itself
     */
    DestinationLanes(final long nowUs, final double[] shares, final long graceUs) {
        this.shares = shares;
        this.graceUs = graceUs;
        this.counts = new long[shares.length];
        this.reportedRates = new LaneRates(shares.length, 0, SMOOTH_US, SMOOTH_US);
        this.steadyRates = new LaneRates(shares.length, STEADY_MESSAGES, SMOOTH_US, STEADY_US);
        this.bands = new LaneAdmissionBand[shares.length];
        for (int i = 0; i < bands.length; i++) {
            bands[i] = new LaneAdmissionBand();
        }
        this.controller = new SheddingController(shares);
        this.updatedUs = nowUs;
        this.lastOfferedUs = nowUs;
        this.fleetLevel = new ReceivedLevel(ownLevel, nowUs + graceUs);
    }

    void countOffered(final long nowUs, final int lane) {
        counts[lane]++;
        lastOfferedUs = nowUs;
    }

    /** True if nothing was offered since that time. */
    boolean idleSince(final long us) {
        return lastOfferedUs < us;
    }

    /** Handles the fleet's level. An expired one is ignored. */
    void onLevel(final long nowUs, final ReceivedLevel level) {
        if (nowUs < level.untilUs()) {
            fleetLevel = level;
            adjustBands(nowUs);
        }
    }

    /** The level that applies. */
    SheddingLevel level(final long nowUs) {
        return decidesAlone(nowUs) ? ownLevel : fleetLevel.level();
    }

    /** True while this courier decides by itself. */
    boolean decidesAlone(final long nowUs) {
        return nowUs >= fleetLevel.untilUs();
    }

    /** Updates the rates and this courier's own level. {@code limit}: its part of the limit, messages per second. */
    void update(final long nowUs, final double limit) {
        final double elapsedUs = Math.max(1, nowUs - updatedUs);
        reportedRates.update(counts, elapsedUs);
        steadyRates.update(counts, elapsedUs);
        Arrays.fill(counts, 0);
        updatedUs = nowUs;
        ownLimit = limit > 0 && limit < Double.POSITIVE_INFINITY ? limit : 0;
        controller.decide(nowUs, steadyRates.perSecond(), ownLimit);
        final long epochUs = LaneAllocator.EPOCH_MS * 1000;
        ownLevel = controller.at(
                fleetLevel.level().epoch() + Math.max(0, nowUs - fleetLevel.untilUs() + graceUs) / epochUs);
    }

    /** Adjusts the bands to the level that applies now. */
    void adjustBands(final long nowUs) {
        final SheddingLevel level = level(nowUs);
        final double[] offered = steadyRates.perSecond();
        for (int i = 0; i < bands.length; i++) {
            bands[i].tune(nowUs, offered[i], 1 - level.cut(i), shares[i] * ownLimit);
        }
    }

    boolean sheds(final long nowUs, final int lane, final long account) {
        final SheddingLevel level = level(nowUs);
        return level.cut(lane) > 0 && !bands[lane].admits(nowUs, !level.sheds(lane, account));
    }

    /** Offered load, messages per second by lane. */
    double[] rates() {
        return reportedRates.perSecond();
    }
}
