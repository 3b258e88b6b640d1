package driftchute.fleet.lane;

import driftchute.fleet.EventLog;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongToDoubleFunction;

/**
 * Decides which arriving messages one courier sheds: by the fleet's level if one was received within a lease time,
 * otherwise by its own demand and its own part of the limit (docs/fleet-lanes.md). Used by the traffic's thread only;
 * times in us on the clock of its events. The caller determines each message's lane by {@link Lanes} and {@link Quota}.
 */
public final class LoadShedder {
    /** Time without messages after which a destination is forgotten, us. */
    private static final long IDLE_US = 60_000_000;

    private final long leaseUs;
    private final EventLog events;
    private final Map<Long, DestinationLanes> states = new LinkedHashMap<>();
    private final Map<Long, Integer> loggedFirstShed = new HashMap<>();
    private Map<Long, ReceivedLevel> levels = Map.of();
    private Lanes lanes;

    /**
     * Creates the shedder.
     *
     * @param leaseUs how long a new destination waits for a level before this courier decides by itself, us
     */
    public LoadShedder(final long leaseUs, final Lanes lanes, final EventLog events) {
        this.leaseUs = leaseUs;
        this.lanes = lanes;
        this.events = events;
    }

    /** Handles a new view. If the lanes changed, everything learnt with the old ones is dropped. */
    public void onView(final long nowUs, final LaneView view) {
        if (view.lanes() != lanes) {
            states.clear();
            loggedFirstShed.clear();
            lanes = view.lanes();
        }
        levels = view.levels();
        levels.forEach((destination, level) -> {
            final DestinationLanes state = states.get(destination);
            if (state != null) {
                state.onLevel(nowUs, level);
            }
        });
    }

    /** Counts an arriving message, whatever happens to it. Once per message, before {@link #shouldShed}. */
    public void countOffered(final long nowUs, final long destination, final int lane) {
        DestinationLanes state = states.get(destination);
        if (state == null && states.size() < DemandTable.MAX_DESTINATIONS) {
            state = new DestinationLanes(nowUs, lanes.shares(), leaseUs);
            states.put(destination, state);
            if (levels.containsKey(destination)) {
                state.onLevel(nowUs, levels.get(destination));
            }
        }
        if (state != null) {
            state.countOffered(nowUs, lane);
        }
    }

    /** True if an arriving message is to be shed. Once per message, because admitted messages are counted. */
    public boolean shouldShed(final long nowUs, final long destination, final int lane, final long account) {
        final DestinationLanes state = states.get(destination);
        return state != null && state.sheds(nowUs, lane, account);
    }

    /**
     * True for an account that the level in force sheds. For held messages ({@link HeldMessages}); may be called repeatedly.
     */
    public boolean isMarked(final long nowUs, final long destination, final int lane, final long account) {
        final DestinationLanes state = states.get(destination);
        return state != null && state.level(nowUs).sheds(lane, account);
    }

    /**
     * Updates the rates and this courier's own level. To be called a few times per lease time.
     *
     * @param ownPart messages per second that this courier may send to a destination by itself: its rate lease, or its
     * even
     *     part of the reserve; 0 if unknown, and then it sheds nothing by itself
     * @return the offered load, messages per second by destination and lane, for {@link LaneComponent#setOffered}
     */
    public Map<Long, double[]> update(final long nowUs, final LongToDoubleFunction ownPart) {
        states.values().removeIf(state -> state.idleSince(nowUs - IDLE_US));
        loggedFirstShed.keySet().retainAll(states.keySet());
        final Map<Long, double[]> rates = new HashMap<>();
        states.forEach((destination, state) -> {
            state.update(nowUs, ownPart.applyAsDouble(destination));
            state.adjustBands(nowUs);
            logDecision(nowUs, destination, state);
            final double[] offered = state.rates();
            for (final double each : offered) {
                if (each > 0) {
                    rates.put(destination, offered);
                }
            }
        });
        return rates;
    }

    /** Logs when this courier begins, or ends, to shed by itself, or by another lane. */
    private void logDecision(final long nowUs, final long destination, final DestinationLanes state) {
        final int first = state.decidesAlone(nowUs) ? state.level(nowUs).firstShed() : -1;
        final Integer before = loggedFirstShed.put(destination, first);
        if (first != (before == null ? -1 : before)) {
            events.event("lane_alone", "destination", destination, "lane", first < 0 ? "" : lanes.name(first));
        }
    }
}
