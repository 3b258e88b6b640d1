package driftchute.fleet.session;

import java.util.Collection;
import java.util.Map;

/**
 * Health of each destination for other sessions, so that a failed call counts against a session only if the session
 * caused it. Each session contributes its last call only, so that one with many failures does not make a destination
 * look unhealthy.
 */
final class Baseline {
    /** Health of a destination for the others. */
    enum Health {
        UNKNOWN,
        HEALTHY,
        UNHEALTHY
    }

    private static final int MAX_DESTINATIONS = 256;
    private static final int MAX_SESSIONS = 32;
    /** With fewer other sessions, one random failure would look like an outage, or hide one. */
    private static final int MIN_OTHERS = 2;
    /** If at least this share of the others succeeds, a failure here has its own cause. */
    private static final double HEALTHY_SHARE = 0.75;
    /** If a smaller share succeeds and more than one fails, the destination fails. A single failure is no outage. */
    private static final double UNHEALTHY_SHARE = 2.0 / 3;

    private record LastCall(boolean succeeded, long us) {}

    private final LruMap<LruMap<LastCall>> destinations = new LruMap<>(MAX_DESTINATIONS);
    private final long staleUs;

    /**
     * Creates the baseline.
     *
     * @param staleUs age at which an outcome no longer counts, us
     */
    Baseline(final long staleUs) {
        this.staleUs = staleUs;
    }

    /** A call that is informative about this session has ended: the session was alone in it, or it succeeded. */
    void onCallEnded(final long destination, final long session, final boolean well, final long nowUs) {
        destinations.use(destination, unused -> new LruMap<>(MAX_SESSIONS)).put(session, new LastCall(well, nowUs));
    }

    /** Health of the destination for sessions other than these. */
    Health healthForOthers(final long destination, final Collection<Long> sessions, final long nowUs) {
        final LruMap<LastCall> ends = destinations.get(destination);
        int others = 0;
        int succeeded = 0;
        for (final Map.Entry<Long, LastCall> end : ends == null
                ? Map.<Long, LastCall>of().entrySet()
                : ends.entries().entrySet()) {
            if (!sessions.contains(end.getKey()) && nowUs - end.getValue().us() < staleUs) {
                others++;
                succeeded += end.getValue().succeeded() ? 1 : 0;
            }
        }
        if (others - succeeded > 1 && succeeded < others * UNHEALTHY_SHARE) {
            return Health.UNHEALTHY;
        }
        return others >= MIN_OTHERS && succeeded >= others * HEALTHY_SHARE ? Health.HEALTHY : Health.UNKNOWN;
    }
}
