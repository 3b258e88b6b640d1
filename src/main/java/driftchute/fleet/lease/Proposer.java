package driftchute.fleet.lease;

import driftchute.fleet.ClockReading;
import driftchute.fleet.EventLog;
import driftchute.fleet.Outbox;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

/**
 * The proposer of one role: acquires it from a majority, renews it, and stops in time (PaxosLease;
 * docs/fleet-leases.md). It counts each lease from before it first sent the request that the majority accepted.
 */
final class Proposer {
    /** If a failed renewal was sent fewer times than this, the process did not run; otherwise no majority answered. */
    private static final int MIN_SENDINGS_WITHOUT_MAJORITY = 2;
    /**
     * Number of times a release is sent, since nobody replies to it. With a loss rate of a fifth, three reach 99 in
     * 100.
     */
    private static final int RELEASE_SENDINGS = 3;
    /** Maximum number of doublings of the delay after failed attempts, from a sixteenth of a lease to a whole one. */
    private static final int MAX_DOUBLINGS = 4;

    private final RoleCandidate candidate;
    private final Acceptor acceptor;
    private final SplittableRandom random;
    private final LongSupplier serials;
    private final EventLog events;
    private final long activeFromUs;
    private QuorumRequest attempt;
    private long attemptEndUs;
    private QuorumRequest renewal;
    private long renewAtUs;
    /** The ballot under which it holds the role, or null. */
    private Ballot heldBallot;

    private long heldUntilUs;
    /** An acceptor refused a renewal because of a higher token. */
    private boolean outbid;
    /** The highest ballot that this process has used, or null. */
    private Ballot highestBallot;

    private Ballot releasedBallot;
    private int releasesLeft;
    private long nextReleaseUs;
    private long highestRound;
    private long nextAttemptUs;
    private int failures;
    private boolean leaving;

    Proposer(
            final RoleCandidate candidate,
            final Acceptor acceptor,
            final SplittableRandom random,
            final LongSupplier serials,
            final EventLog events,
            final long activeFromUs) {
        this.candidate = candidate;
        this.acceptor = acceptor;
        this.random = random;
        this.serials = serials;
        this.events = events;
        this.activeFromUs = activeFromUs;
        this.nextAttemptUs = activeFromUs + candidate.delayUs(random);
    }

    /** Performs the work that is due; returns when the next is due, monotonic us. */
    long tick(final ClockReading now, final Outbox out) {
        expire(now);
        if (releasesLeft > 0 && now.monoUs() >= nextReleaseUs) {
            sendRelease(now, out);
        }
        if (attempt != null && now.monoUs() >= attemptEndUs) {
            failAttempt(now, out);
        }
        if (attempt == null && now.monoUs() >= attemptAtUs(now)) {
            beginAttempt(now);
        }
        if (heldBallot != null && now.monoUs() >= renewAtUs) {
            renew(now);
        }
        long next = releasesLeft > 0 ? nextReleaseUs : Long.MAX_VALUE;
        if (attempt == null) {
            next = Math.min(next, attemptAtUs(now));
        } else {
            attempt.tick(now, out);
            next = Math.min(next, Math.min(attemptEndUs, attempt.nextUs()));
        }
        if (heldBallot != null) {
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
    private long attemptAtUs(final ClockReading now) {
        if (leaving || heldBallot != null && !outbid) {
            return Long.MAX_VALUE;
        }
        final long lockedUs = heldBallot == null ? acceptor.lockedUs(now.monoUs(), ballot(0)) : 0;
        return Math.max(Math.max(activeFromUs, nextAttemptUs), now.monoUs() + lockedUs);
    }

    private Ballot ballot(final long round) {
        return new Ballot(candidate.tier().self(), candidate.processId(), round);
    }

    private void beginAttempt(final ClockReading now) {
        final long round = Math.max(highestRound + 1, Ballot.roundAt(now.wallMs()));
        if (!Ballot.plausible(round, now.wallMs())) {
            nextAttemptUs = now.monoUs() + candidate.timing().leaseUs();
            return;
        }
        highestRound = round;
        highestBallot = ballot(round);
        attemptEndUs = now.monoUs() + candidate.timing().attemptUs();
        attempt = ask(now, ProposerRequest.PREPARE, highestBallot);
    }

    private void renew(final ClockReading now) {
        renewAtUs = now.monoUs() + candidate.timing().renewUs();
        renewal = ask(now, ProposerRequest.RENEW, heldBallot);
    }

    private QuorumRequest ask(final ClockReading now, final int type, final Ballot ballot) {
        return new QuorumRequest(candidate, request(type, ballot), now.monoUs());
    }

    private ProposerRequest request(final int type, final Ballot ballot) {
        return new ProposerRequest(
                type,
                candidate.number(),
                candidate.processId(),
                serials.getAsLong(),
                ballot.round(),
                candidate.timing().leaseMs());
    }

    /** Handles a positive reply of an acceptor. */
    void onAgreed(final ClockReading now, final int from, final AcceptorReply answer, final Outbox out) {
        expire(now);
        if (attempt != null
                && attempt.isAnsweredBy(answer)
                && now.monoUs() < attemptEndUs
                && attempt.agree(from)
                && attempt.won()) {
            if (attempt.isPrepare()) {
                attempt = ask(now, ProposerRequest.PROPOSE, attempt.ballot());
                attempt.tick(now, out);
            } else {
                acquire(now, out);
            }
        } else if (renewal != null && renewal.isAnsweredBy(answer) && renewal.agree(from) && renewal.won()) {
            heldUntilUs =
                    Math.max(heldUntilUs, renewal.sinceUs() + candidate.timing().holderUs());
        }
    }

    private void acquire(final ClockReading now, final Outbox out) {
        heldBallot = attempt.ballot();
        heldUntilUs = attempt.sinceUs() + candidate.timing().holderUs();
        attempt = null;
        outbid = false;
        failures = 0;
        acceptor.held(heldBallot.token());
        logEvent("duty_taken");
        renew(now);
        renewal.tick(now, out);
    }

    /** Handles a refusal of an acceptor. */
    void onRefused(final ClockReading now, final int from, final AcceptorRefusal refusal, final Outbox out) {
        expire(now);
        onRound(now, Ballot.roundOf(refusal.token()));
        if (attempt != null
                && attempt.isAnsweredBy(refusal)
                && attempt.refuse(from, refusal.lockedMs())
                && attempt.lost()) {
            failAttempt(now, out);
        } else if (renewal != null && renewal.isAnsweredBy(refusal) && renewal.refuse(from, refusal.lockedMs())) {
            outbid |= refusal.token() > heldBallot.token();
        }
    }

    /** A round used by some courier; later rounds of this courier are higher. Implausible rounds are ignored. */
    void onRound(final ClockReading now, final long round) {
        if (Ballot.plausible(round, now.wallMs())) {
            highestRound = Math.max(highestRound, round);
        }
    }

    /** This courier's acceptor was locked by another courier for a lease time from now. */
    void onLockedByOther(final ClockReading now, final Outbox out) {
        failures = 0;
        if (attempt != null && heldBallot == null) {
            dropAttempt(now, out);
        }
        nextAttemptUs = now.monoUs() + candidate.timing().leaseUs() + candidate.delayUs(random);
    }

    /** This courier's acceptor has promised another courier, whose attempt goes first. */
    void onPromisedToOther(final ClockReading now) {
        nextAttemptUs = Math.max(
                nextAttemptUs,
                now.monoUs()
                        + candidate.timing().attemptUs()
                        + random.nextLong(candidate.timing().rankStepUs()));
    }

    /** The holder has released the role. */
    void onReleased(final ClockReading now) {
        nextAttemptUs = now.monoUs() + candidate.delayUs(random);
    }

    private void failAttempt(final ClockReading now, final Outbox out) {
        final long lockedUs = attempt.majorityLockedUs();
        final long base = candidate.timing().repeatUs() << failures;
        failures = Math.min(MAX_DOUBLINGS, failures + 1);
        dropAttempt(now, out);
        nextAttemptUs =
                now.monoUs() + (lockedUs > 0 ? lockedUs + candidate.delayUs(random) : base / 2 + random.nextLong(base));
    }

    /** Ends an attempt, and releases locks it may have caused, unless this process holds the role by some of them. */
    private void dropAttempt(final ClockReading now, final Outbox out) {
        if (!attempt.isPrepare() && heldBallot == null) {
            announceRelease(now, 1, out);
        }
        attempt = null;
    }

    private void announceRelease(final ClockReading now, final int sendings, final Outbox out) {
        releasedBallot = highestBallot;
        releasesLeft = sendings;
        sendRelease(now, out);
    }

    private void sendRelease(final ClockReading now, final Outbox out) {
        final ProposerRequest release = request(ProposerRequest.RELEASE, releasedBallot);
        for (int peer = 0; peer < candidate.tier().size(); peer++) {
            out.send(peer, release);
        }
        releasesLeft--;
        nextReleaseUs = now.monoUs() + candidate.timing().repeatUs();
    }

    /** Gives up the role when its lease has expired. */
    private void expire(final ClockReading now) {
        if (heldBallot != null && now.monoUs() >= heldUntilUs) {
            final boolean asked = renewal != null && renewal.sendings() >= MIN_SENDINGS_WITHOUT_MAJORITY;
            logEvent("duty_lost", "why", asked ? "no majority renewed it" : "this process did not run");
            heldBallot = null;
            renewal = null;
            outbid = false;
            nextAttemptUs = now.monoUs() + candidate.delayUs(random);
        }
    }

    /**
     * Releases the role, or stops trying. Others may take it at once, this courier after two lease times or never
     * again.
     */
    void release(final ClockReading now, final boolean forEver, final Outbox out) {
        expire(now);
        leaving |= forEver;
        nextAttemptUs = now.monoUs() + 2 * candidate.timing().leaseUs();
        final boolean held = heldBallot != null;
        if (held) {
            logEvent("duty_released");
        }
        heldBallot = null;
        renewal = null;
        outbid = false;
        if (held || attempt != null) {
            attempt = null;
            announceRelease(now, RELEASE_SENDINGS, out);
        }
    }

    /** The token under which it holds the role at that time, or -1. */
    long held(final ClockReading now) {
        return heldBallot != null && now.monoUs() < heldUntilUs ? heldBallot.token() : -1;
    }

    private void logEvent(final String event, final Object... more) {
        final Object[] fields = new Object[6 + more.length];
        System.arraycopy(
                new Object[] {"duty", candidate.role(), "courier", heldBallot.courier(), "token", heldBallot.token()},
                0,
                fields,
                0,
                6);
        System.arraycopy(more, 0, fields, 6, more.length);
        events.event(event, fields);
    }
}
