package driftchute.fleet.membership;

import driftchute.fleet.Events;
import driftchute.fleet.Message;
import driftchute.fleet.Moment;
import driftchute.fleet.Outbox;
import driftchute.fleet.Part;
import driftchute.fleet.Rider;
import driftchute.fleet.Tier;
import driftchute.fleet.Varint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongConsumer;

/**
 * Membership of the tier: SWIM (Das, Gupta, Motivala, DSN 2002) with Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018),
 * as described in docs/fleet-membership.md. It is a hint for distributing work; nothing safety-critical may depend on
 * it. Implausible claims are refused and counted.
 */
public final class Membership implements Part, Rider {
    private static final long MAX_PERIOD_US = 3_600_000_000L;
    /** Size of a table segment, bytes. It leaves space in the datagram for other messages to that courier. */
    private static final int ROLL_BYTES = 160;

    private static final int US_PER_MS = 1000;

    private final Tier tier;
    private final Timing timing;
    private final Events events;
    private final LocalHealth health = new LocalHealth();
    private final Members members;
    private final Prober prober;
    private final Map<Integer, Message.Reader> readers;
    private final long joinedUs;
    private boolean joining = true;
    private int tableFrom;
    private int tableOf = -1;
    private long tableUs;
    private long gossipUs;
    private long promisedUs;

    /**
     * Creates the membership of a courier that starts and knows no other.
     *
     * @param periodUs interval between probes, us; at least 1,000
     * @param seed the only source of randomness
     * @param incarnation one more than the last stored incarnation; 1 if there is none
     * @param start the present time; later calls must not use an earlier one
     * @param incarnationToKeep called with each new incarnation, including the first, before any message contains it.
     * If it
     *     throws, the exception is passed on and the incarnation is not used
     * @throws IllegalArgumentException for an incarnation below 1 or from 2^48 on, or a period out of bounds
     */
    public Membership(
            final Tier tier,
            final long periodUs,
            final long seed,
            final long incarnation,
            final Moment start,
            final Events events,
            final LongConsumer incarnationToKeep) {
        if (periodUs < US_PER_MS || periodUs > MAX_PERIOD_US) {
            throw new IllegalArgumentException("the probe period is out of bounds: " + periodUs + " us");
        }
        final Random random = new Random(seed);
        this.tier = tier;
        this.events = events;
        timing = Timing.of(periodUs, tier.size());
        members = new Members(tier, timing, incarnation, start.monoUs(), health, events, incarnationToKeep);
        prober = new Prober(timing, members, health, random, start.monoUs());
        readers = Messages.readers(tier.size());
        joinedUs = start.monoUs() + timing.joinUs();
        tableUs = start.monoUs();
        gossipUs = start.monoUs();
        promisedUs = start.monoUs();
    }

    /** The couriers that are present as far as this courier knows, itself included unless it has left. */
    public Set<Integer> present() {
        final Set<Integer> present = new TreeSet<>();
        for (int id = 0; id < tier.size(); id++) {
            if (isPresent(id)) {
                present.add(id);
            }
        }
        return present;
    }

    /** Whether that courier is present as far as this one knows. */
    public boolean isPresent(final int id) {
        return members.isPresent(id);
    }

    /** The state of that courier as far as this one knows. */
    public State state(final int id) {
        return members.claim(id).state();
    }

    /** This courier's own incarnation. */
    public long incarnation() {
        return members.incarnation();
    }

    /** The local health score, 0 (healthy) to 8. */
    public int localHealth() {
        return health.score();
    }

    /** Number of claims refused as implausible since the start. */
    public long refused() {
        return members.refused();
    }

    /** Tells several couriers at once that this one leaves. From then on it neither probes nor accuses. */
    public void leave(final Moment now, final Outbox out) {
        if (!members.hasLeft()) {
            final Messages.Rumour left = members.leave();
            prober.some(timing.sendings(), Member::isPresent).forEach(id -> out.send(id, left));
        }
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return readers;
    }

    @Override
    public void receive(final Moment now, final int from, final Message message, final Outbox out) {
        final long nowUs = now.monoUs();
        doubtAfterPause(nowUs);
        if (message instanceof Messages.Ping ping) {
            greeted(nowUs, from, ping.incarnation(), ping.notice());
            out.send(from, new Messages.Ack(ping.sequence(), members.incarnation(), members.claim(from)));
            if (members.hasLeft()) {
                out.send(from, members.rumour(tier.self()));
            }
        } else if (message instanceof Messages.Ack ack) {
            greeted(nowUs, from, ack.incarnation(), ack.notice());
            prober.acked(from, ack, out);
        } else if (message instanceof Messages.PingRequest request) {
            if (!members.hasLeft()) {
                prober.asked(nowUs, from, request, out);
            }
        } else if (message instanceof Messages.Relayed relayed) {
            prober.relayed(nowUs, from, relayed);
        } else if (message instanceof Messages.Nack nack) {
            prober.nacked(from, nack);
        } else if (message instanceof Messages.Rumour rumour) {
            if (members.told(nowUs, rumour.member(), rumour.claim(), rumour.by()) && rumour.member() != from) {
                out.send(from, members.rumour(rumour.member()));
            }
        } else if (message instanceof Messages.Ask ask) {
            out.send(from, roll(ask.first()));
        } else if (message instanceof Messages.Roll roll) {
            rollHeard(nowUs, from, roll);
        }
    }

    private void greeted(final long nowUs, final int from, final long incarnation, final Claim notice) {
        members.spoken(from, incarnation);
        members.told(nowUs, tier.self(), notice, from);
    }

    private Messages.Roll roll(final int first) {
        final List<Claim> claims = new ArrayList<>();
        int bytes = 0;
        for (int id = first; id < tier.size() && bytes < ROLL_BYTES; id++) {
            claims.add(members.claim(id));
            bytes += Varint.size(members.claim(id).packed());
        }
        return new Messages.Roll(first, claims);
    }

    private void rollHeard(final long nowUs, final int from, final Messages.Roll roll) {
        if (from != tableOf || roll.first() != tableFrom) {
            return;
        }
        tableOf = -1;
        for (int i = 0; i < roll.claims().size(); i++) {
            final int id = roll.first() + i;
            final Claim claim = roll.claims().get(i);
            // A known claim is not treated as another accusation, because the table does not say who made it.
            if (claim.compareTo(members.claim(id)) > 0 && id != from) {
                members.told(nowUs, id, claim, from);
            }
        }
        tableFrom += roll.claims().size();
        if (tableFrom >= tier.size()) {
            tableFrom = 0;
            joining = false;
        }
    }

    @Override
    public long tick(final Moment now, final Outbox out) {
        final long nowUs = now.monoUs();
        doubtAfterPause(nowUs);
        if (!members.hasLeft()) {
            prober.tick(nowUs, out);
            members.bury(nowUs);
            askForTable(nowUs, out);
        }
        if (members.isSpreading() && nowUs >= gossipUs) {
            gossipUs = nowUs + timing.gossipUs();
            prober.some(1, Member::isPresent).forEach(id -> out.send(id, new Messages.Carrier()));
        }
        long due = members.isSpreading() ? gossipUs : nowUs + timing.periodUs();
        if (!members.hasLeft()) {
            due = Math.min(due, Math.min(tableUs, Math.min(members.dueUs(), prober.dueUs())));
        }
        promisedUs = Math.max(nowUs + 1, due);
        return promisedUs;
    }

    private void askForTable(final long nowUs, final Outbox out) {
        if (nowUs < tableUs) {
            return;
        }
        joining &= nowUs < joinedUs;
        tableUs = nowUs + (joining ? timing.gossipUs() : timing.tableUs());
        List<Integer> asked = prober.some(1, Member::isPresent);
        if (asked.isEmpty()) {
            asked = prober.some(1, member -> true);
        }
        for (final int id : asked) {
            tableOf = id;
            if (!isPresent(id)) {
                out.send(id, prober.ping(id));
            }
            out.send(id, new Messages.Ask(tableFrom));
        }
    }

    /** A late call shows that this process was suspended: it doubts its own health before that of others. */
    private void doubtAfterPause(final long nowUs) {
        if (nowUs - promisedUs > timing.periodUs()) {
            events.event("self_paused", "late_ms", (nowUs - promisedUs) / US_PER_MS);
            promisedUs = nowUs;
            health.worse();
            prober.forget(nowUs);
            members.doubt(nowUs);
        }
    }

    @Override
    public List<Message> ride(final Moment now, final int peer, final int room) {
        return members.rumours(peer, room);
    }
}
