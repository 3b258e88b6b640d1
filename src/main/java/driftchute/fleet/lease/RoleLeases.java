package driftchute.fleet.lease;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
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
public final class RoleLeases implements Component {
    private static final long US_PER_MS = 1000;

    /** This courier's acceptor and proposer of one role, and the token it last accepted there. */
    private static final class RoleState {
        private final Acceptor acceptor;
        private final Proposer proposer;
        private long acceptedToken;

        RoleState(final Acceptor acceptor, final Proposer proposer) {
            this.acceptor = acceptor;
            this.proposer = proposer;
        }
    }

    private final Tier tier;
    private final List<String> roleNames;
    private final LeaseTiming timing;
    private final int processId;
    private final long activeFromUs;
    private final EventLog events;
    private final List<RoleState> roleStates = new ArrayList<>();
    private long serial;
    private long ignored;
    private long refusedActions;

    /**
     * Starts by waiting for one lease time, after which this courier participates.
     *
     * @param roleNames names of the roles, 1 to 128, the same at all couriers
     * @param leaseUs duration of a lease without renewal, us (20 ms to 1 h, rounded down to ms); the same at all
     * couriers
     * @param driftPpm maximum drift of a monotonic clock from true time, parts per million (0 to 100,000)
     * @param seed source of randomness; different for every process, or stray messages may be mistaken for its own
     * @param start the present time, not before an earlier process of this courier has stopped
     * @throws IllegalArgumentException for a value out of bounds
     */
    public RoleLeases(
            final Tier tier,
            final List<String> roleNames,
            final long leaseUs,
            final int driftPpm,
            final long seed,
            final ClockReading start,
            final EventLog events) {
        this(tier, roleNames, LeaseTiming.of(leaseUs, driftPpm), seed, start, events);
    }

    /** For tests with timings that violate the safety condition. */
    RoleLeases(
            final Tier tier,
            final List<String> roleNames,
            final LeaseTiming timing,
            final long seed,
            final ClockReading start,
            final EventLog events) {
        if (roleNames.isEmpty() || roleNames.size() > AcceptorReply.MAX_ROLES) {
            throw new IllegalArgumentException(
                    "1 to " + AcceptorReply.MAX_ROLES + " roles are required, not " + roleNames.size());
        }
        final SplittableRandom random = new SplittableRandom(seed);
        this.tier = tier;
        this.roleNames = List.copyOf(roleNames);
        this.timing = timing;
        this.events = events;
        this.processId = random.nextInt();
        this.activeFromUs = start.monoUs() + timing.startupWaitUs();
        for (int role = 0; role < roleNames.size(); role++) {
            final Acceptor acceptor = new Acceptor(timing);
            roleStates.add(new RoleState(
                    acceptor,
                    new Proposer(
                            RoleCandidate.at(tier, timing, role, roleNames.get(role), processId),
                            acceptor,
                            random.split(),
                            () -> ++serial,
                            events,
                            activeFromUs)));
        }
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        final Map<Integer, Message.Reader> readers = new HashMap<>();
        for (int type = ProposerRequest.PREPARE; type <= ProposerRequest.RELEASE; type++) {
            final int request = type;
            readers.put(type, body -> ProposerRequest.read(request, body));
        }
        readers.put(AcceptorReply.PROMISED, body -> AcceptorReply.read(AcceptorReply.PROMISED, body));
        readers.put(AcceptorReply.ACCEPTED, body -> AcceptorReply.read(AcceptorReply.ACCEPTED, body));
        readers.put(AcceptorRefusal.REFUSED, AcceptorRefusal::read);
        return readers;
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        if (message instanceof ProposerRequest request && isKnownRole(request.role())) {
            onRequest(now, from, request, out);
        } else if (message instanceof AcceptorReply answer
                && isKnownRole(answer.role())
                && answer.processId() == processId) {
            roleStates.get(answer.role()).proposer.onAgreed(now, from, answer, out);
        } else if (message instanceof AcceptorRefusal refusal
                && isKnownRole(refusal.role())
                && refusal.processId() == processId) {
            roleStates.get(refusal.role()).proposer.onRefused(now, from, refusal, out);
        } else {
            ignored++;
        }
    }

    private boolean isKnownRole(final int role) {
        return role < roleStates.size();
    }

    private void onRequest(final ClockReading now, final int from, final ProposerRequest request, final Outbox out) {
        final Ballot ballot = new Ballot(from, request.processId(), request.round());
        if (!Ballot.plausible(ballot.round(), now.wallMs()) || request.leaseMs() > timing.leaseMs()) {
            ignored++;
            return;
        }
        final RoleState state = roleStates.get(request.role());
        state.proposer.onRound(now, ballot.round());
        if (request.type() == ProposerRequest.RELEASE) {
            if (state.acceptor.release(ballot) && from != tier.self()) {
                state.proposer.onReleased(now);
            }
            return;
        }
        final boolean startingUp = now.monoUs() < activeFromUs;
        // A renewal shows early that its sender holds the role. An acceptor that does not answer is in no majority.
        if (startingUp && request.type() != ProposerRequest.RENEW) {
            return;
        }
        final boolean agreed = decide(now, state, request, ballot, out);
        if (startingUp) {
            return;
        }
        if (agreed) {
            final int type =
                    request.type() == ProposerRequest.PREPARE ? AcceptorReply.PROMISED : AcceptorReply.ACCEPTED;
            out.send(from, new AcceptorReply(type, request.role(), request.processId(), request.serial()));
        } else {
            final long promised = request.type() == ProposerRequest.RENEW ? 0 : state.acceptor.promised(now.monoUs());
            final long lockedUs = state.acceptor.lockedUs(now.monoUs(), ballot);
            out.send(
                    from,
                    new AcceptorRefusal(
                            request.role(),
                            request.processId(),
                            request.serial(),
                            Math.max(promised, state.acceptor.fence()),
                            (lockedUs + US_PER_MS - 1) / US_PER_MS));
        }
    }

    private boolean decide(
            final ClockReading now,
            final RoleState state,
            final ProposerRequest request,
            final Ballot ballot,
            final Outbox out) {
        final boolean other = ballot.courier() != tier.self();
        if (request.type() == ProposerRequest.PREPARE) {
            final boolean known = state.acceptor.promised(now.monoUs()) == ballot.token();
            final boolean open = state.acceptor.prepare(now.monoUs(), ballot);
            if (open && other && !known) {
                state.proposer.onPromisedToOther(now);
            }
            return open;
        }
        final boolean accepted = request.type() == ProposerRequest.PROPOSE
                ? state.acceptor.propose(now.monoUs(), ballot)
                : state.acceptor.renew(now.monoUs(), ballot);
        if (accepted && other) {
            state.proposer.onLockedByOther(now, out);
            if (state.acceptedToken != ballot.token()) {
                events.event(
                        "duty_seen",
                        "duty",
                        roleNames.get(request.role()),
                        "courier",
                        ballot.courier(),
                        "token",
                        ballot.token());
            }
        }
        if (accepted) {
            state.acceptedToken = ballot.token();
        }
        return accepted;
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        long next = Long.MAX_VALUE;
        for (final RoleState state : roleStates) {
            next = Math.min(next, state.proposer.tick(now, out));
        }
        return Math.max(next, now.monoUs() + 1);
    }

    /**
     * The token under which this courier holds a role at that time; empty if it does not. Must be called anew, with a
     * fresh clock reading, before each action under the role.
     */
    public OptionalLong held(final ClockReading now, final int role) {
        final long token = roleStates.get(role).proposer.held(now);
        return token < 0 ? OptionalLong.empty() : OptionalLong.of(token);
    }

    /** The holder that this courier itself accepted less than a lease time ago; empty if there is none. */
    public Optional<RoleHolder> holder(final ClockReading now, final int role) {
        return Optional.ofNullable(roleStates.get(role).acceptor.locked(now.monoUs()))
                .map(ballot -> new RoleHolder(ballot.courier(), ballot.token()));
    }

    /**
     * True if an action under this token is valid: this courier has neither accepted nor held a higher one. Invalid
     * ones are counted. It forgets accepted tokens at a restart, and hears of the holder again within half a lease.
     */
    public boolean accepts(final int role, final long token) {
        final boolean counts = token >= roleStates.get(role).acceptor.fence();
        refusedActions += counts ? 0 : 1;
        return counts;
    }

    /** Gives up a role. Others may take it at once, this courier only after two lease times. */
    public void release(final ClockReading now, final int role, final Outbox out) {
        roleStates.get(role).proposer.release(now, false, out);
    }

    /** Gives up all roles for good, because this process is about to end. It still replies as an acceptor. */
    public void release(final ClockReading now, final Outbox out) {
        roleStates.forEach(state -> state.proposer.release(now, true, out));
    }

    /** Number of actions under an old token that {@link #accepts} refused. */
    public long refusedActions() {
        return refusedActions;
    }

    /** Number of ignored messages: unknown role, reply to another process, implausible round or too long a lease. */
    public long ignored() {
        return ignored;
    }
}
