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
    private static final int MAX_ERRANDS = 64;

    /** A probe by this courier for itself. */
    private static final class Probe {
        private final int target;
        private final int sequence;
        private final long askUs;
        private final Set<Integer> helpers = new HashSet<>();
        private final Set<Integer> nacks = new HashSet<>();
        private boolean asked;
        private boolean answered;

        Probe(final int target, final int sequence, final long askUs) {
            this.target = target;
            this.sequence = sequence;
            this.askUs = askUs;
        }
    }

    /** A ping sent on behalf of another courier. */
    private record Errand(int asker, int sequence, int target, long nackUs, boolean nacked) {}

    private final Timing timing;
    private final Members members;
    private final LocalHealth health;
    private final Random random;
    private final Deque<Integer> round = new ArrayDeque<>();
    private final Deque<Integer> goneRound = new ArrayDeque<>();
    private final Map<Integer, Errand> errands = new LinkedHashMap<>();
    private Probe probe;
    private int sequence;
    private long nextUs;

    Prober(
            final Timing timing,
            final Members members,
            final LocalHealth health,
            final Random random,
            final long nowUs) {
        this.timing = timing;
        this.members = members;
        this.health = health;
        this.random = random;
        this.sequence = random.nextInt(Messages.MAX_SEQUENCE);
        // Couriers that start together must not probe together.
        this.nextUs = nowUs + (long) (random.nextDouble() * timing.periodUs());
    }

    /** Performs the work that is due. */
    void tick(final long nowUs, final Outbox out) {
        runErrands(nowUs, out);
        if (probe != null && !probe.answered && !probe.asked && nowUs >= probe.askUs) {
            askHelpers(out);
        }
        if (nowUs >= nextUs) {
            conclude(nowUs);
            begin(nowUs, out);
        }
        for (final Member suspect : members.suspects()) {
            if (suspect.suspicion.askUs() <= nowUs) {
                suspect.suspicion.askAt(members.accuses(suspect) ? nowUs + timing.periodUs() : Long.MAX_VALUE);
                out.send(suspect.id, ping(suspect.id));
            }
        }
    }

    /** When {@link #tick} is due, monotonic us, except for probes of suspects ({@link Members#dueUs}). */
    long dueUs() {
        long due = nextUs;
        if (probe != null && !probe.answered && !probe.asked) {
            due = Math.min(due, probe.askUs);
        }
        for (final Errand errand : errands.values()) {
            due = Math.min(due, errand.nacked() ? endUs(errand) : errand.nackUs());
        }
        return due;
    }

    /** This process was suspended, so probes in progress say nothing about others. */
    void forget(final long nowUs) {
        probe = null;
        errands.clear();
        nextUs = nowUs;
    }

    /** A ping with a new sequence number. Its answer counts only as the courier's own claim. */
    Messages.Ping ping(final int target) {
        return ping(nextSequence(), target);
    }

    /** Up to {@code most} random other couriers that match. */
    List<Integer> some(final int most, final Predicate<Member> test) {
        final List<Integer> ids =
                new ArrayList<>(members.others(test).map(member -> member.id).toList());
        Collections.shuffle(ids, random);
        return ids.subList(0, Math.min(most, ids.size()));
    }

    private void runErrands(final long nowUs, final Outbox out) {
        errands.values().removeIf(errand -> nowUs >= endUs(errand));
        errands.replaceAll((number, errand) -> {
            if (errand.nacked() || nowUs < errand.nackUs()) {
                return errand;
            }
            out.send(errand.asker(), new Messages.Nack(errand.sequence()));
            return new Errand(errand.asker(), errand.sequence(), errand.target(), errand.nackUs(), true);
        });
    }

    /** A late answer may still help a requester with a poor local health score, whose probes last longer. */
    private long endUs(final Errand errand) {
        return errand.nackUs() + timing.periodUs();
    }

    private void askHelpers(final Outbox out) {
        probe.asked = true;
        out.send(probe.target, ping(probe.sequence, probe.target));
        probe.helpers.addAll(some(HELPERS, member -> member.claim.state() == State.ALIVE && member.id != probe.target));
        probe.helpers.forEach(helper -> out.send(helper, new Messages.PingRequest(probe.sequence, probe.target)));
    }

    private void conclude(final long nowUs) {
        if (probe != null && !probe.answered) {
            // If all helpers answer with a nack, this courier can communicate, so its own health is not in doubt.
            if (probe.helpers.isEmpty() || probe.nacks.size() < probe.helpers.size()) {
                health.worse();
            }
            members.accuse(nowUs, probe.target);
        }
        probe = null;
    }

    private void begin(final long nowUs, final Outbox out) {
        final int target = next(round, true);
        if (target >= 0) {
            probe = new Probe(target, nextSequence(), nowUs + health.scaled(timing.answerUs()));
            out.send(target, ping(probe.sequence, target));
        }
        final int gone = next(goneRound, false);
        if (gone >= 0) {
            out.send(gone, ping(gone));
        }
        nextUs = nowUs + health.scaled(timing.periodUs());
    }

    /** The next courier of a shuffled round that is present, or is not; negative if there is none. */
    private int next(final Deque<Integer> from, final boolean present) {
        for (int rounds = 0; rounds < 2; rounds++) {
            while (!from.isEmpty()) {
                final int id = from.poll();
                if (members.isPresent(id) == present) {
                    return id;
                }
            }
            from.addAll(some(Integer.MAX_VALUE, member -> true));
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
    void acked(final int from, final Messages.Ack ack, final Outbox out) {
        if (probe != null && from == probe.target && ack.sequence() == probe.sequence) {
            answered();
        }
        final Errand errand = errands.get(ack.sequence());
        if (errand != null && errand.target() == from) {
            errands.remove(ack.sequence());
            out.send(errand.asker(), new Messages.Relayed(errand.sequence(), ack.incarnation()));
        }
    }

    private void answered() {
        if (!probe.answered) {
            probe.answered = true;
            health.better();
        }
    }

    /** Handles a helper's report that the target has answered. */
    void relayed(final long nowUs, final int from, final Messages.Relayed relayed) {
        if (probe != null && probe.helpers.contains(from) && relayed.sequence() == probe.sequence) {
            answered();
            members.told(nowUs, probe.target, new Claim(State.ALIVE, relayed.incarnation()), from);
        }
    }

    /** Handles a helper's report that the target has not answered. */
    void nacked(final int from, final Messages.Nack nack) {
        if (probe != null && probe.helpers.contains(from) && nack.sequence() == probe.sequence) {
            probe.nacks.add(from);
        }
    }

    /** Handles a request to probe another courier. */
    void asked(final long nowUs, final int from, final Messages.PingRequest request, final Outbox out) {
        if (request.target() != from && !members.isSelf(request.target()) && errands.size() < MAX_ERRANDS) {
            final Messages.Ping ping = ping(request.target());
            errands.put(
                    ping.sequence(),
                    new Errand(from, request.sequence(), request.target(), nowUs + timing.answerUs(), false));
            out.send(request.target(), ping);
        }
    }
}
