package driftchute.fleet.lane;

import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.Outbox;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The allocator's side: computes a shedding level for each destination from all couriers' demand, and sends it to the
 * couriers that use that destination.
 */
final class LaneAllocator {
    /** How long the same accounts are shed, ms: longer than a client's retries, short compared to its patience. */
    static final long EPOCH_MS = 10_000;
    /** Maximum distance of another allocator's clock, in epochs (a minute). Greater ones are invalid. */
    private static final long MAX_EPOCHS_AHEAD = 6;

    private final Lanes lanes;
    private final int couriers;
    private final long token;
    private final LongSupplier sequence;
    private final EventLog events;
    private final DemandTable table;
    private final Map<Long, SheddingController> controllers = new HashMap<>();
    private final Map<Long, Integer> firstShed = new HashMap<>();
    private long epoch;

    /**
     * Creates the allocator of a fleet of so many couriers.
     *
     * @param token the fencing token under which it decides
     * @param sequence numbers its messages in increasing order
     */
    LaneAllocator(
            final Lanes lanes,
            final int couriers,
            final long token,
            final LongSupplier sequence,
            final EventLog events) {
        this.lanes = lanes;
        this.couriers = couriers;
        this.token = token;
        this.sequence = sequence;
        this.events = events;
        this.table = new DemandTable(lanes.count());
    }

    boolean decidesUnder(final long otherToken, final Lanes otherLanes) {
        return token == otherToken && lanes == otherLanes;
    }

    /** Handles a courier's demand. Nothing is stored for a destination whose limit is unknown. */
    void onDemand(final int from, final DemandMessage message, final double limit, final long untilUs) {
        final boolean ours =
                message.digest() == lanes.digest() && message.tenths().size() == lanes.count();
        if (limit > 0) {
            table.put(message.destination(), from, ours ? message.perSecond() : null, untilUs);
        }
    }

    /**
     * Decides on all destinations and sends the levels to the couriers that use them. {@code heard}: levels of an
     * earlier allocator, which new ones continue.
     */
    void decide(
            final ClockReading now,
            final DestinationLimits capacity,
            final Map<Long, ReceivedLevel> heard,
            final Outbox out) {
        table.expire(now.monoUs());
        controllers.keySet().retainAll(table.destinations());
        epoch = Math.max(epoch, Math.max(0, now.wallMs()) / EPOCH_MS);
        for (final long destination : table.destinations()) {
            final SheddingController level =
                    controllers.computeIfAbsent(destination, unused -> newController(heard.get(destination)));
            final DemandTable.TotalDemand sum = table.sum(destination, couriers);
            final double limit = capacity.limit(destination) * sum.sameConfigShare();
            level.decide(now.monoUs(), sum.perSecond(), limit);
            final SheddingLevel decided = level.at(epoch);
            logLevel(destination, decided, sum, limit);
            final LevelMessage message = new LevelMessage(
                    lanes.digest(), destination, new LevelVersion(token, sequence.getAsLong()), decided);
            sum.couriers().forEach(courier -> out.send(courier, message));
        }
        firstShed.keySet().retainAll(controllers.keySet());
    }

    private SheddingController newController(final ReceivedLevel heard) {
        final SheddingController level = new SheddingController(lanes.shares());
        if (heard != null) {
            level.continueFrom(heard.level());
            if (heard.level().epoch() <= epoch + MAX_EPOCHS_AHEAD) {
                epoch = Math.max(epoch, heard.level().epoch());
            }
        }
        return level;
    }

    private void logLevel(
            final long destination,
            final SheddingLevel decided,
            final DemandTable.TotalDemand sum,
            final double limit) {
        final int first = decided.firstShed();
        final Integer before = firstShed.put(destination, first);
        if (first != (before == null ? -1 : before)) {
            double offered = 0;
            for (final double each : sum.perSecond()) {
                offered += each;
            }
            events.event(
                    "lane_level",
                    "destination",
                    destination,
                    "lane",
                    first < 0 ? "" : lanes.name(first),
                    "cut",
                    first < 0 ? 0 : decided.cut(first),
                    "offered",
                    offered,
                    "limit",
                    limit,
                    "token",
                    token);
        }
    }
}
