package driftchute.fleet.ration;

import driftchute.Courier.RateLease;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One courier's state for one destination: the reported limit, its demand, its leases, and the history of its allowed
 * rate.
 */
final class DestinationLeases {
    /** Headroom on the calls made. Demand beyond the use is lost to the others during overload, so it is small. */
    private static final double HEADROOM = 1.05;
    /**
     * The queue of paced calls comes and goes. Up to this many seconds of it may be sent slowly, within that many
     * seconds.
     */
    private static final double QUEUE_SECONDS = 2;

    private static final double QUEUE_SEND_SECONDS = 10;
    /** A demand that has grown by more than this factor counts at once, without smoothing. */
    private static final double UNSMOOTHED_GROWTH = 2;
    /**
     * A lease that expires sooner is published only if there is no other, because the next view may come up to 100 ms
     * later.
     */
    private static final long LOOK_AHEAD_US = 200_000;

    private static final double SECOND_US = 1_000_000;
    /** Maximum number of leases. Three are valid at a time, more only after repeated answers to one request. */
    private static final int MAX_LEASES = 16;
    /** Maximum number of stored level changes. Older ones are merged at the lower level. */
    private static final int MAX_STEPS = 64;
    /**
     * A courier that asks continues until its demand is below this part of its reserved part, to avoid switching on and
     * off.
     */
    private static final double KEEP_ASKING_SHARE = 0.8;
    /** Minimum demand worth asking for, calls per second: one in ten seconds. */
    private static final double MIN_DEMAND = 0.1;

    private record Lease(int share, double limit, long untilUs) {
        double rate(final double told) {
            return LimitShares.rate(share, told > 0 ? Math.min(told, limit) : limit);
        }
    }

    /** From this time to the next step, at least this rate was allowed. */
    private record RateStep(long fromUs, double level) {}

    private final double reservedShare;
    private final long settleUs;
    private final LimitEstimate limitEstimate;
    private final List<Lease> leases = new ArrayList<>();
    /** Newest first. */
    private final Deque<RateStep> steps = new ArrayDeque<>();

    private long recordedUs;
    private double grantLimit;
    private double demand;
    private long reportedUs;
    private long usedUs;
    private boolean asking;

    /**
     * Creates the state of a destination.
     *
     * @param reservePart this courier's reserved part of each limit
     * @param settleUs time constant for smoothing the demand, and the time without reports after which it is zero
     * @param windowUs window for smoothing reports of the limit
     */
    DestinationLeases(final long nowUs, final double reservePart, final long settleUs, final long windowUs) {
        this.reservedShare = reservePart;
        this.settleUs = settleUs;
        this.limitEstimate = new LimitEstimate(windowUs);
        this.reportedUs = this.recordedUs = this.usedUs = nowUs;
    }

    /**
     * The destination is in use. Reports its limit (0: none), the calls per second made and the number of waiting
     * messages.
     */
    void onReport(final long nowUs, final double limit, final double callsPerSecond, final int waiting) {
        recordRate(nowUs);
        limitEstimate.add(nowUs, limit);
        demand(
                nowUs,
                HEADROOM * callsPerSecond
                        + waiting / QUEUE_SEND_SECONDS
                        + Math.max(0, waiting - QUEUE_SECONDS * demand));
        usedUs = nowUs;
        recordRate(nowUs);
    }

    /** The destination is not in use. */
    void onUnused(final long nowUs) {
        demand(nowUs, 0);
        recordRate(nowUs);
    }

    private void demand(final long nowUs, final double fresh) {
        final double kept = Math.exp(-(double) (nowUs - reportedUs) / settleUs);
        demand = Math.min(
                LeaseRequest.MAX_RATE, fresh > UNSMOOTHED_GROWTH * demand ? fresh : fresh + (demand - fresh) * kept);
        reportedUs = nowUs;
    }

    /** The rate to ask for, calls per second; 0 if the reserved part is enough or the reports have stopped. */
    double rateToRequest(final long nowUs) {
        final double enough = (asking ? KEEP_ASKING_SHARE : 1) * reservedRate();
        asking = demand > Math.max(enough, MIN_DEMAND) && nowUs - reportedUs < settleUs;
        return asking ? demand : 0;
    }

    /** The reported limit, calls per second; 0 if none. */
    double limit() {
        return limitEstimate.limit();
    }

    /** When the traffic last reported it. */
    long usedUs() {
        return usedUs;
    }

    /** This courier is granted a share of the limit until that time. */
    void grant(final long nowUs, final int share, final double limit, final long untilUs) {
        recordRate(nowUs);
        final Lease lease = new Lease(share, limit, untilUs);
        if (share == 0 || untilUs <= nowUs || leases.contains(lease)) {
            return;
        }
        grantLimit = limit;
        leases.removeIf(old -> old.untilUs() <= untilUs && old.share() <= share && old.limit() <= limit);
        leases.add(lease);
        if (leases.size() > MAX_LEASES) {
            leases.remove(0);
        }
        recordRate(nowUs);
    }

    private double reservedRate() {
        return reservedShare * (limitEstimate.limit() > 0 ? limitEstimate.limit() : grantLimit);
    }

    /** Records the rate allowed now. A decrease is dated to the last call of this method, an increase to now. */
    private void recordRate(final long nowUs) {
        leases.removeIf(lease -> lease.untilUs() <= nowUs);
        final double level = reservedRate()
                + leases.stream()
                        .mapToDouble(lease -> lease.rate(limitEstimate.limit()))
                        .max()
                        .orElse(0);
        final double before =
                steps.isEmpty() ? reservedRate() : steps.getFirst().level();
        if (level != before) {
            steps.addFirst(new RateStep(level < before ? recordedUs : nowUs, level));
        }
        if (steps.size() > MAX_STEPS) {
            final RateStep oldest = steps.removeLast();
            final RateStep next = steps.removeLast();
            steps.addLast(new RateStep(oldest.fromUs(), Math.min(oldest.level(), next.level())));
        }
        recordedUs = nowUs;
    }

    /**
     * The rate that may be used from now on, including the reserved part, and its expiry; null without a valid lease.
     */
    RateLease rateLease(final long nowUs) {
        recordRate(nowUs);
        if (leases.isEmpty()) {
            return null;
        }
        final long lastUs = leases.stream().mapToLong(Lease::untilUs).max().getAsLong();
        final long soonUs = Math.min(nowUs + LOOK_AHEAD_US, lastUs);
        final double rate = leases.stream()
                .filter(lease -> lease.untilUs() >= soonUs)
                .mapToDouble(lease -> lease.rate(limitEstimate.limit()))
                .max()
                .getAsDouble();
        final long untilUs = leases.stream()
                .filter(lease -> lease.rate(limitEstimate.limit()) >= rate)
                .mapToLong(Lease::untilUs)
                .max()
                .getAsLong();
        return new RateLease(sustainedRate(nowUs, reservedRate() + rate), untilUs);
    }

    /**
     * The greatest rate up to {@code rate} that was allowed throughout the last call interval at that rate. Calls at
     * these intervals never exceed what was allowed, however it changed. The reserved part is always allowed.
     */
    private double sustainedRate(final long nowUs, final double rate) {
        double least = rate;
        for (final RateStep step : steps) {
            least = Math.min(least, step.level());
            if (least * (nowUs - step.fromUs()) >= SECOND_US) {
                return Math.max(least, reservedRate());
            }
        }
        return reservedRate();
    }

    boolean hasLease(final long nowUs) {
        recordRate(nowUs);
        return !leases.isEmpty();
    }
}
