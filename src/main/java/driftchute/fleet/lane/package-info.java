/**
 * Priority lanes: which messages are shed when a destination is over its limit (docs/fleet-lanes.md).
 *
 * <p>On the control thread, {@link driftchute.fleet.lane.LaneConfigVersions} decides which configuration is in force, and
 * {@link driftchute.fleet.lane.LaneComponent} reports the offered load to the allocator, decides if this courier is the
 * allocator, and stores the received levels. The traffic's thread gets a {@link driftchute.fleet.lane.LaneView} of
 * both. For each message it asks {@link driftchute.fleet.lane.Lanes} for the lane and the account, {@link
 * driftchute.fleet.lane.Quota} whether it counts there or in the last lane, and {@link driftchute.fleet.lane.LoadShedder}
 * whether it is shed. For held messages, {@link driftchute.fleet.lane.LaneScheduler} chooses the lane to serve next and {@link
 * driftchute.fleet.lane.HeldMessages} the messages to drop.
 */
package driftchute.fleet.lane;
