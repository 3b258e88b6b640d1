package driftchute.fleet.lane;

import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import driftchute.fleet.Component;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * The lanes' component of the control plane: reports this courier's offered load to the allocator, decides if this
 * courier is the allocator, and stores the received levels, each for one lease time (docs/fleet-lanes.md).
 */
public final class LanePart implements Component {
    /** Reports and decisions per lease time: two may be lost before a report expires. */
    private static final int IN_RATION_TIME = 3;
    /**
     * How long an expired level is remembered, us: datagrams may be seconds late, and a new allocator continues from
     * it.
     */
    private static final long REMEMBERED_US = 10_000_000;

    /** The last level received for a destination. */
    private record Last(LevelVersion version, HeardLevel level) {}

    private final int couriers;
    private final long rationUs;
    private final Supplier<Lanes> current;
    private final Duty duty;
    private final Capacity capacity;
    private final EventLog events;
    private final Map<Long, Last> heard = new HashMap<>();
    private Map<Long, double[]> offered = Map.of();
    private long offeredUntilUs;
    private Lanes lanes;
    private Allocator allocator;
    private int toldForeign;
    /**
     * Numbers the levels that this courier decides. Never restarts, because several allocators may hold one token in
     * turn.
     */
    private long sequence;

    private long dueUs = Long.MIN_VALUE;

    /**
     * Creates the component of one courier in a tier of so many.
     *
     * @param rationUs how long a level is valid, us
     * @param current the lanes in force, which may change
     */
    public LanePart(
            final int couriers,
            final long rationUs,
            final Supplier<Lanes> current,
            final Duty duty,
            final Capacity capacity,
            final EventLog events) {
        this.couriers = couriers;
        this.rationUs = rationUs;
        this.current = current;
        this.duty = duty;
        this.capacity = capacity;
        this.events = events;
        this.lanes = current.get();
    }

    /** Sets this courier's offered load, messages per second by destination and lane, from {@link Shedder#turn}. */
    public void offered(final ClockReading now, final Map<Long, double[]> perSecond) {
        offered = Map.copyOf(perSecond);
        offeredUntilUs = now.monoUs() + rationUs;
    }

    /** The view for the traffic. */
    public LaneView view(final ClockReading now) {
        forget(now);
        return new LaneView(lanes, levels());
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(DemandMessage.TYPE, DemandMessage::read, LevelMessage.TYPE, LevelMessage::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        adopt();
        if (message instanceof DemandMessage demand && holds(now)) {
            allocator.demand(from, demand, capacity.limit(demand.destination()), now.monoUs() + rationUs);
        } else if (message instanceof LevelMessage level) {
            hear(now, from, level);
        }
    }

    private void hear(final ClockReading now, final int from, final LevelMessage message) {
        final Last last = heard.get(message.destination());
        final boolean fromHolder = duty.accepts(message.version().token())
                && duty.holder(now).map(holder -> holder == from).orElse(true);
        if (fromHolder && message.digest() != lanes.digest()) {
            foreign(from, message.digest());
            return;
        }
        final boolean news = last == null
                ? heard.size() < DemandTable.MAX_DESTINATIONS
                : message.version().compareTo(last.version) > 0;
        if (!fromHolder || !news || message.level().lanes() != lanes.count()) {
            return;
        }
        heard.put(
                message.destination(),
                new Last(message.version(), new HeardLevel(message.level(), now.monoUs() + rationUs)));
    }

    /**
     * The allocator uses another configuration, so that this courier decides by itself. Logged once per configuration.
     */
    private void foreign(final int from, final int digest) {
        if (digest != toldForeign) {
            toldForeign = digest;
            events.event("lane_level_foreign", "courier", from, "digest", digest, "held", lanes.digest());
        }
    }

    private void forget(final ClockReading now) {
        heard.values().removeIf(last -> now.monoUs() >= last.level.untilUs() + REMEMBERED_US);
    }

    private Map<Long, HeardLevel> levels() {
        final Map<Long, HeardLevel> levels = new HashMap<>();
        heard.forEach((destination, last) -> levels.put(destination, last.level));
        return levels;
    }

    private void adopt() {
        final Lanes next = current.get();
        if (next != lanes) {
            if (next.digest() != lanes.digest()) {
                heard.clear();
                offered = Map.of();
            }
            lanes = next;
            toldForeign = 0;
        }
    }

    private boolean holds(final ClockReading now) {
        final OptionalLong token = duty.held(now);
        if (token.isEmpty()) {
            allocator = null;
        } else if (allocator == null || !allocator.decidesUnder(token.getAsLong(), lanes)) {
            allocator = new Allocator(lanes, couriers, token.getAsLong(), () -> ++sequence, events);
        }
        return allocator != null;
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        if (now.monoUs() < dueUs) {
            return dueUs;
        }
        dueUs = now.monoUs() + rationUs / IN_RATION_TIME;
        adopt();
        forget(now);
        if (now.monoUs() < offeredUntilUs) {
            duty.holder(now)
                    .ifPresent(holder -> offered.forEach((destination, perSecond) -> {
                        if (perSecond.length == lanes.count()) {
                            out.send(holder, DemandMessage.of(lanes.digest(), destination, perSecond));
                        }
                    }));
        }
        if (holds(now)) {
            allocator.decide(now, capacity, levels(), out);
        }
        return dueUs;
    }
}
