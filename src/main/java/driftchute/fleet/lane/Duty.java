package driftchute.fleet.lane;

import driftchute.fleet.Moment;
import java.util.Optional;
import java.util.OptionalLong;

/** The allocator's duty, as leases tell it. */
public interface Duty {
    /** The fencing token under which this courier holds the duty now, or none. */
    OptionalLong held(Moment now);

    /** True for a token that no later holder has outdated, as far as this courier knows. */
    boolean accepts(long token);

    /** The courier that holds the duty, as far as this one knows. */
    Optional<Integer> holder(Moment now);
}
