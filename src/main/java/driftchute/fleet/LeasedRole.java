package driftchute.fleet;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A role that at most one courier holds at any time, under a fencing token that grows with every holder
 * (docs/fleet-leases.md). Times are on this courier's clocks.
 */
public interface LeasedRole {
    /** The holder of a role by its number in the tier, and its fencing token. */
    record Holder(int courier, long token) {}

    /** The token under which this courier holds the role at that time; empty if its lease may have expired. */
    OptionalLong held(ClockReading now);

    /** The holder that this courier knows of, which may have lost the role since. */
    Optional<Holder> holder(ClockReading now);

    /** False for a token that a later holder has superseded, as far as this courier knows. */
    boolean accepts(long token);
}
