package driftchute.fleet.lane;

import driftchute.fleet.Events;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongToDoubleFunction;

/**
 * What one courier sheds as messages come: by the fleet's level where one was heard within a ration time, otherwise
 * by its own demand and its own part of the limit (docs/fleet-lanes.md). For the traffic's thread alone; times in us
 * on the clock of its events. The caller names each message's lane by {@link Lanes} and {@link Quota}.
 */
public final class Shedder {
    /** A destination that got nothing for so long is forgotten. */
    private static final long IDLE_US = 60_000_000;

    private final long rationUs;
    private final Events events;
    private final Map<Long, LaneState> states = new LinkedHashMap<>();
    private final Map<Long, Integer> aloneFrom = new HashMap<>();
    private Map<Long, HeardLevel> levels = Map.of();
    private Lanes lanes;

    /**
     * @param rationUs how long a destination that is new here goes without a level before this courier decides alone
     */
    public Shedder(final long rationUs, final Lanes lanes, final Events events) {
        this.rationUs = rationUs;
        this.lanes = lanes;
        this.events = events;
    }

    /** What is shared is now this. With other lanes, what was learnt by the old ones is forgotten. */
    public void view(final long nowUs, final LaneView view) {
        if (view.lanes() != lanes) {
            states.clear();
            aloneFrom.clear();
            lanes = view.lanes();
        }
        levels = view.levels();
        levels.forEach((destination, level) -> {
            final LaneState state = states.get(destination);
            if (state != null) {
                state.hear(nowUs, level);
            }
        });
    }

    /** A message comes, whatever becomes of it; once for each, before {@link #shed}. */
    public void offered(final long nowUs, final long destination, final int lane) {
        LaneState state = states.get(destination);
        if (state == null && states.size() < DemandTable.MOST_DESTINATIONS) {
            state = new LaneState(nowUs, lanes.shares(), rationUs);
            states.put(destination, state);
            if (levels.containsKey(destination)) {
                state.hear(nowUs, levels.get(destination));
            }
        }
        if (state != null) {
            state.offered(nowUs, lane);
        }
    }

    /** True where a message that comes is to be shed; asked once for each, since what is let in is counted. */
    public boolean shed(final long nowUs, final long destination, final int lane, final long account) {
        final LaneState state = states.get(destination);
        return state != null && state.sheds(nowUs, lane, account);
    }

    /**
     * True for an account that the level in force would shed: for messages held ({@link Held}), as often as one likes.
     */
    public boolean marked(final long nowUs, final long destination, final int lane, final long account) {
        final LaneState state = states.get(destination);
        return state != null && state.level(nowUs).sheds(lane, account);
    }

    /**
     * Counts become rates, and this courier decides for itself in case it has to; to be called a few times in a
     * ration time.
     *
     * @param ownPart messages a second that this courier alone may send to a destination: its ration, or its even
     *         part of the reserve; 0: not known, and then it sheds nothing by itself
     * @return what is offered, messages a second by destination and lane, for {@link LanePart#offered}
     */
    public Map<Long, double[]> turn(final long nowUs, final LongToDoubleFunction ownPart) {
        states.values().removeIf(state -> state.idleSince(nowUs - IDLE_US));
        aloneFrom.keySet().retainAll(states.keySet());
        final Map<Long, double[]> rates = new HashMap<>();
        states.forEach((destination, state) -> {
            state.turn(nowUs, ownPart.applyAsDouble(destination));
            state.tune(nowUs);
            tell(nowUs, destination, state);
            final double[] offered = state.rates();
            for (final double each : offered) {
                if (each > 0) {
                    rates.put(destination, offered);
                }
            }
        });
        return rates;
    }

    /** One line when this courier begins, or ends, to shed by itself, or by another lane. */
    private void tell(final long nowUs, final long destination, final LaneState state) {
        final int first = state.isAlone(nowUs) ? state.level(nowUs).firstShed() : -1;
        final Integer before = aloneFrom.put(destination, first);
        if (first != (before == null ? -1 : before)) {
            events.event("lane_alone", "destination", destination, "lane", first < 0 ? "" : lanes.name(first));
        }
    }
}
