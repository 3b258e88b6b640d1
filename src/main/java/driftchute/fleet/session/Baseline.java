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
    enum Standing {
        UNKNOWN,
        WELL,
        ILL
    }

    private static final int MAX_DESTINATIONS = 256;
    private static final int MAX_SESSIONS = 32;
    /** With fewer other sessions, one random failure would look like an outage, or hide one. */
    private static final int MIN_OTHERS = 2;
    /** If at least this share of the others succeeds, a failure here has its own cause. */
    private static final double WELL_SHARE = 0.75;
    /** If a smaller share succeeds and more than one fails, the destination fails. A single failure is no outage. */
    private static final double ILL_SHARE = 2.0 / 3;

    private record End(boolean well, long us) {}

    private final Latest<Latest<End>> destinations = new Latest<>(MAX_DESTINATIONS);
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
    void ended(final long destination, final long session, final boolean well, final long nowUs) {
        destinations.use(destination, unused -> new Latest<>(MAX_SESSIONS)).put(session, new End(well, nowUs));
    }

    /** Health of the destination for sessions other than these. */
    Standing others(final long destination, final Collection<Long> sessions, final long nowUs) {
        final Latest<End> ends = destinations.get(destination);
        int others = 0;
        int well = 0;
        for (final Map.Entry<Long, End> end :
                ends == null ? Map.<Long, End>of().entrySet() : ends.all().entrySet()) {
            if (!sessions.contains(end.getKey()) && nowUs - end.getValue().us() < staleUs) {
                others++;
                well += end.getValue().well() ? 1 : 0;
            }
        }
        if (others - well > 1 && well < others * ILL_SHARE) {
            return Standing.ILL;
        }
        return others >= MIN_OTHERS && well >= others * WELL_SHARE ? Standing.WELL : Standing.UNKNOWN;
    }
}
