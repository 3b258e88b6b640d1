package driftchute.fleet.session;

import java.util.Map;

/**
 * The sessions that may share calls, as one courier knows it at one time. Immutable, for the traffic's thread.
 *
 * @param classes sessions that are {@code RUN} or {@code ANY}; all others are {@code OWN}
 * @param groups suspects of a failed call, with the only group in which they may share calls; others are in group 0
 * @param untilUs when it expires (monotonic us of this process); then every session is {@code OWN}
 */
public record SessionView(Map<Long, SessionClass> classes, Map<Long, Integer> groups, long untilUs) {
    /** The empty view. */
    public static final SessionView NONE = new SessionView(Map.of(), Map.of(), Long.MIN_VALUE);

    /** Copies both maps. */
    public SessionView {
        classes = Map.copyOf(classes);
        groups = Map.copyOf(groups);
    }

    /** A session's class at a time of the monotonic clock. */
    public SessionClass classOf(final long session, final long nowUs) {
        return nowUs >= untilUs ? SessionClass.OWN : classes.getOrDefault(session, SessionClass.OWN);
    }

    /**
     * True if messages of these two sessions, which may be the same, may be in one call. A call is allowed if this
     * holds for each pair of its messages. The caller asks only for messages of the same effect, and keeps the order of
     * keys.
     *
     * @param sameRun both are of the same run of the same session
     */
    public boolean canShareCall(
            final SessionClass a,
            final long sessionA,
            final SessionClass b,
            final long sessionB,
            final boolean sameRun) {
        if (a == SessionClass.OWN || b == SessionClass.OWN) {
            return false;
        }
        if (sessionA == sessionB && sameRun) {
            return true;
        }
        return a == SessionClass.ANY
                && b == SessionClass.ANY
                && groups.getOrDefault(sessionA, 0).equals(groups.getOrDefault(sessionB, 0));
    }
}
