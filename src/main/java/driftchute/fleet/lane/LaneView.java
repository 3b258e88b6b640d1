package driftchute.fleet.lane;

import java.util.Map;

/** What the traffic needs of the shared state: the lanes in force and the fleet's levels by destination. Immutable. */
public record LaneView(Lanes lanes, Map<Long, ReceivedLevel> levels) {
    /** Copies the map. */
    public LaneView {
        levels = Map.copyOf(levels);
    }
}
