package driftchute.fleet.verdict;

import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.Outbox;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** This courier's requests for probes, its permits, and whether any courier assigns probes at all. */
final class ProbeRequests {
    /**
     * Interval between requests for a destination, us; a requested wait is respected up to a second, in case the role
     * changes hands.
     */
    private static final long REQUEST_INTERVAL_US = 250_000;

    private static final long MAX_WAIT_US = 1_000_000;
    private static final long US_PER_MS = 1000;
    /** Lease times without an answer after which each courier makes its own probes: one to expire, one to be taken. */
    private static final int LEASES_WITHOUT_COORDINATOR = 2;

    /** The request for one destination. */
    private static final class PendingProbe {
        private long number, requestedUs, nextUs, untilUs;
        private boolean open, permitted;
    }

    private final LeasedRole role;
    private final VerdictTiming timing;
    private final Random random;
    private final EventLog events;
    private final Map<Long, PendingProbe> pendingProbes = new HashMap<>();
    private boolean started;
    private long tickedUs, coordinatorSeenUs, requestedUs, unansweredSinceUs, number;

    ProbeRequests(final LeasedRole role, final VerdictTiming timing, final Random random, final EventLog events) {
        this.role = role;
        this.timing = timing;
        this.random = random;
        this.events = events;
    }

    /** Handles the passing of time; these destinations are down. */
    void tick(final ClockReading now, final Set<Long> down) {
        final boolean suspended = now.monoUs() - tickedUs > timing.leaseMs() * US_PER_MS;
        if (!started || suspended || role.holder(now).isPresent()) {
            coordinatorSeenUs = now.monoUs();
        }
        if (!started || suspended) {
            requestedUs = unansweredSinceUs = now.monoUs();
        }
        started = true;
        tickedUs = now.monoUs();
        pendingProbes.keySet().retainAll(down);
    }

    /** Whether nobody has assigned probes, or answered, for so long that this courier makes its own. */
    boolean isUncoordinated(final ClockReading now) {
        final long longUs = LEASES_WITHOUT_COORDINATOR * timing.leaseMs() * US_PER_MS;
        return started && (now.monoUs() - coordinatorSeenUs >= longUs || requestedUs - unansweredSinceUs >= longUs);
    }

    /** Messages wait for a destination that is down and not closed: requests a probe, if that is due. */
    void requestProbe(final ClockReading now, final long destination, final Outbox out) {
        final Optional<LeasedRole.Holder> coordinator = role.holder(now);
        final PendingProbe probe = pendingProbes.computeIfAbsent(destination, unused -> new PendingProbe());
        if (coordinator.isEmpty() || probe.number > 0 && now.monoUs() < probe.nextUs) {
            return;
        }
        if (now.monoUs() - requestedUs > MAX_WAIT_US + REQUEST_INTERVAL_US) {
            unansweredSinceUs = now.monoUs();
        }
        requestedUs = now.monoUs();
        probe.number = ++number;
        probe.requestedUs = now.monoUs();
        probe.nextUs = now.monoUs() + REQUEST_INTERVAL_US;
        probe.open = true;
        out.send(coordinator.get().courier(), new VerdictMessages.ProbeRequest(destination, number));
    }

    /** Handles a reply. Replies to older requests, from another courier or with an old token are ignored. */
    void onReply(final ClockReading now, final int from, final VerdictMessages.ProbeReply answer) {
        final PendingProbe probe = pendingProbes.get(answer.destination());
        final Optional<LeasedRole.Holder> coordinator = role.holder(now);
        if (probe == null
                || !probe.open
                || probe.number != answer.number()
                || !role.accepts(answer.token())
                || coordinator.isEmpty()
                || coordinator.get().courier() != from
                || coordinator.get().token() != answer.token()) {
            return;
        }
        unansweredSinceUs = requestedUs;
        probe.open = false;
        if (answer.afterMs() == 0) {
            probe.untilUs = probe.requestedUs + timing.permitLessDriftUs();
            probe.nextUs = probe.requestedUs + VerdictTiming.PERMIT_US;
            probe.permitted = true;
        } else {
            final long waitUs = Math.min(MAX_WAIT_US, Math.min(MAX_WAIT_US, answer.afterMs()) * US_PER_MS);
            probe.nextUs = now.monoUs()
                    + Math.max(REQUEST_INTERVAL_US, waitUs)
                    + random.nextInt((int) REQUEST_INTERVAL_US / 2);
        }
    }

    /** A call of this courier there has ended. The first one after a permit was its probe. */
    void onCallEnded(final long destination, final long endedUs, final boolean delivered) {
        final PendingProbe probe = pendingProbes.get(destination);
        if (probe != null && probe.permitted && endedUs > probe.requestedUs) {
            probe.permitted = false;
            events.event("trial_made", "destination", destination, "delivered", delivered);
        }
    }

    /** Until when this courier may make a probe, us; {@code Long.MAX_VALUE} if it makes its own. */
    long permitUntilUs(final ClockReading now, final long destination) {
        final PendingProbe probe = pendingProbes.get(destination);
        return isUncoordinated(now) ? Long.MAX_VALUE : probe == null || !probe.permitted ? 0 : probe.untilUs;
    }
}
