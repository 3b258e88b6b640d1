/**
 * Priority lanes: who is shed when a destination is over its limit (docs/fleet-lanes.md).
 *
 * <p>On the control thread {@link driftchute.fleet.lane.BlockVersions} says which block is in force, and
 * {@link driftchute.fleet.lane.LanePart} tells the allocator what is offered, decides where this courier is the
 * allocator, and holds the levels that are heard. The traffic's thread gets a
 * {@link driftchute.fleet.lane.LaneView} of both. For each message it asks {@link driftchute.fleet.lane.Lanes} for the
 * lane and the account, {@link driftchute.fleet.lane.Quota} whether it counts there or in the last lane, and
 * {@link driftchute.fleet.lane.Shedder} whether it is shed; for messages held,
 * {@link driftchute.fleet.lane.Turns} says whose turn it is and {@link driftchute.fleet.lane.Held} which give way.
 */
package driftchute.fleet.lane;
