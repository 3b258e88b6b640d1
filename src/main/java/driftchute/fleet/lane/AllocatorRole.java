package driftchute.fleet.lane;

import driftchute.fleet.ClockReading;
import java.util.Optional;
import java.util.OptionalLong;

/** The allocator's role, as held by leases. */
public interface AllocatorRole {
    /** The fencing token under which this courier holds the role now, or none. */
    OptionalLong held(ClockReading now);

    /** True unless a later holder has superseded this token, as far as this courier knows. */
    boolean accepts(long token);

    /** The courier that holds the role, as far as this one knows. */
    Optional<Integer> holder(ClockReading now);
}
