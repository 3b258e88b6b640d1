package driftchute.node;

import java.util.HashMap;
import java.util.Map;

/** Ids of accepted messages that are not accepted again until a time of their own. Runs on the event loop's thread. */
final class ReservedIds {
    private final Map<String, Long> untilUs = new HashMap<>();

    /** Reserves an id until that time, us of the monotonic clock. */
    void reserve(final String id, final long until) {
        untilUs.put(id, until);
    }

    /** True while the id may not be accepted. */
    boolean isReserved(final String id, final long nowUs) {
        return untilUs.getOrDefault(id, 0L) > nowUs;
    }

    /** Number of reserved ids. */
    int size() {
        return untilUs.size();
    }

    /** Forgets the ids whose time is over. */
    void removeExpired(final long nowUs) {
        untilUs.values().removeIf(until -> until <= nowUs);
    }
}
