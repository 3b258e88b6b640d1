package driftchute.fleet.lease;

import driftchute.fleet.Events;
import driftchute.fleet.Moment;
import driftchute.fleet.Outbox;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * The proposer of one role: acquires it from a majority, renews it, and stops in time (PaxosLease;
 * docs/fleet-leases.md). It counts each lease from before it first sent the request that the majority accepted.
 */
final class Proposer {
    /** If a failed renewal was sent fewer times than this, the process did not run; otherwise no majority answered. */
    private static final int HEARD_NOBODY = 2;
    /**
     * Number of times a release is sent, since nobody replies to it. With a loss rate of a fifth, three reach 99 in
     * 100.
     */
    private static final int FAREWELLS = 3;
    /** Maximum number of doublings of the delay after failed attempts, from a sixteenth of a lease to a whole one. */
    private static final int MAX_DOUBLINGS = 4;

    private final Seat seat;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final LongSupplier serials;
    private final Events events;
    private final long fromUs;
    private Poll attempt;
    private long attemptEndUs;
    private Poll renewal;
    private long renewAtUs;
    /** The ballot under which it holds the role, or null. */
    private Ballot holding;

    private long heldUntilUs;
    /** An acceptor refused a renewal because of a higher token. */
    private boolean outbid;
    /** The highest ballot that this process has used, or null. */
    private Ballot last;

    private Ballot farewell;
    private int farewellsLeft;
    private long farewellAtUs;
    private long highestRound;
    private long tryAtUs;
    private int failures;
    private boolean leaving;

    Proposer(
            final Seat seat,
            final Acceptor acceptor,
            final SplittableRandom random,
            final LongSupplier serials,
            final Events events,
            final long fromUs) {
        this.seat = seat;
        this.acceptor = acceptor;
        this.random = random;
        this.serials = serials;
        this.events = events;
        this.fromUs = fromUs;
        this.tryAtUs = fromUs + seat.delayUs(random);
    }

    /** Performs the work that is due; returns when the next is due, monotonic us. */
    long tick(final Moment now, final Outbox out) {
        expire(now);
        if (farewellsLeft > 0 && now.monoUs() >= farewellAtUs) {
            sendFarewell(now, out);
        }
        if (attempt != null && now.monoUs() >= attemptEndUs) {
            fail(now, out);
        }
        if (attempt == null && now.monoUs() >= triesAtUs(now)) {
            attempt(now);
        }
        if (holding != null && now.monoUs() >= renewAtUs) {
            renew(now);
        }
        long next = farewellsLeft > 0 ? farewellAtUs : Long.MAX_VALUE;
        if (attempt == null) {
            next = Math.min(next, triesAtUs(now));
        } else {
            attempt.tick(now, out);
            next = Math.min(next, Math.min(attemptEndUs, attempt.nextUs()));
        }
        if (holding != null) {
            next = Math.min(next, Math.min(renewAtUs, heldUntilUs));
        }
        if (renewal != null) {
            renewal.tick(now, out);
            next = Math.min(next, renewal.nextUs());
        }
        return next;
    }

    /**
     * When it may attempt to acquire the role: never while another is known to hold it, or while it holds it
     * undisputed.
     */
    private long triesAtUs(final Moment now) {
        if (leaving || holding != null && !outbid) {
            return Long.MAX_VALUE;
        }
        final long lockedUs = holding == null ? acceptor.lockedUs(now.monoUs(), self(0)) : 0;
        return Math.max(Math.max(fromUs, tryAtUs), now.monoUs() + lockedUs);
    }

    private Ballot self(final long round) {
        return new Ballot(seat.tier().self(), seat.life(), round);
    }

    private void attempt(final Moment now) {
        final long round = Math.max(highestRound + 1, Ballot.roundAt(now.wallMs()));
        if (!Ballot.plausible(round, now.wallMs())) {
            tryAtUs = now.monoUs() + seat.terms().leaseUs();
            return;
        }
        highestRound = round;
        last = self(round);
        attemptEndUs = now.monoUs() + seat.terms().attemptUs();
        attempt = ask(now, Request.PREPARE, last);
    }

    private void renew(final Moment now) {
        renewAtUs = now.monoUs() + seat.terms().renewUs();
        renewal = ask(now, Request.RENEW, holding);
    }

    private Poll ask(final Moment now, final int type, final Ballot ballot) {
        return new Poll(seat, request(type, ballot), now.monoUs());
    }

    private Request request(final int type, final Ballot ballot) {
        return new Request(
                type,
                seat.number(),
                seat.life(),
                serials.getAsLong(),
                ballot.round(),
                seat.terms().leaseMs());
    }

    /** Handles a positive reply of an acceptor. */
    void agreed(final Moment now, final int from, final Answer answer, final Outbox out) {
        expire(now);
        if (attempt != null
                && attempt.takes(answer)
                && now.monoUs() < attemptEndUs
                && attempt.agree(from)
                && attempt.won()) {
            if (attempt.prepares()) {
                attempt = ask(now, Request.PROPOSE, attempt.ballot());
                attempt.tick(now, out);
            } else {
                take(now, out);
            }
        } else if (renewal != null && renewal.takes(answer) && renewal.agree(from) && renewal.won()) {
            heldUntilUs = Math.max(heldUntilUs, renewal.sinceUs() + seat.terms().holderUs());
        }
    }

    private void take(final Moment now, final Outbox out) {
        holding = attempt.ballot();
        heldUntilUs = attempt.sinceUs() + seat.terms().holderUs();
        attempt = null;
        outbid = false;
        failures = 0;
        acceptor.held(holding.token());
        tell("duty_taken");
        renew(now);
        renewal.tick(now, out);
    }

    /** Handles a refusal of an acceptor. */
    void refused(final Moment now, final int from, final Refusal refusal, final Outbox out) {
        expire(now);
        heard(now, Ballot.roundOf(refusal.token()));
        if (attempt != null && attempt.takes(refusal) && attempt.refuse(from, refusal.lockedMs()) && attempt.lost()) {
            fail(now, out);
        } else if (renewal != null && renewal.takes(refusal) && renewal.refuse(from, refusal.lockedMs())) {
            outbid |= refusal.token() > holding.token();
        }
    }

    /** A round used by some courier; later rounds of this courier are higher. Implausible rounds are ignored. */
    void heard(final Moment now, final long round) {
        if (Ballot.plausible(round, now.wallMs())) {
            highestRound = Math.max(highestRound, round);
        }
    }

    /** This courier's acceptor was locked by another courier for a lease time from now. */
    void stepBack(final Moment now, final Outbox out) {
        failures = 0;
        if (attempt != null && holding == null) {
            drop(now, out);
        }
        tryAtUs = now.monoUs() + seat.terms().leaseUs() + seat.delayUs(random);
    }

    /** This courier's acceptor has promised another courier, whose attempt goes first. */
    void giveWay(final Moment now) {
        tryAtUs = Math.max(
                tryAtUs,
                now.monoUs()
                        + seat.terms().attemptUs()
                        + random.nextLong(seat.terms().stepUs()));
    }

    /** The holder has released the role. */
    void freed(final Moment now) {
        tryAtUs = now.monoUs() + seat.delayUs(random);
    }

    private void fail(final Moment now, final Outbox out) {
        final long lockedUs = attempt.majorityLockedUs();
        final long base = seat.terms().againUs() << failures;
        failures = Math.min(MAX_DOUBLINGS, failures + 1);
        drop(now, out);
        tryAtUs = now.monoUs() + (lockedUs > 0 ? lockedUs + seat.delayUs(random) : base / 2 + random.nextLong(base));
    }

    /** Ends an attempt, and releases locks it may have caused, unless this process holds the role by some of them. */
    private void drop(final Moment now, final Outbox out) {
        if (!attempt.prepares() && holding == null) {
            part(now, 1, out);
        }
        attempt = null;
    }

    private void part(final Moment now, final int sendings, final Outbox out) {
        farewell = last;
        farewellsLeft = sendings;
        sendFarewell(now, out);
    }

    private void sendFarewell(final Moment now, final Outbox out) {
        final Request release = request(Request.RELEASE, farewell);
        for (int peer = 0; peer < seat.tier().size(); peer++) {
            out.send(peer, release);
        }
        farewellsLeft--;
        farewellAtUs = now.monoUs() + seat.terms().againUs();
    }

    /** Gives up the role when its lease has expired. */
    private void expire(final Moment now) {
        if (holding != null && now.monoUs() >= heldUntilUs) {
            final boolean asked = renewal != null && renewal.sendings() >= HEARD_NOBODY;
            tell("duty_lost", "why", asked ? "no majority renewed it" : "this process did not run");
            holding = null;
            renewal = null;
            outbid = false;
            tryAtUs = now.monoUs() + seat.delayUs(random);
        }
    }

    /**
     * Releases the role, or stops trying. Others may take it at once, this courier after two lease times or never
     * again.
     */
    void release(final Moment now, final boolean forEver, final Outbox out) {
        expire(now);
        leaving |= forEver;
        tryAtUs = now.monoUs() + 2 * seat.terms().leaseUs();
        final boolean held = holding != null;
        if (held) {
            tell("duty_released");
        }
        holding = null;
        renewal = null;
        outbid = false;
        if (held || attempt != null) {
            attempt = null;
            part(now, FAREWELLS, out);
        }
    }

    /** The token under which it holds the role at that time, or -1. */
    long held(final Moment now) {
        return holding != null && now.monoUs() < heldUntilUs ? holding.token() : -1;
    }

    private void tell(final String event, final Object... more) {
        final Object[] fields = new Object[6 + more.length];
        System.arraycopy(
                new Object[] {"duty", seat.duty(), "courier", holding.courier(), "token", holding.token()},
                0,
                fields,
                0,
                6);
        System.arraycopy(more, 0, fields, 6, more.length);
        events.event(event, fields);
    }
}
