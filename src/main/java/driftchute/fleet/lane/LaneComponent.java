package driftchute.fleet.lane;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * The lanes' component of the control plane: reports this courier's offered load to the allocator, decides if this
 * courier is the allocator, and stores the received levels, each for one lease time (docs/fleet-lanes.md).
 */
public final class LaneComponent implements Component {
    /** Reports and decisions per lease time: two may be lost before a report expires. */
    private static final int REPORTS_PER_LEASE = 3;
    /**
     * How long an expired level is remembered, us: datagrams may be seconds late, and a new allocator continues from
     * it.
     */
    private static final long REMEMBER_LEVEL_US = 10_000_000;

    /** The last level received for a destination. */
    private record LastLevel(LevelVersion version, ReceivedLevel level) {}

    private final int couriers;
    private final long leaseUs;
    private final Supplier<Lanes> current;
    private final AllocatorRole role;
    private final DestinationLimits limits;
    private final EventLog events;
    private final Map<Long, LastLevel> received = new HashMap<>();
    private Map<Long, double[]> offered = Map.of();
    private long offeredUntilUs;
    private Lanes lanes;
    private LaneAllocator allocator;
    private int loggedDigest;
    /**
     * Numbers the levels that this courier decides. Never restarts, because several allocators may hold one token in
     * turn.
     */
    private long sequence;

    private long dueUs = Long.MIN_VALUE;

    /**
     * Creates the component of one courier in a tier of so many.
     *
     * @param leaseUs how long a level is valid, us
     * @param current the lanes in force, which may change
     */
    public LaneComponent(
            final int couriers,
            final long leaseUs,
            final Supplier<Lanes> current,
            final AllocatorRole role,
            final DestinationLimits limits,
            final EventLog events) {
        this.couriers = couriers;
        this.leaseUs = leaseUs;
        this.current = current;
        this.role = role;
        this.limits = limits;
        this.events = events;
        this.lanes = current.get();
    }

    /** Sets this courier's offered load, messages per second by destination and lane, from {@link LoadShedder#update}. */
    public void setOffered(final ClockReading now, final Map<Long, double[]> perSecond) {
        offered = Map.copyOf(perSecond);
        offeredUntilUs = now.monoUs() + leaseUs;
    }

    /** The view for the traffic. */
    public LaneView view(final ClockReading now) {
        expire(now);
        return new LaneView(lanes, levels());
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(DemandMessage.TYPE, DemandMessage::read, LevelMessage.TYPE, LevelMessage::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        updateLanes();
        if (message instanceof DemandMessage demand && isAllocator(now)) {
            allocator.onDemand(from, demand, limits.limit(demand.destination()), now.monoUs() + leaseUs);
        } else if (message instanceof LevelMessage level) {
            onLevel(now, from, level);
        }
    }

    private void onLevel(final ClockReading now, final int from, final LevelMessage message) {
        final LastLevel last = received.get(message.destination());
        final boolean fromHolder = role.accepts(message.version().token())
                && role.holder(now).map(holder -> holder == from).orElse(true);
        if (fromHolder && message.digest() != lanes.digest()) {
            logForeignConfig(from, message.digest());
            return;
        }
        final boolean news = last == null
                ? received.size() < DemandTable.MAX_DESTINATIONS
                : message.version().compareTo(last.version) > 0;
        if (!fromHolder || !news || message.level().lanes() != lanes.count()) {
            return;
        }
        received.put(
                message.destination(),
                new LastLevel(message.version(), new ReceivedLevel(message.level(), now.monoUs() + leaseUs)));
    }

    /**
     * The allocator uses another configuration, so that this courier decides by itself. Logged once per configuration.
     */
    private void logForeignConfig(final int from, final int digest) {
        if (digest != loggedDigest) {
            loggedDigest = digest;
            events.event("lane_level_foreign", "courier", from, "digest", digest, "held", lanes.digest());
        }
    }

    private void expire(final ClockReading now) {
        received.values().removeIf(last -> now.monoUs() >= last.level.untilUs() + REMEMBER_LEVEL_US);
    }

    private Map<Long, ReceivedLevel> levels() {
        final Map<Long, ReceivedLevel> levels = new HashMap<>();
        received.forEach((destination, last) -> levels.put(destination, last.level));
        return levels;
    }

    private void updateLanes() {
        final Lanes next = current.get();
        if (next != lanes) {
            if (next.digest() != lanes.digest()) {
                received.clear();
                offered = Map.of();
            }
            lanes = next;
            loggedDigest = 0;
        }
    }

    private boolean isAllocator(final ClockReading now) {
        final OptionalLong token = role.held(now);
        if (token.isEmpty()) {
            allocator = null;
        } else if (allocator == null || !allocator.decidesUnder(token.getAsLong(), lanes)) {
            allocator = new LaneAllocator(lanes, couriers, token.getAsLong(), () -> ++sequence, events);
        }
        return allocator != null;
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        if (now.monoUs() < dueUs) {
            return dueUs;
        }
        dueUs = now.monoUs() + leaseUs / REPORTS_PER_LEASE;
        updateLanes();
        expire(now);
        if (now.monoUs() < offeredUntilUs) {
            role.holder(now)
                    .ifPresent(holder -> offered.forEach((destination, perSecond) -> {
                        if (perSecond.length == lanes.count()) {
                            out.send(holder, DemandMessage.of(lanes.digest(), destination, perSecond));
                        }
                    }));
        }
        if (isAllocator(now)) {
            allocator.decide(now, limits, levels(), out);
        }
        return dueUs;
    }
}
