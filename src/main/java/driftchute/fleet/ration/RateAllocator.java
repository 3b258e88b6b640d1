package driftchute.fleet.ration;

import driftchute.fleet.FleetConfig;
import driftchute.fleet.ration.MaxMinFairness.Claim;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Divides each limit among the couriers that demand a share of it, while its courier holds the role. The granted shares
 * that may still be in use never exceed the part that may be leased (docs/fleet-rations.md, Bounds). Times are
 * monotonic us.
 */
class RateAllocator {
    /** Maximum number of destinations of one courier. No courier can displace another's. */
    static final int MAX_DESTINATIONS = 1024;
    /** Part of the unclaimed capacity that goes to those who ask. The rest is available at once for newcomers. */
    private static final double UNCLAIMED_SHARE = 0.5;
    /** A share below this part of its target is raised when other shares have expired. */
    private static final double SHORT_SHARE = 0.9;
    /** A further grant must exceed the previous one by this factor and this share to be worth sending. */
    private static final double MIN_RAISE_FACTOR = 1.1;

    private static final int MIN_RAISE = LimitShares.WHOLE / 200;
    /** Interval at which shares below their target are examined again, us. */
    private static final long RECHECK_US = 25_000;

    private static final double MILLION = 1_000_000;

    /** A granted share that may be in use until then. */
    private record OutstandingShare(int share, long untilUs) {}

    /** The last demand of one courier for one destination, and the shares it may still be using. */
    private static final class DestinationDemand {
        private long seq;
        private long receivedUs;
        private double limit;
        private double demand;
        private int granted;
        private boolean belowTarget;
        /**
         * From first to last, shares decrease and expiry times increase: a share below a later, greater one is
         * irrelevant.
         */
        private final Deque<OutstandingShare> outstanding = new ArrayDeque<>();

        int outstandingShare(final long nowUs) {
            while (!outstanding.isEmpty() && outstanding.peek().untilUs() <= nowUs) {
                outstanding.remove();
            }
            return outstanding.isEmpty() ? 0 : outstanding.peek().share();
        }

        void grant(final int share, final long untilUs) {
            granted = share;
            while (!outstanding.isEmpty() && outstanding.peekLast().share() <= share) {
                outstanding.removeLast();
            }
            outstanding.add(new OutstandingShare(share, untilUs));
        }
    }

    /** One courier: its demands by destination, and the settings it reported. */
    private static final class CourierDemand {
        private final Map<Long, DestinationDemand> demands = new HashMap<>();
        private int reserve;
        private long leaseUs;
    }

    private final int couriers;
    private final int leaseMs;
    private final double driftShare;
    private final CourierDemand self = new CourierDemand();
    private final Map<Integer, CourierDemand> couriersByNumber = new TreeMap<>();
    /** The last limit of each destination, for when the couriers that reported it are gone. */
    private final Map<Long, Double> lastLimits = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(final Map.Entry<Long, Double> eldest) {
            return size() > MAX_DESTINATIONS;
        }
    };

    private OptionalLong token = OptionalLong.empty();
    private long termSinceUs;
    private long nextCheckUs = Long.MIN_VALUE;

    RateAllocator(final int couriers, final FleetConfig block) {
        this.couriers = couriers;
        this.leaseMs = block.rationMs();
        this.driftShare = block.driftPpm() / MILLION;
        self.reserve = LimitShares.atLeast(block.reserve());
        self.leaseUs = block.rationMs() * 1000L;
    }

    /** Updates whether its courier holds the role, and under which token. @return true if a term began or ended */
    boolean updateTerm(final long nowUs, final OptionalLong held) {
        final boolean changed = !token.equals(held);
        if (changed) {
            token = held;
            termSinceUs = nowUs;
        }
        return changed;
    }

    /** When it begins to grant: the previous holder's grants have expired by then. */
    long readyUs() {
        return termSinceUs + withDrift(longestLeaseUs());
    }

    private long withDrift(final long us) {
        return (long) Math.ceil(us * (1 + driftShare));
    }

    private long longestLeaseUs() {
        return Math.max(
                self.leaseUs,
                couriersByNumber.values().stream()
                        .mapToLong(courierDemand -> courierDemand.leaseUs)
                        .max()
                        .orElse(0));
    }

    /** The greatest reserve that any courier uses. It cannot be leased. */
    private int reserve() {
        return Math.max(
                self.reserve,
                couriersByNumber.values().stream()
                        .mapToInt(courierDemand -> courierDemand.reserve)
                        .max()
                        .orElse(0));
    }

    /** Handles a lease request; answers through {@code reply} as far as something may be granted now. */
    void onRequest(
            final long nowUs, final int from, final LeaseRequest request, final BiConsumer<Integer, LeaseGrant> reply) {
        final CourierDemand courierDemand = couriersByNumber.computeIfAbsent(from, unused -> new CourierDemand());
        courierDemand.reserve = request.reserve();
        courierDemand.leaseUs = request.leaseMs() * 1000L;
        final List<Long> fresh = new ArrayList<>();
        for (final LeaseRequest.Demand requested : request.demands()) {
            if (courierDemand.demands.size() >= MAX_DESTINATIONS
                    && !courierDemand.demands.containsKey(requested.destination())) {
                continue;
            }
            final DestinationDemand demand =
                    courierDemand.demands.computeIfAbsent(requested.destination(), unused -> new DestinationDemand());
            if (demand.receivedUs > nowUs - 2 * self.leaseUs && request.seq() <= demand.seq) {
                continue;
            }
            demand.seq = request.seq();
            demand.receivedUs = nowUs;
            demand.limit = requested.limit();
            demand.demand = requested.rate();
            demand.granted = 0;
            demand.belowTarget = true;
            fresh.add(requested.destination());
        }
        if (isReady(nowUs)) {
            grant(nowUs, from, request.seq(), fresh, reply);
        }
    }

    private boolean isReady(final long nowUs) {
        return token.isPresent() && nowUs >= readyUs();
    }

    /** Grants more on existing requests if shares of other couriers that prevented it have expired. */
    void grantMore(final long nowUs, final BiConsumer<Integer, LeaseGrant> reply) {
        if (!isReady(nowUs) || nowUs < nextCheckUs) {
            return;
        }
        nextCheckUs = nowUs + RECHECK_US;
        couriersByNumber.forEach((courier, courierDemand) -> {
            courierDemand
                    .demands
                    .values()
                    .removeIf(demand ->
                            demand.receivedUs <= nowUs - 2 * longestLeaseUs() && demand.outstandingShare(nowUs) == 0);
            final Map<Long, List<Long>> bySeq = new TreeMap<>();
            courierDemand.demands.forEach((destination, demand) -> {
                demand.belowTarget &= demand.receivedUs > nowUs - self.leaseUs / 2;
                if (demand.belowTarget
                        && share(nowUs, courierDemand, destination) > MIN_RAISE_FACTOR * demand.granted + MIN_RAISE) {
                    bySeq.computeIfAbsent(demand.seq, unused -> new ArrayList<>())
                            .add(destination);
                }
            });
            bySeq.forEach((seq, destinations) -> grant(nowUs, courier, seq, destinations, reply));
        });
    }

    private void grant(
            final long nowUs,
            final int courier,
            final long seq,
            final List<Long> destinations,
            final BiConsumer<Integer, LeaseGrant> reply) {
        final CourierDemand courierDemand = couriersByNumber.get(courier);
        final List<LeaseGrant.GrantedShare> shares = new ArrayList<>();
        for (final long destination : destinations) {
            final int share = share(nowUs, courierDemand, destination);
            if (share > 0) {
                final DestinationDemand demand = courierDemand.demands.get(destination);
                // The courier stops using the share one lease time after it sent this request, so it counts from the
                // request's arrival.
                demand.grant(share, demand.receivedUs + withDrift(self.leaseUs));
                shares.add(new LeaseGrant.GrantedShare(destination, share, (float) limit(nowUs, destination)));
            }
        }
        if (!shares.isEmpty()) {
            reply.accept(courier, new LeaseGrant(seq, token.getAsLong(), leaseMs, shares));
        }
    }

    /** The share that this courier may have now: its fair share, as far as the others' shares permit. */
    private int share(final long nowUs, final CourierDemand courierDemand, final long destination) {
        final DestinationDemand demand = courierDemand.demands.get(destination);
        final double limit = limit(nowUs, destination);
        final int reserve = reserve();
        final int leasable = LimitShares.WHOLE - reserve;
        final List<Claim> claims = new ArrayList<>();
        int free = leasable;
        int index = -1;
        for (final CourierDemand other : couriersByNumber.values()) {
            final DestinationDemand otherDemand = other.demands.get(destination);
            if (otherDemand != null) {
                free -= other == courierDemand ? 0 : otherDemand.outstandingShare(nowUs);
                if (otherDemand.receivedUs > nowUs - self.leaseUs) {
                    index = other == courierDemand ? claims.size() : index;
                    claims.add(claim(otherDemand.demand, limit, reserve));
                }
            }
        }
        if (limit <= 0 || index < 0 || claims.get(index).demand() <= 0) {
            demand.belowTarget = false;
            return 0;
        }
        final double[] fairShares = MaxMinFairness.share(leasable, claims);
        double unclaimed = leasable;
        int askers = 0;
        for (int i = 0; i < fairShares.length; i++) {
            unclaimed -= fairShares[i];
            askers += claims.get(i).demand() > 0 ? 1 : 0;
        }
        final int target = (int) (fairShares[index] + Math.max(0, UNCLAIMED_SHARE * unclaimed / askers));
        final int share = Math.max(0, Math.min(target, free));
        demand.belowTarget = share < SHORT_SHARE * target;
        return share;
    }

    /** The demand above the reserved part, as a share of the limit. */
    private Claim claim(final double demand, final double limit, final int reserve) {
        final double part = limit <= 0 ? 0 : demand / limit * LimitShares.WHOLE - (double) reserve / couriers;
        return new Claim(Math.max(0, part), 0, 1);
    }

    /** The lowest limit reported recently, otherwise the last one; 0 if none is known. */
    private double limit(final long nowUs, final long destination) {
        double lowest = Double.POSITIVE_INFINITY;
        for (final CourierDemand courierDemand : couriersByNumber.values()) {
            final DestinationDemand demand = courierDemand.demands.get(destination);
            if (demand != null && demand.limit > 0 && demand.receivedUs > nowUs - 2 * self.leaseUs) {
                lowest = Math.min(lowest, demand.limit);
            }
        }
        if (Double.isInfinite(lowest)) {
            return lastLimits.getOrDefault(destination, 0.0);
        }
        lastLimits.put(destination, lowest);
        return lowest;
    }

    /** When it should examine again: soon while a courier has less than its share, else never. */
    long nextUs(final long nowUs) {
        if (token.isEmpty()
                || couriersByNumber.values().stream()
                        .noneMatch(courierDemand ->
                                courierDemand.demands.values().stream().anyMatch(demand -> demand.belowTarget))) {
            return Long.MAX_VALUE;
        }
        return Math.max(nowUs + RECHECK_US, readyUs());
    }
}
