package driftchute.fleet.ration;

import driftchute.Courier;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.FleetConfig;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

/**
 * Rate limits shared by the whole fleet (docs/fleet-rations.md). Asks the allocator for the share of each limit that
 * this courier can use beyond its reserved part, and acts as the allocator while it holds that role.
 *
 * <p>The clock reading passed with a message must be taken after the message was taken from the socket. The proof that
 * an old allocator's grants expire in time depends on it.
 */
public final class RateLeases implements Component {
    /** Maximum number of destinations. Others have only the reserved part. */
    static final int MAX_DESTINATIONS = RateAllocator.MAX_DESTINATIONS;
    /** Requests per lease time: two in a row may be lost before a share expires. */
    private static final int REQUESTS_PER_LEASE = 3;
    /**
     * Requests per lease time while there is no valid share, to lose less time by a lost request or a failed allocator.
     */
    private static final int REQUESTS_WITHOUT_SHARE = 6;
    /** Fraction of a lease time that is the minimum interval of requests for newly used destinations. */
    private static final int MIN_INTERVAL_DIVISOR = 15;
    /** Maximum number of remembered requests: those of one lease time, even if each destination has its own. */
    private static final int MAX_REMEMBERED_REQUESTS = 256;
    /** Time without use after which a destination is forgotten, us. */
    private static final long FORGET_AFTER_US = 60_000_000;
    /** Interval of checks while a share is valid, us. An increase takes effect one call interval after the grant. */
    private static final long CHECK_INTERVAL_US = 50_000;
    /** Minimum interval of log lines about refused grants, us. */
    private static final long LOG_INTERVAL_US = 1_000_000;
    /** Random variation of the request interval, so that couriers do not act in step. */
    private static final double JITTER = 0.1;
    /** Sequence numbers start at the wall-clock time in ms, followed by this many random bits. */
    private static final int RANDOM_BITS = 10;
    /** A wall clock beyond the year 10000 would give sequence numbers of more than 63 bits. */
    private static final long MAX_WALL_MS = (1L << 48) - 1;

    private static final double MILLION = 1_000_000;

    private record SentRequest(long atUs, LeasedRole.Holder to) {}

    private final LeasedRole role;
    private final EventLog events;
    private final Random random;
    private final RateAllocator allocator;
    private final int leaseMs;
    private final long leaseUs;
    private final double reservedShare;
    private final double ownReservedShare;
    private final double driftShare;
    private final Map<Long, DestinationLeases> destinations = new LinkedHashMap<>();
    private final Set<Long> requested = new HashSet<>();
    private final LinkedHashMap<Long, SentRequest> sentRequests = new LinkedHashMap<>();
    private Optional<LeasedRole.Holder> holder = Optional.empty();
    private long seq = -1;
    private long lastRequestUs = Long.MIN_VALUE / 2;
    private long nextRequestUs = Long.MIN_VALUE / 2;
    private long refused;
    private long nextLogUs = Long.MIN_VALUE / 2;

    /**
     * Creates the rate leases of one courier.
     *
     * @param seed source of randomness, different for each process
     */
    public RateLeases(
            final Tier tier, final FleetConfig block, final LeasedRole role, final long seed, final EventLog events) {
        this(tier, block, role, seed, events, new RateAllocator(tier.size(), block));
    }

    RateLeases(
            final Tier tier,
            final FleetConfig block,
            final LeasedRole role,
            final long seed,
            final EventLog events,
            final RateAllocator allocator) {
        this.role = role;
        this.events = events;
        this.random = new Random(seed);
        this.allocator = allocator;
        this.leaseMs = block.rationMs();
        this.leaseUs = leaseMs * 1000L;
        this.reservedShare = block.reserve();
        this.ownReservedShare = block.reserve() / tier.size();
        this.driftShare = block.driftPpm() / MILLION;
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(LeaseRequest.TYPE, LeaseRequest::read, LeaseGrant.TYPE, LeaseGrant::read);
    }

    /**
     * Handles what the traffic knows and needs of each destination in use, about every 100 ms. Implausible figures
     * count as none; destinations that are not listed are not in use.
     */
    public void onReports(final ClockReading now, final List<Courier.DestinationReport> reports) {
        final long nowUs = now.monoUs();
        final Set<Long> used = new HashSet<>();
        for (final Courier.DestinationReport report : reports) {
            final long destination = report.destination();
            if (destination < 0 || destinations.size() >= MAX_DESTINATIONS && !destinations.containsKey(destination)) {
                continue;
            }
            used.add(destination);
            destinations
                    .computeIfAbsent(
                            destination, unused -> new DestinationLeases(nowUs, ownReservedShare, leaseUs, leaseUs / 2))
                    .onReport(
                            nowUs,
                            plausible(report.limit()),
                            plausible(report.callsPerSecond()),
                            Math.max(0, report.waitingCalls()));
        }
        destinations.forEach((destination, leases) -> {
            if (!used.contains(destination)) {
                leases.onUnused(nowUs);
            }
        });
        destinations.values().removeIf(leases -> leases.usedUs() < nowUs - FORGET_AFTER_US && !leases.hasLease(nowUs));
    }

    private static double plausible(final double figure) {
        return figure > 0 && figure <= LeaseRequest.MAX_RATE ? figure : 0;
    }

    /**
     * The rates that this courier may use, including the reserved part, and their expiry (monotonic us); none without a
     * lease.
     */
    public Map<Long, Courier.RateLease> rateLeases(final ClockReading now) {
        final Map<Long, Courier.RateLease> rateLeases = new LinkedHashMap<>();
        destinations.forEach((destination, leases) -> {
            final Courier.RateLease rateLease = leases.rateLease(now.monoUs());
            if (rateLease != null) {
                rateLeases.put(destination, rateLease);
            }
        });
        return rateLeases;
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        if (message instanceof LeaseGrant grant) {
            onGrant(now, from, grant);
        } else if (message instanceof LeaseRequest request && isAllocator(now)) {
            allocator.onRequest(now.monoUs(), from, request, out::send);
        }
    }

    /** Whether this courier is the allocator now. Checked directly before each grant. */
    private boolean isAllocator(final ClockReading now) {
        final OptionalLong held = role.held(now);
        if (allocator.updateTerm(now.monoUs(), held)) {
            held.ifPresentOrElse(
                    token -> events.event(
                            "allocator",
                            "state",
                            "waits",
                            "token",
                            token,
                            "wait_ms",
                            (allocator.readyUs() - now.monoUs()) / 1000),
                    () -> events.event("allocator", "state", "ended"));
        }
        return held.isPresent();
    }

    private void onGrant(final ClockReading now, final int from, final LeaseGrant grant) {
        final SentRequest request = sentRequests.get(grant.seq());
        if (request == null || request.to().courier() != from) {
            return;
        }
        if (grant.token() < request.to().token() || !role.accepts(grant.token())) {
            refused++;
            if (now.monoUs() >= nextLogUs) {
                nextLogUs = now.monoUs() + LOG_INTERVAL_US;
                events.event("grants_refused", "courier", from, "token", grant.token(), "refused", refused);
            }
            return;
        }
        final long spanUs = Math.min(leaseUs, grant.leaseMs() * 1000L);
        final long untilUs = request.atUs() + (long) (spanUs * (1 - driftShare));
        for (final LeaseGrant.GrantedShare portion : grant.shares()) {
            final DestinationLeases leases = destinations.get(portion.destination());
            if (leases != null) {
                final int share = Math.min(portion.share(), LimitShares.WHOLE - LimitShares.atLeast(reservedShare));
                leases.grant(now.monoUs(), share, portion.limit(), untilUs);
            }
        }
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        final long nowUs = now.monoUs();
        if (isAllocator(now)) {
            allocator.grantMore(nowUs, out::send);
        }
        final List<LeaseRequest.Demand> demands = demands(nowUs);
        final Optional<LeasedRole.Holder> known = role.holder(now);
        final boolean eager =
                !known.equals(holder) || demands.stream().anyMatch(demand -> !requested.contains(demand.destination()));
        if (known.isPresent()
                && !demands.isEmpty()
                && nowUs >= (eager ? lastRequestUs + leaseUs / MIN_INTERVAL_DIVISOR : nextRequestUs)) {
            holder = known;
            sendRequests(now, known.get(), demands, out);
        }
        final boolean checksOften =
                !demands.isEmpty() || destinations.values().stream().anyMatch(each -> each.hasLease(nowUs));
        return Math.min(
                allocator.nextUs(nowUs), nowUs + (checksOften ? CHECK_INTERVAL_US : leaseUs / REQUESTS_PER_LEASE));
    }

    /** The demands to send: all present ones, and once more those that have ended. */
    private List<LeaseRequest.Demand> demands(final long nowUs) {
        final List<LeaseRequest.Demand> demands = new ArrayList<>();
        destinations.forEach((destination, leases) -> {
            final double wanted = leases.rateToRequest(nowUs);
            if (wanted > 0 || requested.contains(destination)) {
                demands.add(new LeaseRequest.Demand(destination, (float) leases.limit(), (float) wanted));
            }
        });
        return demands;
    }

    private void sendRequests(
            final ClockReading now,
            final LeasedRole.Holder to,
            final List<LeaseRequest.Demand> demands,
            final Outbox out) {
        final long nowUs = now.monoUs();
        lastRequestUs = nowUs;
        final int requests = destinations.values().stream().anyMatch(each -> each.hasLease(nowUs))
                ? REQUESTS_PER_LEASE
                : REQUESTS_WITHOUT_SHARE;
        nextRequestUs = nowUs + (long) (leaseUs / requests * (1 + JITTER * (2 * random.nextDouble() - 1)));
        requested.clear();
        sentRequests.values().removeIf(old -> old.atUs() <= nowUs - leaseUs);
        if (seq < 0) {
            seq = (now.wallMs() & MAX_WALL_MS) << RANDOM_BITS | random.nextInt(1 << RANDOM_BITS);
        }
        List<LeaseRequest.Demand> batch = new ArrayList<>();
        int freeBytes = LeaseRequest.MAX_DEMANDS_BYTES;
        for (final LeaseRequest.Demand demand : demands) {
            if (demand.size() > freeBytes) {
                send(nowUs, to, batch, out);
                batch = new ArrayList<>();
                freeBytes = LeaseRequest.MAX_DEMANDS_BYTES;
            }
            batch.add(demand);
            freeBytes -= demand.size();
            if (demand.rate() > 0) {
                requested.add(demand.destination());
            }
        }
        send(nowUs, to, batch, out);
    }

    private void send(
            final long nowUs, final LeasedRole.Holder to, final List<LeaseRequest.Demand> demands, final Outbox out) {
        seq++;
        sentRequests.put(seq, new SentRequest(nowUs, to));
        if (sentRequests.size() > MAX_REMEMBERED_REQUESTS) {
            sentRequests.remove(sentRequests.keySet().iterator().next());
        }
        out.send(to.courier(), new LeaseRequest(seq, leaseMs, LimitShares.atLeast(reservedShare), demands));
    }
}
