package driftchute.fleet.lease;

/**
 * The holder of a role.
 *
 * @param courier its number in the tier
 * @param token fencing token, which grows with every acquisition
 */
public record RoleHolder(int courier, long token) {}
