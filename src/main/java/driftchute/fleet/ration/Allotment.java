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
final class Allotment {
    /** Headroom on the calls made. Demand beyond the use is lost to the others during overload, so it is small. */
    private static final double HEADROOM = 1.05;
    /**
     * The queue of paced calls comes and goes. Up to this many seconds of it may be sent slowly, within that many
     * seconds.
     */
    private static final double LINE_S = 2;

    private static final double SLOWLY_S = 10;
    /** A demand that has grown by more than this factor counts at once, without smoothing. */
    private static final double JUMP = 2;
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
    private static final double STILL = 0.8;
    /** Minimum demand worth asking for, calls per second: one in ten seconds. */
    private static final double MIN = 0.1;

    private record Lease(int share, double basis, long untilUs) {
        double rate(final double told) {
            return Shares.rate(share, told > 0 ? Math.min(told, basis) : basis);
        }
    }

    /** From this time to the next step, at least this rate was allowed. */
    private record Step(long fromUs, double level) {}

    private final double reservePart;
    private final long settleUs;
    private final ToldLimit told;
    private final List<Lease> leases = new ArrayList<>();
    /** Newest first. */
    private final Deque<Step> steps = new ArrayDeque<>();

    private long lookedUs;
    private double basis;
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
    Allotment(final long nowUs, final double reservePart, final long settleUs, final long windowUs) {
        this.reservePart = reservePart;
        this.settleUs = settleUs;
        this.told = new ToldLimit(windowUs);
        this.reportedUs = this.lookedUs = this.usedUs = nowUs;
    }

    /**
     * The destination is in use. Reports its limit (0: none), the calls per second made and the number of waiting
     * messages.
     */
    void report(final long nowUs, final double limit, final double callsPerSecond, final int waiting) {
        look(nowUs);
        told.told(nowUs, limit);
        demand(nowUs, HEADROOM * callsPerSecond + waiting / SLOWLY_S + Math.max(0, waiting - LINE_S * demand));
        usedUs = nowUs;
        look(nowUs);
    }

    /** The destination is not in use. */
    void idle(final long nowUs) {
        demand(nowUs, 0);
        look(nowUs);
    }

    private void demand(final long nowUs, final double fresh) {
        final double kept = Math.exp(-(double) (nowUs - reportedUs) / settleUs);
        demand = Math.min(Want.MAX_RATE, fresh > JUMP * demand ? fresh : fresh + (demand - fresh) * kept);
        reportedUs = nowUs;
    }

    /** The rate to ask for, calls per second; 0 if the reserved part is enough or the reports have stopped. */
    double wanted(final long nowUs) {
        final double enough = (asking ? STILL : 1) * reserve();
        asking = demand > Math.max(enough, MIN) && nowUs - reportedUs < settleUs;
        return asking ? demand : 0;
    }

    /** The reported limit, calls per second; 0 if none. */
    double limit() {
        return told.limit();
    }

    /** When the traffic last reported it. */
    long usedUs() {
        return usedUs;
    }

    /** This courier is granted a share of the limit until that time. */
    void grant(final long nowUs, final int share, final double limit, final long untilUs) {
        look(nowUs);
        final Lease lease = new Lease(share, limit, untilUs);
        if (share == 0 || untilUs <= nowUs || leases.contains(lease)) {
            return;
        }
        basis = limit;
        leases.removeIf(old -> old.untilUs() <= untilUs && old.share() <= share && old.basis() <= limit);
        leases.add(lease);
        if (leases.size() > MAX_LEASES) {
            leases.remove(0);
        }
        look(nowUs);
    }

    private double reserve() {
        return reservePart * (told.limit() > 0 ? told.limit() : basis);
    }

    /** Records the rate allowed now. A decrease is dated to the last call of this method, an increase to now. */
    private void look(final long nowUs) {
        leases.removeIf(lease -> lease.untilUs() <= nowUs);
        final double level = reserve()
                + leases.stream()
                        .mapToDouble(lease -> lease.rate(told.limit()))
                        .max()
                        .orElse(0);
        final double before = steps.isEmpty() ? reserve() : steps.getFirst().level();
        if (level != before) {
            steps.addFirst(new Step(level < before ? lookedUs : nowUs, level));
        }
        if (steps.size() > MAX_STEPS) {
            final Step oldest = steps.removeLast();
            final Step next = steps.removeLast();
            steps.addLast(new Step(oldest.fromUs(), Math.min(oldest.level(), next.level())));
        }
        lookedUs = nowUs;
    }

    /**
     * The rate that may be used from now on, including the reserved part, and its expiry; null without a valid lease.
     */
    RateLease ration(final long nowUs) {
        look(nowUs);
        if (leases.isEmpty()) {
            return null;
        }
        final long lastUs = leases.stream().mapToLong(Lease::untilUs).max().getAsLong();
        final long soonUs = Math.min(nowUs + LOOK_AHEAD_US, lastUs);
        final double rate = leases.stream()
                .filter(lease -> lease.untilUs() >= soonUs)
                .mapToDouble(lease -> lease.rate(told.limit()))
                .max()
                .getAsDouble();
        final long untilUs = leases.stream()
                .filter(lease -> lease.rate(told.limit()) >= rate)
                .mapToLong(Lease::untilUs)
                .max()
                .getAsLong();
        return new RateLease(stood(nowUs, reserve() + rate), untilUs);
    }

    /**
     * The greatest rate up to {@code rate} that was allowed throughout the last call interval at that rate. Calls at
     * these intervals never exceed what was allowed, however it changed. The reserved part is always allowed.
     */
    private double stood(final long nowUs, final double rate) {
        double least = rate;
        for (final Step step : steps) {
            least = Math.min(least, step.level());
            if (least * (nowUs - step.fromUs()) >= SECOND_US) {
                return Math.max(least, reserve());
            }
        }
        return reserve();
    }

    boolean live(final long nowUs) {
        look(nowUs);
        return !leases.isEmpty();
    }
}
