package driftchute.fleet.lane;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Meters each account against its lane's quota. Messages beyond it count in the last lane. The quota is the fleet's:
 * this courier meters its even part, or its leased share of the limits if that is more, so that within T seconds an
 * account passes at most 2 x quota x (T + 2 s) messages at all couriers, plus one per courier (docs/fleet-lanes.md).
 */
public final class Quota {
    /** Maximum number of metered accounts, about a megabyte. */
    static final int MAX_ACCOUNTS = 10_000;
    /** Burst, us: two seconds of the rate, because clients send in bursts and a courier's part is small. */
    private static final long BURST_US = 2_000_000;
    /** Spreads lane numbers over 64 bits: the golden ratio. */
    private static final long LANE_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final double evenShare;
    private double share;
    private Lanes lanes;
    private final Map<Long, Gcra> meters = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(final Map.Entry<Long, Gcra> eldest) {
            return size() > MAX_ACCOUNTS;
        }
    };

    /**
     * Creates the meters.
     *
     * @param couriers number of configured couriers, 1 or more
     */
    public Quota(final int couriers, final Lanes lanes) {
        this.evenShare = 1.0 / couriers;
        this.share = evenShare;
        this.lanes = lanes;
    }

    /** Replaces the lanes. What accounts have used stays counted. */
    public void setLanes(final Lanes next) {
        this.lanes = next;
    }

    /** Sets this courier's leased share of the limits, 0 to 1; invalid values count as 0. */
    public void setLeasedShare(final double leasedShare) {
        share = Math.max(evenShare, leasedShare >= 0 && leasedShare <= 1 ? leasedShare : 0);
    }

    /** The lane in which one more message of this account counts. {@code lane} is its lane by tenant and class. */
    public int meteredLane(final long nowUs, final int lane, final long account) {
        final int last = lanes.count() - 1;
        final double quota = lanes.quota(lane);
        if (lane == last || quota == 0) {
            return lane;
        }
        final Gcra meter = meters.computeIfAbsent(account ^ lane * LANE_MULTIPLIER, unused -> Gcra.ceiling(BURST_US));
        meter.rate(nowUs, quota * share);
        if (!meter.conforms(nowUs)) {
            return last;
        }
        meter.charge(nowUs);
        return lane;
    }
}
