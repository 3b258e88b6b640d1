package driftchute.fleet.verdict;

import driftchute.fleet.LeasedRole;
import driftchute.fleet.EventLog;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** This courier's requests for probes, its permits, and whether any courier assigns probes at all. */
final class Trials {
    /**
     * Interval between requests for a destination, us; a requested wait is respected up to a second, in case the role
     * changes hands.
     */
    private static final long ASK_US = 250_000;

    private static final long MAX_WAIT_US = 1_000_000;
    private static final long MS_US = 1000;
    /** Lease times without an answer after which each courier makes its own probes: one to expire, one to be taken. */
    private static final int LEASES = 2;

    /** The request for one destination. */
    private static final class Asking {
        private long number, askedUs, nextUs, untilUs;
        private boolean open, permitted;
    }

    private final LeasedRole duty;
    private final Terms terms;
    private final Random random;
    private final EventLog events;
    private final Map<Long, Asking> askings = new HashMap<>();
    private boolean started;
    private long tickedUs, heardUs, askedUs, unansweredUs, number;

    Trials(final LeasedRole duty, final Terms terms, final Random random, final EventLog events) {
        this.duty = duty;
        this.terms = terms;
        this.random = random;
        this.events = events;
    }

    /** Handles the passing of time; these destinations are down. */
    void tick(final ClockReading now, final Set<Long> out) {
        final boolean slept = now.monoUs() - tickedUs > terms.leaseMs() * MS_US;
        if (!started || slept || duty.holder(now).isPresent()) {
            heardUs = now.monoUs();
        }
        if (!started || slept) {
            askedUs = unansweredUs = now.monoUs();
        }
        started = true;
        tickedUs = now.monoUs();
        askings.keySet().retainAll(out);
    }

    /** Whether nobody has assigned probes, or answered, for so long that this courier makes its own. */
    boolean isAlone(final ClockReading now) {
        final long longUs = LEASES * terms.leaseMs() * MS_US;
        return started && (now.monoUs() - heardUs >= longUs || askedUs - unansweredUs >= longUs);
    }

    /** Messages wait for a destination that is down and not closed: requests a probe, if that is due. */
    void want(final ClockReading now, final long destination, final Outbox out) {
        final Optional<LeasedRole.Holder> trier = duty.holder(now);
        final Asking asking = askings.computeIfAbsent(destination, unused -> new Asking());
        if (trier.isEmpty() || asking.number > 0 && now.monoUs() < asking.nextUs) {
            return;
        }
        if (now.monoUs() - askedUs > MAX_WAIT_US + ASK_US) {
            unansweredUs = now.monoUs();
        }
        askedUs = now.monoUs();
        asking.number = ++number;
        asking.askedUs = now.monoUs();
        asking.nextUs = now.monoUs() + ASK_US;
        asking.open = true;
        out.send(trier.get().courier(), new Words.Ask(destination, number));
    }

    /** Handles a reply. Replies to older requests, from another courier or with an old token are ignored. */
    void answered(final ClockReading now, final int from, final Words.Answer answer) {
        final Asking asking = askings.get(answer.destination());
        final Optional<LeasedRole.Holder> trier = duty.holder(now);
        if (asking == null
                || !asking.open
                || asking.number != answer.number()
                || !duty.accepts(answer.token())
                || trier.isEmpty()
                || trier.get().courier() != from
                || trier.get().token() != answer.token()) {
            return;
        }
        unansweredUs = askedUs;
        asking.open = false;
        if (answer.afterMs() == 0) {
            asking.untilUs = asking.askedUs + terms.permitLessDriftUs();
            asking.nextUs = asking.askedUs + Terms.PERMIT_US;
            asking.permitted = true;
        } else {
            final long waitUs = Math.min(MAX_WAIT_US, Math.min(MAX_WAIT_US, answer.afterMs()) * MS_US);
            asking.nextUs = now.monoUs() + Math.max(ASK_US, waitUs) + random.nextInt((int) ASK_US / 2);
        }
    }

    /** A call of this courier there has ended. The first one after a permit was its probe. */
    void ended(final long destination, final long endedUs, final boolean delivered) {
        final Asking asking = askings.get(destination);
        if (asking != null && asking.permitted && endedUs > asking.askedUs) {
            asking.permitted = false;
            events.event("trial_made", "destination", destination, "delivered", delivered);
        }
    }

    /** Until when this courier may make a probe, us; {@code Long.MAX_VALUE} if it makes its own. */
    long untilUs(final ClockReading now, final long destination) {
        final Asking asking = askings.get(destination);
        return isAlone(now) ? Long.MAX_VALUE : asking == null || !asking.permitted ? 0 : asking.untilUs;
    }
}
