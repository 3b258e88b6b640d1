package driftchute.fleet.lane;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Meters each account against its lane's quota; what it sends beyond counts as the last lane's. The quota is the
 * fleet's: this courier meters its even part, or its leased share of the limits where that is more, so that over any
 * T seconds an account passes at most 2 x quota x (T + 2 s) messages at all couriers, and one a courier
 * (docs/fleet-lanes.md).
 */
public final class Quota {
    /** Accounts that are metered at once: about a megabyte. */
    static final int MOST_ACCOUNTS = 10_000;
    /** Two seconds of its rate: clients send in clumps, and a courier's part is small. */
    private static final long BURST_US = 2_000_000;
    /** Spreads lane numbers over 64 bits: the golden ratio, as elsewhere. */
    private static final long BY_LANE = 0x9E3779B97F4A7C15L;

    private final double even;
    private double part;
    private Lanes lanes;
    private final Map<Long, Gcra> meters = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(final Map.Entry<Long, Gcra> eldest) {
            return size() > MOST_ACCOUNTS;
        }
    };

    /** @param couriers how many are configured, 1 or more */
    public Quota(final int couriers, final Lanes lanes) {
        this.even = 1.0 / couriers;
        this.part = even;
        this.lanes = lanes;
    }

    /** Other lanes from now on; what accounts have used stays counted. */
    public void lanes(final Lanes next) {
        this.lanes = next;
    }

    /** This courier's leased share of the limits, 0 to 1; what is no such figure counts as 0. */
    public void leased(final double share) {
        part = Math.max(even, share >= 0 && share <= 1 ? share : 0);
    }

    /**
     * The lane that one more message of this account counts in, which would be {@code lane} by its tenant and class.
     */
    public int lane(final long nowUs, final int lane, final long account) {
        final int last = lanes.count() - 1;
        final double quota = lanes.quota(lane);
        if (lane == last || quota == 0) {
            return lane;
        }
        final Gcra meter = meters.computeIfAbsent(account ^ lane * BY_LANE, unused -> Gcra.ceiling(BURST_US));
        meter.rate(nowUs, quota * part);
        if (!meter.conforms(nowUs)) {
            return last;
        }
        meter.charge(nowUs);
        return lane;
    }
}
