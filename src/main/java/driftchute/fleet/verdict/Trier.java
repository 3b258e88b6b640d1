package driftchute.fleet.verdict;

import driftchute.Courier.TierHealth;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.EventLog;
import driftchute.fleet.ClockReading;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Assigns probes while this courier holds the role {@code trier}: one at a time per destination, at intervals. */
final class Trier {
    private static final long MS_US = 1000;
    /**
     * Delay before asking again about a destination that is not down here, ms: one of the two couriers has heard more
     * by then.
     */
    private static final long ASK_AGAIN_MS = 250;

    private final LeasedRole duty;
    private final Terms terms;
    private final EventLog events;
    /** When the next probe of a destination may be permitted, us. */
    private final Map<Long, Long> nextUs = new HashMap<>();

    private OptionalLong token = OptionalLong.empty();
    private long fromUs;

    Trier(final LeasedRole duty, final Terms terms, final EventLog events) {
        this.duty = duty;
        this.terms = terms;
        this.events = events;
    }

    /** Handles the passing of time; these destinations are down. */
    void tick(final ClockReading now, final Set<Long> out) {
        if (holds(now)) {
            nextUs.keySet().retainAll(out);
            out.forEach(destination -> opened(now, destination));
        }
    }

    /** Whether this courier holds the role now. Permits of an earlier holder have expired before it issues any. */
    private boolean holds(final ClockReading now) {
        final OptionalLong held = duty.held(now);
        if (!held.equals(token)) {
            token = held;
            nextUs.clear();
            fromUs = now.monoUs() + Terms.PERMIT_US;
        }
        return held.isPresent();
    }

    private long opened(final ClockReading now, final long destination) {
        return nextUs.computeIfAbsent(destination, unused -> Math.max(fromUs, now.monoUs() + gapUs(0)));
    }

    private long gapUs(final long ageUs) {
        return Math.max(Terms.PERMIT_US, terms.gapUs().applyAsLong(ageUs));
    }

    /** The reply to a request, or none if another courier holds the role. */
    Optional<Words.Answer> answer(final ClockReading now, final int from, final Words.Ask ask, final Judgement judged) {
        if (!holds(now)) {
            return Optional.empty();
        }
        long afterMs = ASK_AGAIN_MS;
        if (judged.standing() == TierHealth.DOWN) {
            final long openUs = opened(now, ask.destination()) - now.monoUs();
            afterMs = Math.max(0, Math.max(-Math.floorDiv(-openUs, MS_US), judged.shutMs() - now.wallMs()));
            if (afterMs == 0) {
                final long ageUs = Math.max(0, now.wallMs() - judged.sinceMs()) * MS_US;
                nextUs.put(ask.destination(), now.monoUs() + gapUs(ageUs));
                events.event(
                        "trial_permitted",
                        "destination",
                        ask.destination(),
                        "courier",
                        from,
                        "token",
                        token.getAsLong(),
                        "age_ms",
                        ageUs / MS_US);
            }
        }
        return Optional.of(new Words.Answer(ask.destination(), ask.number(), token.getAsLong(), afterMs));
    }
}
