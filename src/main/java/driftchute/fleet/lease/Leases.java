package driftchute.fleet.lease;

import driftchute.fleet.Events;
import driftchute.fleet.Message;
import driftchute.fleet.Moment;
import driftchute.fleet.Outbox;
import driftchute.fleet.Part;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/**
 * Roles that one courier of the tier holds at a time, by leases granted by a majority (docs/fleet-leases.md). No two
 * couriers hold a role at the same time, whatever is lost, delayed, duplicated, suspended or restarted, as long as the
 * monotonic clocks drift within the stated bound. A role's number is its index in the list passed to the constructor.
 * The host calls tick after each message, because a message may make work due earlier.
 */
public final class Leases implements Part {
    private static final long US_PER_MS = 1000;

    /** This courier's acceptor and proposer of one role, and the token it last accepted there. */
    private static final class Desk {
        private final Acceptor acceptor;
        private final Proposer proposer;
        private long seen;

        Desk(final Acceptor acceptor, final Proposer proposer) {
            this.acceptor = acceptor;
            this.proposer = proposer;
        }
    }

    private final Tier tier;
    private final List<String> duties;
    private final Terms terms;
    private final int life;
    private final long fromUs;
    private final Events events;
    private final List<Desk> desks = new ArrayList<>();
    private long serial;
    private long ignored;
    private long refusedActs;

    /**
     * Starts by waiting for one lease time, after which this courier participates.
     *
     * @param duties names of the roles, 1 to 128, the same at all couriers
     * @param leaseUs duration of a lease without renewal, us (20 ms to 1 h, rounded down to ms); the same at all
     * couriers
     * @param driftPpm maximum drift of a monotonic clock from true time, parts per million (0 to 100,000)
     * @param seed source of randomness; different for every process, or stray messages may be mistaken for its own
     * @param start the present time, not before an earlier process of this courier has stopped
     * @throws IllegalArgumentException for a value out of bounds
     */
    public Leases(
            final Tier tier,
            final List<String> duties,
            final long leaseUs,
            final int driftPpm,
            final long seed,
            final Moment start,
            final Events events) {
        this(tier, duties, Terms.of(leaseUs, driftPpm), seed, start, events);
    }

    /** For tests with timings that violate the safety condition. */
    Leases(
            final Tier tier,
            final List<String> duties,
            final Terms terms,
            final long seed,
            final Moment start,
            final Events events) {
        if (duties.isEmpty() || duties.size() > Answer.MAX_DUTIES) {
            throw new IllegalArgumentException("1 to " + Answer.MAX_DUTIES + " roles are required, not " + duties.size());
        }
        final SplittableRandom random = new SplittableRandom(seed);
        this.tier = tier;
        this.duties = List.copyOf(duties);
        this.terms = terms;
        this.events = events;
        this.life = random.nextInt();
        this.fromUs = start.monoUs() + terms.waitUs();
        for (int duty = 0; duty < duties.size(); duty++) {
            final Acceptor acceptor = new Acceptor(terms);
            desks.add(new Desk(
                    acceptor,
                    new Proposer(
                            Seat.at(tier, terms, duty, duties.get(duty), life),
                            acceptor,
                            random.split(),
                            () -> ++serial,
                            events,
                            fromUs)));
        }
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        for (int type = Request.PREPARE; type <= Request.RELEASE; type++) {
            final int request = type;
            readers.put(type, body -> Request.read(request, body));
        }
        readers.put(Answer.OPEN, body -> Answer.read(Answer.OPEN, body));
        readers.put(Answer.ACCEPTED, body -> Answer.read(Answer.ACCEPTED, body));
        readers.put(Refusal.REFUSED, Refusal::read);
        return readers;
    }

    @Override
    public void receive(final Moment now, final int from, final Message message, final Outbox out) {
        if (message instanceof Request request && knows(request.duty())) {
            asked(now, from, request, out);
        } else if (message instanceof Answer answer && knows(answer.duty()) && answer.life() == life) {
            desks.get(answer.duty()).proposer.agreed(now, from, answer, out);
        } else if (message instanceof Refusal refusal && knows(refusal.duty()) && refusal.life() == life) {
            desks.get(refusal.duty()).proposer.refused(now, from, refusal, out);
        } else {
            ignored++;
        }
    }

    private boolean knows(final int duty) {
        return duty < desks.size();
    }

    private void asked(final Moment now, final int from, final Request request, final Outbox out) {
        final Ballot ballot = new Ballot(from, request.life(), request.round());
        if (!Ballot.plausible(ballot.round(), now.wallMs()) || request.leaseMs() > terms.leaseMs()) {
            ignored++;
            return;
        }
        final Desk desk = desks.get(request.duty());
        desk.proposer.heard(now, ballot.round());
        if (request.type() == Request.RELEASE) {
            if (desk.acceptor.release(ballot) && from != tier.self()) {
                desk.proposer.freed(now);
            }
            return;
        }
        final boolean waits = now.monoUs() < fromUs;
        // A renewal shows early that its sender holds the role. An acceptor that does not answer is in no majority.
        if (waits && request.type() != Request.RENEW) {
            return;
        }
        final boolean yes = decide(now, desk, request, ballot, out);
        if (waits) {
            return;
        }
        if (yes) {
            final int type = request.type() == Request.PREPARE ? Answer.OPEN : Answer.ACCEPTED;
            out.send(from, new Answer(type, request.duty(), request.life(), request.serial()));
        } else {
            final long promised = request.type() == Request.RENEW ? 0 : desk.acceptor.promised(now.monoUs());
            final long lockedUs = desk.acceptor.lockedUs(now.monoUs(), ballot);
            out.send(
                    from,
                    new Refusal(
                            request.duty(),
                            request.life(),
                            request.serial(),
                            Math.max(promised, desk.acceptor.fence()),
                            (lockedUs + US_PER_MS - 1) / US_PER_MS));
        }
    }

    private boolean decide(
            final Moment now, final Desk desk, final Request request, final Ballot ballot, final Outbox out) {
        final boolean other = ballot.courier() != tier.self();
        if (request.type() == Request.PREPARE) {
            final boolean known = desk.acceptor.promised(now.monoUs()) == ballot.token();
            final boolean open = desk.acceptor.prepare(now.monoUs(), ballot);
            if (open && other && !known) {
                desk.proposer.giveWay(now);
            }
            return open;
        }
        final boolean accepted = request.type() == Request.PROPOSE
                ? desk.acceptor.propose(now.monoUs(), ballot)
                : desk.acceptor.renew(now.monoUs(), ballot);
        if (accepted && other) {
            desk.proposer.stepBack(now, out);
            if (desk.seen != ballot.token()) {
                events.event(
                        "duty_seen",
                        "duty",
                        duties.get(request.duty()),
                        "courier",
                        ballot.courier(),
                        "token",
                        ballot.token());
            }
        }
        if (accepted) {
            desk.seen = ballot.token();
        }
        return accepted;
    }

    @Override
    public long tick(final Moment now, final Outbox out) {
        long next = Long.MAX_VALUE;
        for (final Desk desk : desks) {
            next = Math.min(next, desk.proposer.tick(now, out));
        }
        return Math.max(next, now.monoUs() + 1);
    }

    /**
     * The token under which this courier holds a role at that time; empty if it does not. Must be called anew, with a
     * fresh clock reading, before each action under the role.
     */
    public OptionalLong held(final Moment now, final int duty) {
        final long token = desks.get(duty).proposer.held(now);
        return token < 0 ? OptionalLong.empty() : OptionalLong.of(token);
    }

    /** The holder that this courier itself accepted less than a lease time ago; empty if there is none. */
    public Optional<Holding> holder(final Moment now, final int duty) {
        return Optional.ofNullable(desks.get(duty).acceptor.locked(now.monoUs()))
                .map(ballot -> new Holding(ballot.courier(), ballot.token()));
    }

    /**
     * True if an action under this token is valid: this courier has neither accepted nor held a higher one. Invalid
     * ones are counted. It forgets accepted tokens at a restart, and hears of the holder again within half a lease.
     */
    public boolean accepts(final int duty, final long token) {
        final boolean counts = token >= desks.get(duty).acceptor.fence();
        refusedActs += counts ? 0 : 1;
        return counts;
    }

    /** Gives up a role. Others may take it at once, this courier only after two lease times. */
    public void release(final Moment now, final int duty, final Outbox out) {
        desks.get(duty).proposer.release(now, false, out);
    }

    /** Gives up all roles for good, because this process is about to end. It still replies as an acceptor. */
    public void release(final Moment now, final Outbox out) {
        desks.forEach(desk -> desk.proposer.release(now, true, out));
    }

    /** Number of actions under an old token that {@link #accepts} refused. */
    public long refusedActs() {
        return refusedActs;
    }

    /** Number of ignored messages: unknown role, reply to another process, implausible round or too long a lease. */
    public long ignored() {
        return ignored;
    }
}
