package driftchute.fleet.ration;

import driftchute.Courier;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.EventLog;
import driftchute.fleet.FleetConfig;
import driftchute.fleet.Message;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import driftchute.fleet.Component;
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
public final class Rations implements Component {
    /** Maximum number of destinations. Others have only the reserved part. */
    static final int MAX_DESTINATIONS = Allocator.MAX_DESTINATIONS;
    /** Requests per lease time: two in a row may be lost before a share expires. */
    private static final int WANTS = 3;
    /**
     * Requests per lease time while there is no valid share, to lose less time by a lost request or a failed allocator.
     */
    private static final int LONE_WANTS = 6;
    /** Fraction of a lease time that is the minimum interval of requests for newly used destinations. */
    private static final int EAGER = 15;
    /** Maximum number of remembered requests: those of one lease time, even if each destination has its own. */
    private static final int MAX_SENT = 256;
    /** Time without use after which a destination is forgotten, us. */
    private static final long FORGET_US = 60_000_000;
    /** Interval of checks while a share is valid, us. An increase takes effect one call interval after the grant. */
    private static final long LOOK_US = 50_000;
    /** Minimum interval of log lines about refused grants, us. */
    private static final long LINE_US = 1_000_000;
    /** Random variation of the request interval, so that couriers do not act in step. */
    private static final double JITTER = 0.1;
    /** Sequence numbers start at the wall-clock time in ms, followed by this many random bits. */
    private static final int CHANCE_BITS = 10;
    /** A wall clock beyond the year 10000 would give sequence numbers of more than 63 bits. */
    private static final long MAX_WALL_MS = (1L << 48) - 1;

    private static final double MILLION = 1_000_000;

    private record Sent(long atUs, LeasedRole.Holder to) {}

    private final LeasedRole duty;
    private final EventLog events;
    private final Random random;
    private final Allocator allocator;
    private final int rationMs;
    private final long rationUs;
    private final double reserve;
    private final double reservePart;
    private final double driftPart;
    private final Map<Long, Allotment> allotments = new LinkedHashMap<>();
    private final Set<Long> asked = new HashSet<>();
    private final LinkedHashMap<Long, Sent> sent = new LinkedHashMap<>();
    private Optional<LeasedRole.Holder> holder = Optional.empty();
    private long seq = -1;
    private long lastWantUs = Long.MIN_VALUE / 2;
    private long nextWantUs = Long.MIN_VALUE / 2;
    private long refused;
    private long lineUs = Long.MIN_VALUE / 2;

    /**
     * Creates the rate leases of one courier.
     *
     * @param seed source of randomness, different for each process
     */
    public Rations(final Tier tier, final FleetConfig block, final LeasedRole duty, final long seed, final EventLog events) {
        this(tier, block, duty, seed, events, new Allocator(tier.size(), block));
    }

    Rations(
            final Tier tier,
            final FleetConfig block,
            final LeasedRole duty,
            final long seed,
            final EventLog events,
            final Allocator allocator) {
        this.duty = duty;
        this.events = events;
        this.random = new Random(seed);
        this.allocator = allocator;
        this.rationMs = block.rationMs();
        this.rationUs = rationMs * 1000L;
        this.reserve = block.reserve();
        this.reservePart = block.reserve() / tier.size();
        this.driftPart = block.driftPpm() / MILLION;
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(Want.TYPE, Want::read, Grant.TYPE, Grant::read);
    }

    /**
     * Handles what the traffic knows and needs of each destination in use, about every 100 ms. Implausible figures
     * count as none; destinations that are not listed are not in use.
     */
    public void reports(final ClockReading now, final List<Courier.DestinationReport> reports) {
        final long nowUs = now.monoUs();
        final Set<Long> used = new HashSet<>();
        for (final Courier.DestinationReport report : reports) {
            final long destination = report.destination();
            if (destination < 0 || allotments.size() >= MAX_DESTINATIONS && !allotments.containsKey(destination)) {
                continue;
            }
            used.add(destination);
            allotments
                    .computeIfAbsent(destination, unused -> new Allotment(nowUs, reservePart, rationUs, rationUs / 2))
                    .report(nowUs, sane(report.limit()), sane(report.callsPerSecond()), Math.max(0, report.waitingCalls()));
        }
        allotments.forEach((destination, allotment) -> {
            if (!used.contains(destination)) {
                allotment.idle(nowUs);
            }
        });
        allotments.values().removeIf(allotment -> allotment.usedUs() < nowUs - FORGET_US && !allotment.live(nowUs));
    }

    private static double sane(final double figure) {
        return figure > 0 && figure <= Want.MAX_RATE ? figure : 0;
    }

    /**
     * The rates that this courier may use, including the reserved part, and their expiry (monotonic us); none without a
     * lease.
     */
    public Map<Long, Courier.RateLease> rations(final ClockReading now) {
        final Map<Long, Courier.RateLease> rations = new LinkedHashMap<>();
        allotments.forEach((destination, allotment) -> {
            final Courier.RateLease ration = allotment.ration(now.monoUs());
            if (ration != null) {
                rations.put(destination, ration);
            }
        });
        return rations;
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        if (message instanceof Grant grant) {
            accept(now, from, grant);
        } else if (message instanceof Want want && holds(now)) {
            allocator.want(now.monoUs(), from, want, out::send);
        }
    }

    /** Whether this courier is the allocator now. Checked directly before each grant. */
    private boolean holds(final ClockReading now) {
        final OptionalLong held = duty.held(now);
        if (allocator.term(now.monoUs(), held)) {
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

    private void accept(final ClockReading now, final int from, final Grant grant) {
        final Sent want = sent.get(grant.seq());
        if (want == null || want.to().courier() != from) {
            return;
        }
        if (grant.token() < want.to().token() || !duty.accepts(grant.token())) {
            refused++;
            if (now.monoUs() >= lineUs) {
                lineUs = now.monoUs() + LINE_US;
                events.event("grants_refused", "courier", from, "token", grant.token(), "refused", refused);
            }
            return;
        }
        final long spanUs = Math.min(rationUs, grant.rationMs() * 1000L);
        final long untilUs = want.atUs() + (long) (spanUs * (1 - driftPart));
        for (final Grant.Portion portion : grant.portions()) {
            final Allotment allotment = allotments.get(portion.destination());
            if (allotment != null) {
                final int share = Math.min(portion.share(), Shares.WHOLE - Shares.atLeast(reserve));
                allotment.grant(now.monoUs(), share, portion.limit(), untilUs);
            }
        }
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        final long nowUs = now.monoUs();
        if (holds(now)) {
            allocator.again(nowUs, out::send);
        }
        final List<Want.Ask> asks = asks(nowUs);
        final Optional<LeasedRole.Holder> known = duty.holder(now);
        final boolean eager =
                !known.equals(holder) || asks.stream().anyMatch(ask -> !asked.contains(ask.destination()));
        if (known.isPresent() && !asks.isEmpty() && nowUs >= (eager ? lastWantUs + rationUs / EAGER : nextWantUs)) {
            holder = known;
            ask(now, known.get(), asks, out);
        }
        final boolean looks = !asks.isEmpty() || allotments.values().stream().anyMatch(each -> each.live(nowUs));
        return Math.min(allocator.nextUs(nowUs), nowUs + (looks ? LOOK_US : rationUs / WANTS));
    }

    /** The demands to send: all present ones, and once more those that have ended. */
    private List<Want.Ask> asks(final long nowUs) {
        final List<Want.Ask> asks = new ArrayList<>();
        allotments.forEach((destination, allotment) -> {
            final double wanted = allotment.wanted(nowUs);
            if (wanted > 0 || asked.contains(destination)) {
                asks.add(new Want.Ask(destination, (float) allotment.limit(), (float) wanted));
            }
        });
        return asks;
    }

    private void ask(final ClockReading now, final LeasedRole.Holder to, final List<Want.Ask> asks, final Outbox out) {
        final long nowUs = now.monoUs();
        lastWantUs = nowUs;
        final int wants = allotments.values().stream().anyMatch(each -> each.live(nowUs)) ? WANTS : LONE_WANTS;
        nextWantUs = nowUs + (long) (rationUs / wants * (1 + JITTER * (2 * random.nextDouble() - 1)));
        asked.clear();
        sent.values().removeIf(old -> old.atUs() <= nowUs - rationUs);
        if (seq < 0) {
            seq = (now.wallMs() & MAX_WALL_MS) << CHANCE_BITS | random.nextInt(1 << CHANCE_BITS);
        }
        List<Want.Ask> part = new ArrayList<>();
        int room = Want.MAX_ASKS;
        for (final Want.Ask ask : asks) {
            if (ask.size() > room) {
                send(nowUs, to, part, out);
                part = new ArrayList<>();
                room = Want.MAX_ASKS;
            }
            part.add(ask);
            room -= ask.size();
            if (ask.demand() > 0) {
                asked.add(ask.destination());
            }
        }
        send(nowUs, to, part, out);
    }

    private void send(final long nowUs, final LeasedRole.Holder to, final List<Want.Ask> asks, final Outbox out) {
        seq++;
        sent.put(seq, new Sent(nowUs, to));
        if (sent.size() > MAX_SENT) {
            sent.remove(sent.keySet().iterator().next());
        }
        out.send(to.courier(), new Want(seq, rationMs, Shares.atLeast(reserve), asks));
    }
}
