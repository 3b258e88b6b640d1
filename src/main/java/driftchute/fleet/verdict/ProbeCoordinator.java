package driftchute.fleet.verdict;

import driftchute.Courier.TierHealth;
import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.LeasedRole;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Assigns probes while this courier holds the role {@code trier}: one at a time per destination, at intervals. */
final class ProbeCoordinator {
    private static final long US_PER_MS = 1000;
    /**
     * Delay before asking again about a destination that is not down here, ms: one of the two couriers has heard more
     * by then.
     */
    private static final long RETRY_DELAY_MS = 250;

    private final LeasedRole role;
    private final VerdictTiming timing;
    private final EventLog events;
    /** When the next probe of a destination may be permitted, us. */
    private final Map<Long, Long> nextProbeUs = new HashMap<>();

    private OptionalLong token = OptionalLong.empty();
    private long activeFromUs;

    ProbeCoordinator(final LeasedRole role, final VerdictTiming timing, final EventLog events) {
        this.role = role;
        this.timing = timing;
        this.events = events;
    }

    /** Handles the passing of time; these destinations are down. */
    void tick(final ClockReading now, final Set<Long> down) {
        if (isCoordinator(now)) {
            nextProbeUs.keySet().retainAll(down);
            down.forEach(destination -> nextProbeAtUs(now, destination));
        }
    }

    /** Whether this courier holds the role now. Permits of an earlier holder have expired before it issues any. */
    private boolean isCoordinator(final ClockReading now) {
        final OptionalLong held = role.held(now);
        if (!held.equals(token)) {
            token = held;
            nextProbeUs.clear();
            activeFromUs = now.monoUs() + VerdictTiming.PERMIT_US;
        }
        return held.isPresent();
    }

    private long nextProbeAtUs(final ClockReading now, final long destination) {
        return nextProbeUs.computeIfAbsent(
                destination, unused -> Math.max(activeFromUs, now.monoUs() + probeIntervalUs(0)));
    }

    private long probeIntervalUs(final long ageUs) {
        return Math.max(VerdictTiming.PERMIT_US, timing.probeIntervalUs().applyAsLong(ageUs));
    }

    /** The reply to a request, or none if another courier holds the role. */
    Optional<VerdictMessages.ProbeReply> reply(
            final ClockReading now,
            final int from,
            final VerdictMessages.ProbeRequest request,
            final Assessment assessment) {
        if (!isCoordinator(now)) {
            return Optional.empty();
        }
        long afterMs = RETRY_DELAY_MS;
        if (assessment.health() == TierHealth.DOWN) {
            final long openUs = nextProbeAtUs(now, request.destination()) - now.monoUs();
            afterMs = Math.max(
                    0, Math.max(-Math.floorDiv(-openUs, US_PER_MS), assessment.closedUntilMs() - now.wallMs()));
            if (afterMs == 0) {
                final long ageUs = Math.max(0, now.wallMs() - assessment.sinceMs()) * US_PER_MS;
                nextProbeUs.put(request.destination(), now.monoUs() + probeIntervalUs(ageUs));
                events.event(
                        "trial_permitted",
                        "destination",
                        request.destination(),
                        "courier",
                        from,
                        "token",
                        token.getAsLong(),
                        "age_ms",
                        ageUs / US_PER_MS);
            }
        }
        return Optional.of(
                new VerdictMessages.ProbeReply(request.destination(), request.number(), token.getAsLong(), afterMs));
    }
}
