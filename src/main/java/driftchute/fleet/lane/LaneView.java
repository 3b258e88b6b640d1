package driftchute.fleet.lane;

import java.util.Map;

/**
 * What the traffic needs of the shared state, immutable: the lanes to go by and the fleet's levels by destination.
 */
public record LaneView(Lanes lanes, Map<Long, HeardLevel> levels) {
    /** Takes a copy. */
    public LaneView {
        levels = Map.copyOf(levels);
    }
}
