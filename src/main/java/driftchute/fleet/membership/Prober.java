package driftchute.fleet.membership;

import driftchute.fleet.Outbox;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/** Probes the other couriers, directly and through helpers (SWIM, section 3.1; Lifeguard, section IV). */
final class Prober {
    /** Number of helpers of an indirect probe: SWIM's k. */
    private static final int HELPERS = 3;
    /** Maximum number of indirect probes in progress for others. Further requests are ignored. */
    private static final int MAX_INDIRECT_PROBES = 64;

    /** A probe by this courier for itself. */
    private static final class Probe {
        private final int target;
        private final int sequence;
        private final long askHelpersUs;
        private final Set<Integer> helpers = new HashSet<>();
        private final Set<Integer> nacks = new HashSet<>();
        private boolean helpersAsked;
        private boolean answered;

        Probe(final int target, final int sequence, final long askUs) {
            this.target = target;
            this.sequence = sequence;
            this.askHelpersUs = askUs;
        }
    }

    /** A ping sent on behalf of another courier. */
    private record IndirectProbe(int requester, int sequence, int target, long nackUs, boolean nacked) {}

    private final MembershipTiming timing;
    private final MemberTable members;
    private final LocalHealth health;
    private final Random random;
    private final Deque<Integer> presentRound = new ArrayDeque<>();
    private final Deque<Integer> absentRound = new ArrayDeque<>();
    private final Map<Integer, IndirectProbe> indirectProbes = new LinkedHashMap<>();
    private Probe probe;
    private int sequence;
    private long nextProbeUs;

    Prober(
            final MembershipTiming timing,
            final MemberTable members,
            final LocalHealth health,
            final Random random,
            final long nowUs) {
        this.timing = timing;
        this.members = members;
        this.health = health;
        this.random = random;
        this.sequence = random.nextInt(Messages.MAX_SEQUENCE);
        // Couriers that start together must not probe together.
        this.nextProbeUs = nowUs + (long) (random.nextDouble() * timing.periodUs());
    }

    /** Performs the work that is due. */
    void tick(final long nowUs, final Outbox out) {
        runIndirectProbes(nowUs, out);
        if (probe != null && !probe.answered && !probe.helpersAsked && nowUs >= probe.askHelpersUs) {
            askHelpers(out);
        }
        if (nowUs >= nextProbeUs) {
            endProbe(nowUs);
            beginProbe(nowUs, out);
        }
        for (final Member suspect : members.suspects()) {
            if (suspect.suspicion.probeUs() <= nowUs) {
                suspect.suspicion.probeAt(members.accuses(suspect) ? nowUs + timing.periodUs() : Long.MAX_VALUE);
                out.send(suspect.id, ping(suspect.id));
            }
        }
    }

    /** When {@link #tick} is due, monotonic us, except for probes of suspects ({@link MemberTable#dueUs}). */
    long dueUs() {
        long due = nextProbeUs;
        if (probe != null && !probe.answered && !probe.helpersAsked) {
            due = Math.min(due, probe.askHelpersUs);
        }
        for (final IndirectProbe probe : indirectProbes.values()) {
            due = Math.min(due, probe.nacked() ? endUs(probe) : probe.nackUs());
        }
        return due;
    }

    /** This process was suspended, so probes in progress say nothing about others. */
    void restart(final long nowUs) {
        probe = null;
        indirectProbes.clear();
        nextProbeUs = nowUs;
    }

    /** A ping with a new sequence number. Its answer counts only as the courier's own claim. */
    Messages.Ping ping(final int target) {
        return ping(nextSequence(), target);
    }

    /** Up to {@code max} random other couriers that match. */
    List<Integer> randomMembers(final int max, final Predicate<Member> test) {
        final List<Integer> ids =
                new ArrayList<>(members.others(test).map(member -> member.id).toList());
        Collections.shuffle(ids, random);
        return ids.subList(0, Math.min(max, ids.size()));
    }

    private void runIndirectProbes(final long nowUs, final Outbox out) {
        indirectProbes.values().removeIf(probe -> nowUs >= endUs(probe));
        indirectProbes.replaceAll((number, probe) -> {
            if (probe.nacked() || nowUs < probe.nackUs()) {
                return probe;
            }
            out.send(probe.requester(), new Messages.Nack(probe.sequence()));
            return new IndirectProbe(probe.requester(), probe.sequence(), probe.target(), probe.nackUs(), true);
        });
    }

    /** A late answer may still help a requester with a poor local health score, whose probes last longer. */
    private long endUs(final IndirectProbe probe) {
        return probe.nackUs() + timing.periodUs();
    }

    private void askHelpers(final Outbox out) {
        probe.helpersAsked = true;
        out.send(probe.target, ping(probe.sequence, probe.target));
        probe.helpers.addAll(randomMembers(
                HELPERS, member -> member.claim.state() == MemberState.ALIVE && member.id != probe.target));
        probe.helpers.forEach(helper -> out.send(helper, new Messages.PingRequest(probe.sequence, probe.target)));
    }

    private void endProbe(final long nowUs) {
        if (probe != null && !probe.answered) {
            // If all helpers answer with a nack, this courier can communicate, so its own health is not in doubt.
            if (probe.helpers.isEmpty() || probe.nacks.size() < probe.helpers.size()) {
                health.worse();
            }
            members.onProbeFailed(nowUs, probe.target);
        }
        probe = null;
    }

    private void beginProbe(final long nowUs, final Outbox out) {
        final int target = nextOfRound(presentRound, true);
        if (target >= 0) {
            probe = new Probe(target, nextSequence(), nowUs + health.scaled(timing.answerUs()));
            out.send(target, ping(probe.sequence, target));
        }
        final int absent = nextOfRound(absentRound, false);
        if (absent >= 0) {
            out.send(absent, ping(absent));
        }
        nextProbeUs = nowUs + health.scaled(timing.periodUs());
    }

    /** The next courier of a shuffled round that is present, or is not; negative if there is none. */
    private int nextOfRound(final Deque<Integer> from, final boolean present) {
        for (int rounds = 0; rounds < 2; rounds++) {
            while (!from.isEmpty()) {
                final int id = from.poll();
                if (members.isPresent(id) == present) {
                    return id;
                }
            }
            from.addAll(randomMembers(Integer.MAX_VALUE, member -> true));
        }
        return -1;
    }

    private Messages.Ping ping(final int number, final int target) {
        return new Messages.Ping(number, members.incarnation(), members.claim(target));
    }

    private int nextSequence() {
        sequence = sequence == Messages.MAX_SEQUENCE ? 0 : sequence + 1;
        return sequence;
    }

    /** Handles an ack: for a probe of this courier, or for an indirect probe. */
    void onAck(final int from, final Messages.Ack ack, final Outbox out) {
        if (probe != null && from == probe.target && ack.sequence() == probe.sequence) {
            onProbeAnswered();
        }
        final IndirectProbe probe = indirectProbes.get(ack.sequence());
        if (probe != null && probe.target() == from) {
            indirectProbes.remove(ack.sequence());
            out.send(probe.requester(), new Messages.Relayed(probe.sequence(), ack.incarnation()));
        }
    }

    private void onProbeAnswered() {
        if (!probe.answered) {
            probe.answered = true;
            health.better();
        }
    }

    /** Handles a helper's report that the target has answered. */
    void onRelayed(final long nowUs, final int from, final Messages.Relayed relayed) {
        if (probe != null && probe.helpers.contains(from) && relayed.sequence() == probe.sequence) {
            onProbeAnswered();
            members.onClaim(nowUs, probe.target, new Claim(MemberState.ALIVE, relayed.incarnation()), from);
        }
    }

    /** Handles a helper's report that the target has not answered. */
    void onNack(final int from, final Messages.Nack nack) {
        if (probe != null && probe.helpers.contains(from) && nack.sequence() == probe.sequence) {
            probe.nacks.add(from);
        }
    }

    /** Handles a request to probe another courier. */
    void onPingRequest(final long nowUs, final int from, final Messages.PingRequest request, final Outbox out) {
        if (request.target() != from
                && !members.isSelf(request.target())
                && indirectProbes.size() < MAX_INDIRECT_PROBES) {
            final Messages.Ping ping = ping(request.target());
            indirectProbes.put(
                    ping.sequence(),
                    new IndirectProbe(from, request.sequence(), request.target(), nowUs + timing.answerUs(), false));
            out.send(request.target(), ping);
        }
    }
}
