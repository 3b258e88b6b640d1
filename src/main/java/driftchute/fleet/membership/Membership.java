package driftchute.fleet.membership;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.GossipSource;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
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
public final class Membership implements Component, GossipSource {
    private static final long MAX_PERIOD_US = 3_600_000_000L;
    /** Size of a table segment, bytes. It leaves space in the datagram for other messages to that courier. */
    private static final int SEGMENT_BYTES = 160;

    private static final int US_PER_MS = 1000;

    private final Tier tier;
    private final MembershipTiming timing;
    private final EventLog events;
    private final LocalHealth health = new LocalHealth();
    private final MemberTable members;
    private final Prober prober;
    private final Map<Integer, Message.Reader> readers;
    private final long joinUntilUs;
    private boolean joining = true;
    private int nextTableRow;
    private int tableSource = -1;
    private long nextTableUs;
    private long nextGossipUs;
    private long promisedTickUs;

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
            final ClockReading start,
            final EventLog events,
            final LongConsumer incarnationToKeep) {
        if (periodUs < US_PER_MS || periodUs > MAX_PERIOD_US) {
            throw new IllegalArgumentException("the probe period is out of bounds: " + periodUs + " us");
        }
        final Random random = new Random(seed);
        this.tier = tier;
        this.events = events;
        timing = MembershipTiming.of(periodUs, tier.size());
        members = new MemberTable(tier, timing, incarnation, start.monoUs(), health, events, incarnationToKeep);
        prober = new Prober(timing, members, health, random, start.monoUs());
        readers = Messages.readers(tier.size());
        joinUntilUs = start.monoUs() + timing.joinUs();
        nextTableUs = start.monoUs();
        nextGossipUs = start.monoUs();
        promisedTickUs = start.monoUs();
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
    public MemberState state(final int id) {
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
    public void leave(final ClockReading now, final Outbox out) {
        if (!members.hasLeft()) {
            final Messages.Gossip left = members.leave();
            prober.randomMembers(timing.maxSendings(), Member::isPresent).forEach(id -> out.send(id, left));
        }
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return readers;
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        final long nowUs = now.monoUs();
        detectSuspension(nowUs);
        if (message instanceof Messages.Ping ping) {
            onContact(nowUs, from, ping.incarnation(), ping.claim());
            out.send(from, new Messages.Ack(ping.sequence(), members.incarnation(), members.claim(from)));
            if (members.hasLeft()) {
                out.send(from, members.gossipAbout(tier.self()));
            }
        } else if (message instanceof Messages.Ack ack) {
            onContact(nowUs, from, ack.incarnation(), ack.claim());
            prober.onAck(from, ack, out);
        } else if (message instanceof Messages.PingRequest request) {
            if (!members.hasLeft()) {
                prober.onPingRequest(nowUs, from, request, out);
            }
        } else if (message instanceof Messages.Relayed relayed) {
            prober.onRelayed(nowUs, from, relayed);
        } else if (message instanceof Messages.Nack nack) {
            prober.onNack(from, nack);
        } else if (message instanceof Messages.Gossip gossip) {
            if (members.onClaim(nowUs, gossip.member(), gossip.claim(), gossip.by()) && gossip.member() != from) {
                out.send(from, members.gossipAbout(gossip.member()));
            }
        } else if (message instanceof Messages.TableRequest request) {
            out.send(from, tableSegment(request.first()));
        } else if (message instanceof Messages.TableSegment segment) {
            onTableSegment(nowUs, from, segment);
        }
    }

    private void onContact(final long nowUs, final int from, final long incarnation, final Claim notice) {
        members.onOwnIncarnation(from, incarnation);
        members.onClaim(nowUs, tier.self(), notice, from);
    }

    private Messages.TableSegment tableSegment(final int first) {
        final List<Claim> claims = new ArrayList<>();
        int bytes = 0;
        for (int id = first; id < tier.size() && bytes < SEGMENT_BYTES; id++) {
            claims.add(members.claim(id));
            bytes += Varint.size(members.claim(id).packed());
        }
        return new Messages.TableSegment(first, claims);
    }

    private void onTableSegment(final long nowUs, final int from, final Messages.TableSegment segment) {
        if (from != tableSource || segment.first() != nextTableRow) {
            return;
        }
        tableSource = -1;
        for (int i = 0; i < segment.claims().size(); i++) {
            final int id = segment.first() + i;
            final Claim claim = segment.claims().get(i);
            // A known claim is not treated as another accusation, because the table does not say who made it.
            if (claim.compareTo(members.claim(id)) > 0 && id != from) {
                members.onClaim(nowUs, id, claim, from);
            }
        }
        nextTableRow += segment.claims().size();
        if (nextTableRow >= tier.size()) {
            nextTableRow = 0;
            joining = false;
        }
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        final long nowUs = now.monoUs();
        detectSuspension(nowUs);
        if (!members.hasLeft()) {
            prober.tick(nowUs, out);
            members.declareDead(nowUs);
            requestTable(nowUs, out);
        }
        if (members.hasGossip() && nowUs >= nextGossipUs) {
            nextGossipUs = nowUs + timing.gossipUs();
            prober.randomMembers(1, Member::isPresent).forEach(id -> out.send(id, new Messages.Carrier()));
        }
        long due = members.hasGossip() ? nextGossipUs : nowUs + timing.periodUs();
        if (!members.hasLeft()) {
            due = Math.min(due, Math.min(nextTableUs, Math.min(members.dueUs(), prober.dueUs())));
        }
        promisedTickUs = Math.max(nowUs + 1, due);
        return promisedTickUs;
    }

    private void requestTable(final long nowUs, final Outbox out) {
        if (nowUs < nextTableUs) {
            return;
        }
        joining &= nowUs < joinUntilUs;
        nextTableUs = nowUs + (joining ? timing.gossipUs() : timing.tableUs());
        List<Integer> asked = prober.randomMembers(1, Member::isPresent);
        if (asked.isEmpty()) {
            asked = prober.randomMembers(1, member -> true);
        }
        for (final int id : asked) {
            tableSource = id;
            if (!isPresent(id)) {
                out.send(id, prober.ping(id));
            }
            out.send(id, new Messages.TableRequest(nextTableRow));
        }
    }

    /** A late call shows that this process was suspended: it doubts its own health before that of others. */
    private void detectSuspension(final long nowUs) {
        if (nowUs - promisedTickUs > timing.periodUs()) {
            events.event("self_paused", "late_ms", (nowUs - promisedTickUs) / US_PER_MS);
            promisedTickUs = nowUs;
            health.worse();
            prober.restart(nowUs);
            members.restartSuspicions(nowUs);
        }
    }

    @Override
    public List<Message> gossip(final ClockReading now, final int peer, final int room) {
        return members.gossip(peer, room);
    }
}
