package driftchute;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * All decisions of one courier; {@link Courier} is the interface. In short:
 * <ol>
 * <li>A message waits here until its destination may receive it. It has one attempt at a time and is ended exactly
 * once, before its deadline.
 * <li>Each destination (or each of its routes, where these are separate) is a {@link Route} with a window that bounds
 * its calls in flight.
 * <li>Once a second the paper's Table I moves the window according to latency and refusals ({@link #stepWindow}).
 * <li>Of the sendable messages, the one that loses most value by waiting goes first ({@link #urgency}), to the endpoint
 * with the least load, counting calls in flight, recent failures, handshakes and zone crossings ({@link
 * #chooseEndpoint}).
 * <li>A wait that an answer asks for holds for the whole route. After a refusal without a wait the route pauses by
 * itself.
 * <li>A route on which everything fails has an open circuit: it makes single probes, at a rate that a cold destination
 * can take. After the first success it is in slow start, paced below the overload rate until the destination is surely
 * warm.
 * <li>A message that cannot be delivered in time, or that has the least to gain when the store is full, is refused if
 * that is harmless.
 * <li>The list of endpoints is followed. Endpoints that drain, are gone or were disabled by the operators get no new
 * calls.
 * <li>Where couriers share state ({@link #onFleetView}), rate leases bound the send rate and verdicts override the
 * circuit state.
 * </ol>
 */
public final class DeliveryPolicy implements Courier {

    private static final long SECOND_US = 1_000_000;

    // The window (the paper's section V).
    /** Lower bound of a window, calls. At least one call is needed to notice a recovery. */
    private static final double MIN_WINDOW_CALLS = 1;
    /**
     * Initial window of a route, calls, so that one slow answer does not block it. In a large fleet each courier meets
     * a destination rarely and messages come in bursts, so it starts wider.
     */
    private static final double INITIAL_WINDOW_CALLS = 2, INITIAL_WINDOW_LARGE_FLEET_CALLS = 4;
    /** Maximum share of the call slots that one route may use while healthy and while unhealthy. */
    private static final double HEALTHY_SLOT_SHARE = 0.75, UNHEALTHY_SLOT_SHARE = 0.5;
    /** A latency or refusal input above this (nearer to High than to Medium) makes a route unhealthy for one step. */
    private static final double HIGH_INPUT = 0.75;
    /** Weight of the prior, in samples, in a step's mean latency: two or three answers say little. */
    private static final double LATENCY_PRIOR_SAMPLES = 2;
    /** Share of the window that must have been used for it to grow. Unused capacity proves nothing. */
    private static final double MIN_USED_SHARE_TO_GROW = 0.5;

    // Service times.
    /** Minimum weight of a new sample or step in a slow average, a memory of about ten samples. */
    private static final double MIN_SAMPLE_WEIGHT = 0.1;
    /** Service time of a class before the first sample, as a share of its target time, which was set to be met. */
    private static final double INITIAL_SERVICE_TIME_SHARE = 0.25;
    /**
     * Minimum pace of a route, relative to the usual service time, so that a very fast answer does not make the next
     * one look overdue.
     */
    private static final double MIN_PACE = 0.1;
    /**
     * A call is overdue after this many times its expected duration (one in 150 by chance), but not before the minimum,
     * us.
     */
    private static final double OVERDUE_FACTOR = 5;

    private static final long MIN_OVERDUE_US = SECOND_US;
    /** Multiple of the expected duration that a call must have left before shutdown. Chance cuts off one in seven. */
    private static final double CUT_OFF_FACTOR = 2;
    /** A time-out as a multiple of the expected duration, and its minimum, us. Wide enough for a long tail. */
    private static final double TIMEOUT_FACTOR = 8;

    private static final long MIN_TIMEOUT_US = 2 * SECOND_US;
    /** Factor on time-outs after a time-out: the destination may be slow rather than silent. */
    private static final double TIMEOUT_STRETCH = 3;

    // Refusals and outages.
    /** Minimum pause of a route after a refusal, us. Limits are counted over spans of about a second. */
    private static final long MIN_PAUSE_US = SECOND_US / 2;
    /**
     * After refusals the send rate is limited to the rate served times this factor, plus a margin per second, so that
     * freed capacity is noticed.
     */
    private static final double SEND_RATE_GROWTH = 1.2, SEND_RATE_MARGIN = 0.5;
    /**
     * Part of a limit's unused share that one courier takes, and the maximum in multiples of its even part, because all
     * couriers take from the same unused share.
     */
    private static final double UNUSED_LIMIT_SHARE = 0.25, MAX_EVEN_PARTS = 4;
    /**
     * A requested wait above this, us, does not come from a rate limit, whose spans are a second or two. It means that
     * the destination is closed.
     */
    private static final long MAX_RATE_LIMIT_WAIT_US = 5 * SECOND_US / 2;
    /**
     * Weights of a refusal and an error in the run of failures, where a failed call weighs 1. Overload also causes
     * refusals, and errors may be mixed with successes.
     */
    private static final double REFUSED_WEIGHT = 0.5, ERROR_WEIGHT = 0.4;
    /** A failure run of this weight without a success opens the circuit. */
    private static final double OUTAGE_WEIGHT = 3;
    /**
     * A failure run of this weight, with nothing served for a while before it, may be all that a courier sees of an
     * outage.
     */
    private static final double SUSPECT_WEIGHT = 1;

    private static final double OUTAGE_FAILURE_SHARE = 0.6;
    /** Weight of one call in the failure share, a memory of about eight calls. */
    private static final double FAILURE_SHARE_WEIGHT = 0.12;
    /**
     * Assumed limit where none is known, and the lowest service rate used to estimate queue times, messages per second.
     */
    private static final double DEFAULT_LIMIT = 1;

    private static final double MIN_SERVICE_RATE = 0.25;
    /** Load of each further message in a call on a cold destination, in calls. */
    private static final double EXTRA_MESSAGE_LOAD = 0.2;
    /** Time for which a failed endpoint is avoided, us. After that its consecutive failures count as load. */
    private static final long ENDPOINT_BACK_OFF_US = SECOND_US;
    /** Random share by which intervals are lengthened or shortened, so that couriers do not act in step. */
    private static final double JITTER_SHARE = 0.2;

    // Choice of message and endpoint.
    /** Load of a handshake and of a zone crossing in the choice of an endpoint, in calls in flight. */
    private static final double HANDSHAKE_LOAD = 0.8, CROSS_ZONE_LOAD = 0.6;
    /** Chance that a deferred message is still served when the queue is short. It is half of this in a long queue. */
    private static final double DEFERRED_SERVICE_CHANCE = 0.9;
    /**
     * Bounds of how far ahead queueing is considered, us: at least until the next call, at most until the value has
     * faded.
     */
    private static final long MIN_HORIZON_US = SECOND_US, MAX_HORIZON_US = 10 * SECOND_US;
    /**
     * Value share of a message beyond its tenant's quota, of which this courier sees only a part, and the burst that is
     * still within the quota by chance, messages.
     */
    private static final double OVER_QUOTA_VALUE_SHARE = 0.25;

    private static final double QUOTA_BURST_MESSAGES = 10;
    /**
     * Share of the store that is kept free by refusing the messages with least to gain. A full store refuses new
     * messages regardless of their value.
     */
    private static final double STORE_RESERVE_SHARE = 0.05;
    /**
     * A message ends this long before its deadline, us (two passes of the event loop); and the share of a key's window
     * that is left unused because clocks differ.
     */
    private static final long DEADLINE_MARGIN_US = 12_000;

    private static final double KEY_WINDOW_MARGIN_SHARE = 0.05;
    /** Growth per second of the idle time that connections are trusted with. It triples in a minute. */
    private static final double IDLE_TRUST_GROWTH = 1.02;
    /** A connection that fails after a shorter idle time, us, did not fail because it was idle. */
    private static final long MIN_IDLE_TRUST_US = SECOND_US;
    /** Up to this fleet size every courier meets all destinations often and may keep its idle connections. */
    private static final int SMALL_FLEET_COURIERS = 6;
    /** An idle connection is kept if its next use is expected within this many call durations. */
    private static final double REUSE_HORIZON_CALLS = 2;
    /** First and longest back-off between requests for the list, us. */
    private static final long MIN_LIST_BACK_OFF_US = SECOND_US / 2, MAX_LIST_BACK_OFF_US = 3 * SECOND_US;
    /** Interval at which a message held back by an endpoint or a key is examined again, us. */
    private static final long RECHECK_US = 20_000;
    /** A destination or route without an endpoint is forgotten this long after its last use, us. */
    private static final long FORGET_AFTER_US = 60 * SECOND_US;

    private static final long NEVER = Long.MAX_VALUE;

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final Map<Long, Destination> destinations = new LinkedHashMap<>();
    /** Destinations with messages. A decision looks at these only, however long the list is. */
    private final Map<Long, Destination> activeDestinations = new TreeMap<>();

    private final Map<Long, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<String, PendingMessage> pendingMessages = new LinkedHashMap<>();
    private final Map<String, KeyQueue> keyQueues = new LinkedHashMap<>();
    private final double[] classServiceTimeUs;
    private final int[] classSamples;
    private final long[] quotaMeterUs;
    /** Calls in flight of this process, calls that the predecessor process still has in flight, and messages held. */
    private int callsInFlight, predecessorCalls, openMessages;

    private double trustedIdleUs;
    private long nowUs, nextWindowStepUs, nextWakeUs, stopUs = NEVER, predecessorFreshUntilUs = NEVER;
    private boolean listRequested, listUnconfirmed;
    /** The shared state of the tier; null if couriers share nothing. */
    private FleetView fleetView;

    private long listRetryUs = NEVER, listBackOffUs = MIN_LIST_BACK_OFF_US;

    /**
     * Creates the decisions of a courier that knows only its settings. {@code seed} is the only source of randomness.
     */
    public DeliveryPolicy(final Settings settings, final long seed, final Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.classServiceTimeUs = settings.classes().stream()
                .mapToDouble(k -> INITIAL_SERVICE_TIME_SHARE * k.targetUs())
                .toArray();
        this.classSamples = new int[classServiceTimeUs.length];
        this.trustedIdleUs = settings.limits().idleTimeoutUs();
        this.quotaMeterUs = new long[settings.tenants().size()];
    }

    // ---------------------------------------------------------------- events

    @Override
    public void onMessage(final long now, final Message message) {
        nowUs = now;
        final PendingMessage pending =
                new PendingMessage(message, settings.classes().get(message.messageClass()));
        pendingMessages.put(message.id(), pending);
        openMessages++;
        pending.overQuota = isOverQuota(message.tenant());
        pending.destination = destinationFor(message.destination());
        pending.destination.waiting.add(pending);
        pending.destination.messageCount++;
        activeDestinations.put(message.destination(), pending.destination);
        if (pending.messageClass.ordered() && message.key() != null) {
            pending.keyQueue = keyQueues.computeIfAbsent(message.key(), key -> new KeyQueue());
            pending.keyQueue.messages.add(pending);
        }
    }

    @Override
    public void onResumed(final long now, final Message message, final MessageHistory history) {
        onMessage(now, message);
        final PendingMessage pending = pendingMessages.get(message.id());
        pending.attempts = history.attempts();
        pending.mayHaveExecuted = history.mayHaveExecuted();
        if (pending.mayHaveExecuted) {
            pending.firstExecutionUs = history.firstExecutionUs();
            pending.executionZone = history.executionZone();
            if (pending.keyQueue != null) {
                pending.keyQueue.restsUntilUs = nowUs + settings.guarantees().orderRestUs();
            }
        }
    }

    @Override
    public void onStopping(final long now, final long endUs) {
        nowUs = now;
        stopUs = endUs;
    }

    @Override
    public List<DestinationState> exportState() {
        final List<DestinationState> all = new ArrayList<>();
        destinations.forEach((id, destination) -> destination.routes.stream()
                .filter(route -> !route.kind.separateRoutes())
                .forEach(route -> all.add(stateOf(route))));
        return all;
    }

    @Override
    public List<EndpointRouteState> exportEndpointStates() {
        return endpoints.entrySet().stream()
                .filter(entry -> entry.getValue().route.kind.separateRoutes())
                .map(entry -> new EndpointRouteState(entry.getKey(), stateOf(entry.getValue().route)))
                .toList();
    }

    private static DestinationState stateOf(final Route route) {
        return new DestinationState(
                route.destinationId,
                route.calls.size(),
                route.circuit,
                route.waitUntilUs,
                route.pauseUntilUs,
                route.troubleSinceUs,
                route.slowStartSinceUs,
                route.slowStartIntervalUs,
                route.window,
                route.messageRate,
                route.callRate,
                route.reportedLimit,
                route.unusedShare,
                route.maxSendRate,
                route.pace);
    }

    @Override
    public void onPredecessorState(final long now, final DestinationState state) {
        nowUs = now;
        final Destination destination = destinations.get(state.destination());
        if (destination != null && !destination.routes.isEmpty()) {
            inherit(destination.routes.get(0), state);
        }
    }

    @Override
    public void onPredecessorEndpointState(final long now, final EndpointRouteState memory) {
        nowUs = now;
        final var endpoint = endpoints.get(memory.endpoint());
        if (endpoint != null && endpoint.route.kind.separateRoutes()) {
            inherit(endpoint.route, memory.state());
        }
    }

    private void inherit(final Route route, final DestinationState state) {
        predecessorCalls += state.callsInFlight() - route.predecessorCalls;
        route.predecessorCalls = state.callsInFlight();
        route.waitUntilUs = Math.max(route.waitUntilUs, state.waitUntilUs());
        route.pauseUntilUs = Math.max(route.pauseUntilUs, state.pauseUntilUs());
        if (route.lastServedUs == 0) {
            adoptState(route, state);
        }
    }

    /** Takes over the predecessor's state. Its knowledge of a route is better as long as nothing was served here. */
    private void adoptState(final Route route, final DestinationState state) {
        route.troubleSinceUs = Math.min(route.troubleSinceUs, state.troubleSinceUs());
        if (route.circuit != state.circuit()) {
            route.circuit = state.circuit();
            route.slowStartSinceUs = state.slowStartSinceUs();
            route.slowStartIntervalUs = state.slowStartIntervalUs();
            route.nextProbeUs = nextProbeUs(route);
        }
        if (route.lastSendUs == 0) {
            route.window = state.window();
            route.messageRate = state.messageRate();
            route.callRate = state.callRate();
            route.reportedLimit = state.limit();
            route.limitPerSecond = state.limit() > 0 ? state.limit() : route.limitPerSecond;
            route.unusedShare = state.unusedShare();
            route.maxSendRate = state.maxSendRate();
            route.pace = state.pace();
        }
    }

    @Override
    public void onPredecessorFresh(final long now, final long untilUs) {
        nowUs = now;
        predecessorFreshUntilUs = untilUs;
    }

    @Override
    public void onPredecessorGone(final long now) {
        nowUs = now;
        destinations.values().forEach(destination -> destination.routes.forEach(route -> route.predecessorCalls = 0));
        predecessorCalls = 0;
    }

    @Override
    public void onOutcome(final long now, final Outcome outcome) {
        nowUs = now;
        final PendingMessage pending = pendingMessages.get(outcome.messageId());
        if (pending == null || pending.call == null) {
            return;
        }
        final Call call = pending.call;
        final EndpointState endpoint = call.endpoint;
        pending.call = null;
        if (!outcome.result().neverExecuted()) {
            pending.mayHaveExecuted = true;
            pending.firstExecutionUs = Math.min(pending.firstExecutionUs, call.sentUs);
            pending.executionZone = endpoint.listed.zone();
            if (pending.keyQueue != null && !outcome.result().isAnswered()) {
                pending.keyQueue.restsUntilUs = nowUs + settings.guarantees().orderRestUs();
            }
        }
        if (--call.openMessages == 0) {
            callsInFlight--;
            endpoint.inFlight--;
            endpoint.route.calls.remove(call);
            endpoint.lastUseUs = nowUs;
            releaseIdleConnections(endpoint, call);
        }
        recordOutcome(endpoint, call, pending, outcome);
        if (outcome.isFinal() || pending.finished) {
            complete(pending);
        } else {
            pending.destination.waiting.add(pending);
        }
    }

    @Override
    public void onEndpointsDisabled(final long now, final Set<Long> disabled) {
        nowUs = now;
        for (final EndpointState endpoint : endpoints.values()) {
            final boolean enabledAgain = endpoint.disabled && !disabled.contains(endpoint.listed.id());
            endpoint.disabled = disabled.contains(endpoint.listed.id());
            if (enabledAgain) {
                enableEndpoint(endpoint);
            }
        }
    }

    /**
     * The endpoint was probably restarted while it was disabled, so it is cold, and so is a destination that has no
     * other endpoint.
     */
    private void enableEndpoint(final EndpointState endpoint) {
        endpoint.enabledUs = nowUs;
        Arrays.fill(endpoint.failureRun, 0);
        Arrays.fill(endpoint.avoidUntilUs, 0);
        final Route route = endpoint.route;
        final boolean onlyEndpoint =
                route.endpoints.stream().noneMatch(other -> other != endpoint && other.isAvailable());
        if (route.circuit == CircuitState.CLOSED && onlyEndpoint) {
            route.circuit = CircuitState.SLOW_START;
            route.slowStartSinceUs = nowUs;
            route.slowStartIntervalUs = callIntervalUs(route);
        }
    }

    @Override
    public void onFleetView(final long now, final FleetView view) {
        nowUs = now;
        fleetView = view;
        view.verdicts()
                .keySet()
                .forEach(id -> Optional.ofNullable(destinations.get(id))
                        .ifPresent(destination -> destination.routes.forEach(this::applyVerdict)));
    }

    /**
     * Applies the tier's verdict: an outage that is reported by others leads to probes here, and newer evidence of a
     * recovery ends an outage seen here.
     */
    private void applyVerdict(final Route route) {
        final Verdict verdict = currentVerdict(route);
        final TierHealth before = route.tierHealth;
        route.tierHealth = verdict == null ? TierHealth.HEALTHY : verdict.health();
        if (route.tierHealth == TierHealth.DOWN && before != TierHealth.DOWN && route.circuit != CircuitState.OPEN) {
            route.nextProbeUs = nextProbeUs(route);
        } else if (route.tierHealth == TierHealth.RECOVERED
                && Math.max(route.lastFailureUs, route.slowStartSinceUs) < verdict.sinceUs()) {
            beginSlowStart(route, verdict.sinceUs());
        }
    }

    /** The tier's verdict on the route's destination, or null if there is none or it has expired. */
    private Verdict currentVerdict(final Route route) {
        final Verdict verdict = fleetView == null || route.kind.separateRoutes()
                ? null
                : fleetView.verdicts().get(route.destinationId);
        return verdict != null && nowUs < verdict.expiresAtUs() ? verdict : null;
    }

    private boolean hasVerdict(final Route route, final TierHealth standing) {
        final Verdict verdict = currentVerdict(route);
        return verdict != null && verdict.health() == standing;
    }

    /** The worse of the state seen by this courier's own calls and the tier's verdict. */
    private CircuitState effectiveCircuit(final Route route) {
        return hasVerdict(route, TierHealth.DOWN) ? CircuitState.OPEN : route.circuit;
    }

    @Override
    public List<DestinationReport> reports(final long now) {
        final List<DestinationReport> all = new ArrayList<>();
        destinations.forEach((id, destination) -> destination.routes.stream()
                .filter(route -> !route.kind.separateRoutes()
                        && (destination.messageCount > 0
                                || route.circuit != CircuitState.CLOSED
                                || now - route.lastSendUs < FORGET_AFTER_US))
                .forEach(route -> all.add(new DestinationReport(
                        id,
                        knownLimit(route),
                        route.callRate,
                        (int) Math.ceil(1.0 * destination.waiting.size() / route.kind.messagesPerCall()),
                        route.circuit,
                        (int) Math.ceil(route.failureRun),
                        route.troubleSinceUs,
                        route.lastServedUs,
                        route.circuit == CircuitState.OPEN && route.waitUntilUs > now ? route.waitUntilUs : 0))));
        return all;
    }

    @Override
    public void onWithdrawn(final long now, final String messageId) {
        nowUs = now;
        Optional.ofNullable(pendingMessages.get(messageId)).ifPresent(this::complete);
    }

    @Override
    public void decide(final long now) {
        nowUs = now;
        nextWindowStepUs = nextWindowStepUs == 0 ? nowUs + SECOND_US : nextWindowStepUs;
        if (nowUs >= nextWindowStepUs) {
            destinations.values().forEach(d -> d.routes.forEach(this::stepWindow));
            trustedIdleUs = Math.min(settings.limits().idleTimeoutUs(), IDLE_TRUST_GROWTH * trustedIdleUs);
            forgetUnused();
            keyQueues.values().removeIf(queue -> queue.messages.isEmpty() && queue.restsUntilUs <= nowUs);
            nextWindowStepUs += SECOND_US * ((nowUs - nextWindowStepUs) / SECOND_US + 1);
        }
        requestList();
        checkRoutesAndDeadlines();
        dispatch();
        reclaimSlot();
        makeRoom();
        scheduleWake();
    }

    // ---------------------------------------------------------------- dispatch

    /**
     * Sends the most urgent messages first, until no slot is free or no message is sendable. Nothing is sent on an
     * unconfirmed list.
     */
    private void dispatch() {
        while (!listUnconfirmed
                && callsInFlight + predecessorCalls < settings.limits().slots()) {
            final PendingMessage best = mostUrgent(true);
            if (best == null) {
                return;
            }
            send(best, best.route);
        }
    }

    /**
     * The most urgent message that windows and pauses allow to be sent, or null. {@code probes}: include routes with an
     * open circuit or in slow start.
     */
    private PendingMessage mostUrgent(final boolean probes) {
        PendingMessage best = null;
        for (final Destination destination : activeDestinations.values()) {
            for (final Route route : destination.routes) {
                final boolean open =
                        sendableAtUs(route) <= nowUs && (probes || effectiveCircuit(route) == CircuitState.CLOSED);
                final PendingMessage pending = open ? mostUrgentFor(destination, route, null) : null;
                best = pending != null && (best == null || pending.urgency > best.urgency) ? pending : best;
            }
        }
        return best;
    }

    /** When waits, pauses and rates allow the next call of a route; never while its window is full. */
    private long sendableAtUs(final Route route) {
        final long inFlight = route.predecessorCalls
                + route.calls.stream()
                        .filter(call -> !call.unsafe || nowUs < call.overdueUs())
                        .count();
        if (inFlight >= maxCallsInFlight(route) || route.predecessorCalls + route.calls.size() >= maxSlots(route)) {
            return NEVER;
        }
        if (route.predecessorCalls > 0 && nowUs > predecessorFreshUntilUs) {
            return nowUs + RECHECK_US;
        }
        final double rate = allowedRate(route);
        final long leasedAtUs = route.lastSendUs + (long) (fleetView == null ? 0 : SECOND_US / rate);
        final long pacedAtUs =
                switch (effectiveCircuit(route)) {
                    case CLOSED -> route.lastSendUs + (long) (SECOND_US / Math.min(rate, route.maxSendRate));
                    case OPEN -> inFlight == 0 ? probeAllowedAtUs(route) : NEVER;
                    case SLOW_START ->
                        route.lastSendUs
                                + (long) (route.slowStartIntervalUs
                                        * route.lastCallLoad
                                        / overloadShare(nowUs - route.slowStartSinceUs));
                };
        return Math.max(Math.max(pacedAtUs, leasedAtUs), Math.max(route.waitUntilUs, route.pauseUntilUs));
    }

    /**
     * When a route with an open circuit may be probed: by the tier's permit or, if nobody assigns permits, by its own
     * schedule.
     */
    private long probeAllowedAtUs(final Route route) {
        final long untilUs =
                hasVerdict(route, TierHealth.DOWN) ? currentVerdict(route).probeUntilUs() : NEVER;
        return untilUs == NEVER ? route.nextProbeUs : untilUs > Math.max(nowUs, route.usedPermitUs) ? nowUs : NEVER;
    }

    /**
     * Calls per second that a route may make under its destination's limit. With a reported limit this is the courier's
     * even part or, if others leave capacity unused, its present rate plus a quarter of the unused share. Without a
     * report it is the whole of an exact weight.
     */
    private double allowedRate(final Route route) {
        if (fleetView != null && knownLimit(route) > 0) {
            final RateLease lease =
                    route.kind.separateRoutes() ? null : fleetView.rateLeases().get(route.destinationId);
            final double evenPart = fleetView.reservedShare() * knownLimit(route) / settings.couriers();
            return lease == null || nowUs >= lease.expiresAtUs()
                    ? evenPart
                    : Math.min(lease.callsPerSecond(), knownLimit(route));
        }
        if (route.reportedLimit > 0) {
            return Math.max(
                    route.reportedLimit / settings.couriers(),
                    route.callRate
                            + Math.min(UNUSED_LIMIT_SHARE, MAX_EVEN_PARTS / settings.couriers())
                                    * route.unusedShare
                                    * route.reportedLimit);
        }
        return settings.limitHint() == LimitHint.EXACT && route.limitPerSecond > 0
                ? route.limitPerSecond
                : Double.POSITIVE_INFINITY;
    }

    /** The known limit of a route, from answers or an exact weight, calls per second; 0 if none. */
    private double knownLimit(final Route route) {
        return route.reportedLimit > 0 || settings.limitHint() != LimitHint.EXACT
                ? route.reportedLimit
                : route.limitPerSecond;
    }

    /**
     * Calls that a route may have in flight: its window, within its share of the slots. An overdue call of an unsafe
     * message has no time-out but the message's deadline. It holds a slot and counts against the share but not against
     * the window: the destination may have recovered, or only the connection may be dead, and a window full of such
     * calls would never find out.
     */
    private int maxCallsInFlight(final Route route) {
        final double window = isSuspect(route)
                ? MIN_WINDOW_CALLS
                : hasVerdict(route, TierHealth.SUSPECTED) ? route.window / 2 : route.window;
        return (int) Math.max(1, Math.floor(Math.min(window, maxSlots(route))));
    }

    private int maxSlots(final Route route) {
        final double share = effectiveCircuit(route) == CircuitState.CLOSED && !route.unhealthy
                ? HEALTHY_SLOT_SHARE
                : UNHEALTHY_SLOT_SHARE;
        return (int) Math.max(1, Math.floor(share * settings.limits().slots()));
    }

    /**
     * The most urgent message for a route, or to be added to {@code call}. Probes use the messages first that lose
     * least if they fail.
     */
    private PendingMessage mostUrgentFor(final Destination destination, final Route route, final Call call) {
        PendingMessage best = null;
        int bestRisk = 0;
        double bestUrgency = 0;
        final long queueTimeUs = destination.queueTimeUs();
        for (final PendingMessage pending : destination.waiting) {
            if (!isNextOfKey(pending)
                    || !endsBeforeStop(route, pending)
                    || call == null && chooseEndpoint(route, pending) == null
                    || call != null && !canJoin(pending, call)) {
                continue;
            }
            final double urgency = urgency(route, pending, queueTimeUs);
            final int risk = effectiveCircuit(route) != CircuitState.OPEN || pending.mayHaveExecuted
                    ? 0
                    : 1 + pending.messageClass.effect().ordinal();
            if (best == null || risk < bestRisk || risk == bestRisk && urgency > bestUrgency) {
                best = pending;
                bestRisk = risk;
                bestUrgency = urgency;
                pending.route = route;
                // If the store is over half full, some messages will not be served: slots go where they serve the most
                // messages.
                pending.urgency = urgency
                        / (2 * openMessages > settings.limits().maxOpenMessages() ? expectedUs(route, pending) : 1);
            }
        }
        return best;
    }

    /** The value that a message loses by waiting for as long as its destination's queue takes. */
    private double urgency(final Route route, final PendingMessage pending, final long queueTimeUs) {
        final long horizonUs = (long) clamp(queueTimeUs, MIN_HORIZON_US, MAX_HORIZON_US);
        final long doneUs = nowUs + (long) expectedUs(route, pending);
        final double deferredChance = DEFERRED_SERVICE_CHANCE / (1 + (double) horizonUs / MAX_HORIZON_US);
        return valueAt(pending, doneUs) - deferredChance * valueAt(pending, doneUs + horizonUs);
    }

    /** The value of a message delivered at a given time. The end of a key's window has the effect of a deadline. */
    private double valueAt(final PendingMessage pending, final long atUs) {
        final MessageClass messageClass = pending.messageClass;
        if (atUs >= pending.sendableUntilUs()) {
            return 0;
        }
        final double full = messageClass.value() * (pending.overQuota ? OVER_QUOTA_VALUE_SHARE : 1);
        final long lateUs = Math.max(0, atUs - pending.targetUs);
        return full
                * (settings.valueDecay() == ValueDecay.HALVING
                        ? Math.max(
                                messageClass.lateValue(),
                                Math.pow(0.5, (double) lateUs / Math.max(1, messageClass.targetUs())))
                        : 1
                                - (1 - messageClass.lateValue())
                                        * lateUs
                                        / Math.max(1, messageClass.deadlineUs() - messageClass.targetUs()));
    }

    /** The best endpoint of a route for a message now, or null. */
    private EndpointState chooseEndpoint(final Route route, final PendingMessage pending) {
        EndpointState best = null;
        double bestLoad = 0;
        final int classIndex = pending.message.messageClass();
        for (final EndpointState endpoint : route.endpoints) {
            if (!endpoint.isAvailable()
                    || !zoneAllows(pending, endpoint)
                    || effectiveCircuit(route) == CircuitState.CLOSED && nowUs < endpoint.avoidUntilUs[classIndex]) {
                continue;
            }
            final boolean handshake = endpoint.inFlight
                            >= endpoint.connections * settings.limits().callsPerConnection()
                    || endpoint.inFlight == 0
                            && nowUs - endpoint.lastUseUs >= settings.limits().idleTimeoutUs();
            final boolean crossesZone = !endpoint.listed.zone().equals(settings.zone());
            final double endpointLoad = endpoint.inFlight
                    + endpoint.failureRun[classIndex]
                    + (handshake ? HANDSHAKE_LOAD : 0)
                    + (crossesZone ? CROSS_ZONE_LOAD : 0);
            // An endpoint that was enabled again is cold: a call weighs the more there, the less capacity it has.
            final double load = effectiveCircuit(route) == CircuitState.OPEN
                    ? endpoint.lastSendUs
                    : (1 + endpointLoad) / capacityShare(nowUs - endpoint.enabledUs);
            if (best == null || load < bestLoad) {
                best = endpoint;
                bestLoad = load;
            }
        }
        return best;
    }

    /**
     * A call ends at the earliest deadline of its messages, so a message joins only if it is unlikely to cut off the
     * others.
     */
    private boolean canJoin(final PendingMessage pending, final Call call) {
        return zoneAllows(pending, call.endpoint)
                && call.unsafe == (pending.messageClass.effect() == Effect.UNSAFE)
                && Math.min(call.validUntilUs, pending.message.validUntilUs())
                        >= nowUs
                                + cutOffFactor(pending)
                                        * Math.max(call.expectedUs, expectedUs(call.endpoint.route, pending));
    }

    /** Multiple of the expected duration that must be left for a call that will be cut off at a known time. */
    private static double cutOffFactor(final PendingMessage pending) {
        return pending.messageClass.effect() == Effect.UNSAFE ? OVERDUE_FACTOR : CUT_OFF_FACTOR;
    }

    /** False if an earlier attempt may have taken effect and this endpoint would not recognise the repeat. */
    private static boolean zoneAllows(final PendingMessage pending, final EndpointState endpoint) {
        return !pending.mayHaveExecuted
                || !pending.messageClass.zoneKeyed()
                || endpoint.listed.zone().equals(pending.executionZone);
    }

    /**
     * The ordering rule: the first message of a key goes first, and only after the rest that follows an attempt without
     * an answer.
     */
    private boolean isNextOfKey(final PendingMessage pending) {
        return pending.keyQueue == null
                || pending.keyQueue.messages.get(0) == pending
                        && (pending.mayHaveExecuted || pending.keyQueue.restsUntilUs <= nowUs);
    }

    /** False for a call that the end of this process would probably cut off. The next process may send it. */
    private boolean endsBeforeStop(final Route route, final PendingMessage pending) {
        return stopUs == NEVER || nowUs + cutOffFactor(pending) * expectedUs(route, pending) < stopUs;
    }

    /** Sends a message and, where calls are shared, the waiting messages that fit into the same call. */
    private void send(final PendingMessage first, final Route route) {
        final EndpointState endpoint = chooseEndpoint(route, first);
        final Call call = new Call();
        call.endpoint = endpoint;
        call.sentUs = nowUs;
        callsInFlight++;
        route.calls.add(call);
        route.peakInFlight = Math.max(route.peakInFlight, route.calls.size());
        if (first.messageClass.effect() == Effect.UNSAFE && nowUs < endpoint.distrustUntilUs) {
            endpoint.connections = endpoint.inFlight;
            actions.closeIdleConnections(endpoint.listed.id());
        } else if (endpoint.inFlight == 0) {
            closeUntrustedConnections(call, endpoint, first);
        }
        endpoint.inFlight++;
        final int callsPerConnection = settings.limits().callsPerConnection();
        call.reusesConnection = endpoint.connections * callsPerConnection >= endpoint.inFlight;
        endpoint.connections =
                Math.max(endpoint.connections, (endpoint.inFlight + callsPerConnection - 1) / callsPerConnection);
        endpoint.lastSendUs = route.lastSendUs = nowUs;
        final boolean isProbe = effectiveCircuit(route) == CircuitState.OPEN;
        if (isProbe) {
            route.nextProbeUs = nextProbeUs(route);
            route.usedPermitUs =
                    hasVerdict(route, TierHealth.DOWN) ? currentVerdict(route).probeUntilUs() : 0;
        }
        PendingMessage pending = first;
        while (pending != null) {
            call.openMessages++;
            call.unsafe = pending.messageClass.effect() == Effect.UNSAFE;
            call.expectedUs = Math.max(call.expectedUs, (long) expectedUs(route, pending));
            call.validUntilUs = Math.min(call.validUntilUs, pending.message.validUntilUs());
            pending.call = call;
            pending.attempts++;
            pending.destination.waiting.remove(pending);
            actions.send(pending.message.id(), endpoint.listed.id(), timeoutUs(route, pending));
            final boolean full = isProbe || call.openMessages >= route.kind.messagesPerCall();
            pending = full ? null : mostUrgentFor(pending.destination, route, call);
        }
        call.messageCount = call.openMessages;
        route.lastCallLoad = 1 + EXTRA_MESSAGE_LOAD * (call.messageCount - 1);
    }

    /**
     * Idle connections may be dead without any sign, anywhere on their path. When a call over one fails on a healthy
     * route, no connection that was idle half as long (a quarter for unsafe messages) is used for a while. This costs
     * handshakes.
     */
    private void closeUntrustedConnections(
            final Call call, final EndpointState endpoint, final PendingMessage pending) {
        final long idleUs = nowUs - endpoint.lastUseUs;
        if (endpoint.connections > 0
                && idleUs >= trustedIdleUs / (pending.messageClass.effect() == Effect.UNSAFE ? 2 : 1)) {
            endpoint.connections = 0;
            actions.closeIdleConnections(endpoint.listed.id());
        } else if (endpoint.connections > 0) {
            call.idleUs = idleUs;
        }
    }

    /**
     * In a large fleet an idle connection takes the place of another courier's, so it is closed unless its next use is
     * near. This prevents refused connections at healthy endpoints and costs one handshake per call.
     */
    private void releaseIdleConnections(final EndpointState endpoint, final Call call) {
        final double expectedUses = endpoint.route.callRate * REUSE_HORIZON_CALLS * call.expectedUs / SECOND_US;
        if (settings.couriers() > SMALL_FLEET_COURIERS && expectedUses < endpoint.route.endpoints.size()) {
            endpoint.connections = 0;
            actions.closeIdleConnections(endpoint.listed.id());
        }
    }

    // ---------------------------------------------------------------- fuzzy window step

    /** Moves a route's window according to Table I. */
    private void stepWindow(final Route route) {
        final double failed = route.failedCalls + countOverdue(route);
        final double observed = route.servedCalls + route.errorCalls + failed;
        if (route.circuit == CircuitState.CLOSED) {
            final double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++route.rateSamples);
            route.messageRate += weight * (route.delivered - route.messageRate);
            route.callRate += weight * (route.servedCalls - route.callRate);
        }
        if (observed > 0) {
            double latency = 0;
            if (route.delivered > 0) {
                final double mean = route.latencyRatioSum / route.delivered;
                final double confidence = route.delivered / (route.delivered + LATENCY_PRIOR_SAMPLES);
                latency = clamp(confidence * (mean / route.averageLatencyRatio - 1), 0, 1);
                route.averageLatencyRatio += MIN_SAMPLE_WEIGHT * confidence * (mean - route.averageLatencyRatio);
            }
            double refusal = failed / observed;
            if (route.lastReport != null && route.lastReport.callsPerSecond() > 0) {
                refusal = Math.max(refusal, 1 - route.lastReport.unusedShare());
            }
            final double change = Math.max(failed == 0 ? 0 : -1, windowChange(latency, clamp(refusal, 0, 1)));
            if (change < 0 || route.peakInFlight >= MIN_USED_SHARE_TO_GROW * Math.floor(route.window)) {
                route.window = clamp(
                        route.window * (1 + change),
                        MIN_WINDOW_CALLS,
                        Math.max(
                                1,
                                Math.floor(
                                        HEALTHY_SLOT_SHARE * settings.limits().slots())));
            }
            route.unhealthy = latency > HIGH_INPUT || refusal > HIGH_INPUT;
        }
        final double reducedRate = SEND_RATE_MARGIN + SEND_RATE_GROWTH * Math.max(route.servedCalls, route.callRate);
        route.maxSendRate = route.refused > 0 ? reducedRate : SEND_RATE_GROWTH * route.maxSendRate;
        route.peakInFlight = route.calls.size();
        route.latencyRatioSum = route.refused = route.delivered = 0;
        route.servedCalls = route.failedCalls = route.errorCalls = 0;
        route.lastReport = null;
    }

    /** Change of the window for each output set of Table I. */
    private static final double[] WINDOW_CHANGES = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

    private static final int[][] RULE_TABLE = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

    /**
     * The paper's Mamdani controller: triangular membership functions, minimum for AND, maximum over the rules of one
     * output, and centre-average defuzzification. Both inputs are from 0 to 1.
     */
    static double windowChange(final double latency, final double refusal) {
        final double[] union = new double[WINDOW_CHANGES.length];
        for (int row = 0; row < RULE_TABLE.length; row++) {
            for (int column = 0; column < RULE_TABLE.length; column++) {
                final double both = Math.min(membership(row, latency), membership(column, refusal));
                union[RULE_TABLE[row][column]] = Math.max(union[RULE_TABLE[row][column]], both);
            }
        }
        double sum = 0;
        double weights = 0;
        for (int output = 0; output < WINDOW_CHANGES.length; output++) {
            sum += WINDOW_CHANGES[output] * union[output];
            weights += union[output];
        }
        return sum / weights;
    }

    /** Degree to which an input is Low (0), Medium (1) or High (2): triangles with peaks at 0, 0.5 and 1. */
    private static double membership(final int set, final double input) {
        return Math.max(0, 1 - Math.abs(2 * input - set));
    }

    // ---------------------------------------------------------------- health and recovery

    /**
     * Records an outcome: service times, the inputs of the window step, waits, and the health of endpoint and route.
     * Figures in calls count a message as its part of the call, so that five messages refused together are one refusal.
     */
    private void recordOutcome(
            final EndpointState endpoint, final Call call, final PendingMessage pending, final Outcome outcome) {
        final Route route = endpoint.route;
        if (outcome.reportedLimit() != null) {
            route.lastReport = outcome.reportedLimit();
            route.limitPerSecond = route.reportedLimit = route.lastReport.callsPerSecond();
            route.unusedShare = route.lastReport.unusedShare();
        }
        final int classIndex = pending.message.messageClass();
        final double callShare = 1.0 / call.messageCount;
        final boolean firstFailure = route.troubleSinceUs == NEVER;
        route.troubleSinceUs = Math.min(route.troubleSinceUs, nowUs);
        // Any answer may ask for a wait, also one that delivers some of the call's messages.
        route.waitUntilUs = Math.max(route.waitUntilUs, nowUs + outcome.waitUs());
        switch (outcome.result()) {
            case DELIVERED -> {
                if (effectiveCircuit(route) == CircuitState.OPEN
                        || route.circuit == CircuitState.CLOSED
                                && isSuspect(route)
                                && nowUs - route.troubleSinceUs >= ENDPOINT_BACK_OFF_US) {
                    beginSlowStart(route, nowUs);
                }
                learnServiceTime(route, pending, outcome.durationUs());
                route.delivered++;
                route.servedCalls += callShare;
                endpoint.lastServedUs = route.lastServedUs = nowUs;
                endpoint.failureRun[classIndex] = 0;
                endpoint.avoidUntilUs[classIndex] = 0;
                route.failureRun = 0;
                route.timeoutStretch = Math.max(1, route.timeoutStretch - TIMEOUT_STRETCH * MIN_SAMPLE_WEIGHT);
                route.failureShare -= callShare * FAILURE_SHARE_WEIGHT * route.failureShare;
                route.troubleSinceUs = NEVER;
            }
            case REFUSED -> {
                route.failedCalls += callShare;
                route.refused++;
                final long fromUs = Math.max(nowUs, route.waitUntilUs);
                final long intervalUs = retryIntervalUs(route, fromUs);
                final boolean waitRequested = outcome.waitUs() > 0;
                route.pauseUntilUs =
                        fromUs + (waitRequested ? (long) (random.nextDouble() * intervalUs) : withJitter(intervalUs));
                if (settings.couriers() > SMALL_FLEET_COURIERS) {
                    // Couriers with the same interval that were refused together would return together, again and
                    // again.
                    route.pauseUntilUs = Math.max(
                            route.pauseUntilUs,
                            route.lastSendUs + (long) (SECOND_US * (1 + random.nextDouble()) / allowedRate(route)));
                }
                addFailure(
                        route, outcome.waitUs() > MAX_RATE_LIMIT_WAIT_US ? OUTAGE_WEIGHT : callShare * REFUSED_WEIGHT);
            }
            case ERROR -> {
                route.errorCalls += callShare;
                route.failureShare += callShare * FAILURE_SHARE_WEIGHT * (1 - route.failureShare);
                addFailure(route, callShare * ERROR_WEIGHT);
            }
            case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED -> {
                call.hitDeadConnection |= !endpoint.disabled
                        && call.reusesConnection
                        && outcome.result() == Result.RESET
                        && endpoint.failureRun[classIndex] == 0;
                if (endpoint.disabled || call.hitDeadConnection) {
                    // The endpoint was disabled for a restart, or a kept connection was dead: this says nothing about
                    // the route.
                    route.troubleSinceUs = firstFailure ? NEVER : route.troubleSinceUs;
                    endpoint.connections = 0;
                    if (call.hitDeadConnection) {
                        endpoint.failureRun[classIndex] += callShare;
                        endpoint.distrustUntilUs = nowUs + settings.limits().idleTimeoutUs();
                        actions.closeIdleConnections(endpoint.listed.id());
                    }
                    return;
                }
                route.failedCalls += callShare;
                if (outcome.result() == Result.TIMED_OUT || outcome.result() == Result.CANCELLED) {
                    route.timeoutStretch = TIMEOUT_STRETCH;
                }
                if (firstFailure
                        && call.idleUs >= MIN_IDLE_TRUST_US
                        && !call.cancelled
                        && outcome.result() != Result.NO_CONNECTION) {
                    trustedIdleUs = Math.max(MIN_IDLE_TRUST_US, Math.min(trustedIdleUs, call.idleUs / 2));
                }
                endpoint.failureRun[classIndex] += callShare;
                if (endpoint.lastServedUs < call.sentUs) {
                    Arrays.fill(endpoint.avoidUntilUs, nowUs + withJitter(ENDPOINT_BACK_OFF_US));
                }
                endpoint.avoidUntilUs[classIndex] = nowUs + withJitter(ENDPOINT_BACK_OFF_US);
                endpoint.connections -= call.openMessages == 0 ? Math.min(1, endpoint.connections) : 0;
                if (outcome.result() != Result.NO_CONNECTION || endpoint.lastServedUs <= call.sentUs) {
                    route.failureShare += callShare * FAILURE_SHARE_WEIGHT * (1 - route.failureShare);
                    addFailure(route, callShare);
                }
            }
            case NOT_SENT -> route.troubleSinceUs = firstFailure ? NEVER : route.troubleSinceUs;
        }
    }

    /**
     * True if a route's trouble did not follow directly after a success and nothing was served since. In a large fleet
     * one courier sees no more than this of an outage, and all of them together can overload a cold destination.
     */
    private boolean isSuspect(final Route route) {
        return settings.couriers() > SMALL_FLEET_COURIERS
                && route.failureRun >= SUSPECT_WEIGHT
                && route.troubleSinceUs - route.lastServedUs >= MIN_PAUSE_US;
    }

    /** The route's destination has recovered at {@code sinceUs}, and is cold. */
    private void beginSlowStart(final Route route, final long sinceUs) {
        route.circuit = CircuitState.SLOW_START;
        route.slowStartSinceUs = sinceUs;
        route.slowStartIntervalUs = retryIntervalUs(route, nowUs);
        route.failureShare = route.failureRun = 0;
        route.troubleSinceUs = NEVER;
    }

    /** Adds to the route's run of failures. A long run or a high share of failures opens the circuit. */
    private void addFailure(final Route route, final double weight) {
        route.failureRun += weight;
        route.lastFailureUs = weight > 0 ? nowUs : route.lastFailureUs;
        // Calls in flight together are refused together: a run of refusals directly after a success is overload, not an
        // outage.
        final boolean longRun =
                route.failureRun + countSilent(route) >= OUTAGE_WEIGHT && nowUs - route.lastServedUs >= MIN_PAUSE_US;
        final boolean outage = longRun || route.failureShare > OUTAGE_FAILURE_SHARE;
        if (outage && route.circuit != CircuitState.OPEN) {
            route.circuit = CircuitState.OPEN;
            route.window = MIN_WINDOW_CALLS;
            route.troubleSinceUs = Math.min(route.troubleSinceUs, nowUs);
            route.nextProbeUs = nextProbeUs(route);
        }
    }

    /** Number of calls that are overdue without any success on their endpoint since they were sent. */
    private int countOverdue(final Route route) {
        int count = 0;
        for (final Call call : route.calls) {
            if (nowUs >= call.overdueUs() && call.endpoint.lastServedUs < call.sentUs) {
                Arrays.fill(call.endpoint.avoidUntilUs, nowUs + ENDPOINT_BACK_OFF_US);
                count++;
            }
        }
        return count;
    }

    /**
     * Number of overdue calls that indicate an outage of the whole route: it has served nothing since half of the time
     * to overdue had passed.
     */
    private long countSilent(final Route route) {
        return countOverdue(route) == 0
                ? 0
                : route.calls.stream()
                        .filter(call -> nowUs >= call.overdueUs()
                                && route.lastServedUs < call.sentUs + (call.overdueUs() - call.sentUs) / 2)
                        .count();
    }

    /**
     * Keeps overdue calls from using up the slots. If all slots are taken and another route could use one, the call
     * that is overdue longest is cancelled. This covers destinations that hang, stall or are very slow; it hurts where
     * the call would still have been answered.
     */
    private void reclaimSlot() {
        if (callsInFlight < settings.limits().slots() || !settings.limits().canCancel()) {
            return;
        }
        final PendingMessage longestOverdue = pendingMessages.values().stream()
                .filter(pending -> pending.call != null && !pending.call.cancelled && nowUs >= pending.call.overdueUs())
                .min(Comparator.comparingLong(pending -> pending.call.sentUs))
                .orElse(null);
        if (longestOverdue != null && mostUrgent(false) != null) {
            longestOverdue.call.cancelled = true;
            pendingMessages.values().stream()
                    .filter(pending -> pending.call == longestOverdue.call)
                    .forEach(pending -> actions.cancel(pending.message.id(), pending.attempts - 1));
        }
    }

    /**
     * A route in trouble is tried again after as long as the trouble has lasted, but at least as often as its messages
     * come (or as this courier's even part of the limit allows). All couriers together then never come more often than
     * messages do. A message whose wait outlasts the trouble is delayed by this.
     */
    private long retryIntervalUs(final Route route, final long atUs) {
        return (long) Math.min(Math.max(MIN_PAUSE_US, atUs - route.troubleSinceUs), callIntervalUs(route));
    }

    /** Interval between this courier's calls on a route, or between calls at its even part of the limit, us. */
    private double callIntervalUs(final Route route) {
        final double limit = route.limitPerSecond > 0 ? route.limitPerSecond : DEFAULT_LIMIT;
        return SECOND_US / Math.max(route.callRate, limit / settings.couriers());
    }

    /**
     * The next probe of a route with an open circuit. Its rate is the share of capacity that overloads a cold
     * destination, divided by the outage's age, so that the probes of all couriers together stay near that share of the
     * messages, whatever the fleet's size.
     */
    private long nextProbeUs(final Route route) {
        final long fromUs = Math.max(nowUs, route.waitUntilUs);
        final long outageSinceUs = Math.min(
                route.troubleSinceUs,
                hasVerdict(route, TierHealth.DOWN) ? currentVerdict(route).sinceUs() : NEVER);
        final double ageUs = Math.max(MIN_PAUSE_US, fromUs - outageSinceUs);
        final double intervalUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / overloadShare(0)) - 1);
        return fromUs + (long) Math.min(intervalUs, withJitter((long) (callIntervalUs(route) / overloadShare(0))));
    }

    /** The rate that overloads a destination this long into its warm-up, as a share of its full capacity. */
    private double overloadShare(final long warmingUs) {
        return settings.guarantees().overloadMultiple() * capacityShare(warmingUs);
    }

    /** Least share of its full capacity that a destination has this long into its warm-up. */
    private double capacityShare(final long warmingUs) {
        final double coldShare = settings.guarantees().coldCapacityShare();
        final double progress =
                (double) warmingUs / Math.max(1, settings.guarantees().warmUpUs());
        return coldShare + (1 - coldShare) * clamp(progress, 0, 1);
    }

    private void learnServiceTime(final Route route, final PendingMessage pending, final long durationUs) {
        final int classIndex = pending.message.messageClass();
        final double ratio = durationUs / Math.max(1, classServiceTimeUs[classIndex]);
        route.latencyRatioSum += ratio;
        final double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++classSamples[classIndex]);
        classServiceTimeUs[classIndex] +=
                weight * (durationUs / Math.max(MIN_PACE, route.pace) - classServiceTimeUs[classIndex]);
        route.pace += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (1 + ++route.paceSamples)) * (ratio - route.pace);
    }

    private double expectedUs(final Route route, final PendingMessage pending) {
        return classServiceTimeUs[pending.message.messageClass()] * Math.max(MIN_PACE, route.pace);
    }

    private long withJitter(final long us) {
        return (long) (us * (1 - JITTER_SHARE + 2 * JITTER_SHARE * random.nextDouble()));
    }

    private static double clamp(final double value, final double min, final double max) {
        return Math.max(min, Math.min(max, value));
    }

    // ---------------------------------------------------------------- deadlines and retries

    /** Time-out of an attempt, us. */
    private long timeoutUs(final Route route, final PendingMessage pending) {
        final double expectedUs = expectedUs(route, pending);
        final long leftUs = pending.message.validUntilUs() - nowUs;
        long timeoutUs = (long) Math.max(MIN_TIMEOUT_US, TIMEOUT_FACTOR * route.timeoutStretch * expectedUs);
        if (pending.messageClass.effect() == Effect.UNSAFE) {
            return leftUs;
        }
        if (pending.messageClass.effect() == Effect.KEYED && !pending.mayHaveExecuted) {
            final long retryableUs =
                    (long) ((1 - KEY_WINDOW_MARGIN_SHARE) * pending.messageClass.keyWindowUs()) - MIN_OVERDUE_US / 2;
            timeoutUs = retryableUs < MIN_OVERDUE_US ? timeoutUs : Math.min(timeoutUs, retryableUs);
        }
        return leftUs - timeoutUs < expectedUs ? leftUs : timeoutUs;
    }

    /**
     * Opens circuits on silence, ends slow starts, and ends messages that may not be sent again or have no time left.
     */
    private void checkRoutesAndDeadlines() {
        for (final Destination destination : List.copyOf(activeDestinations.values())) {
            for (final Route route : destination.routes) {
                addFailure(route, 0);
                if (route.circuit == CircuitState.SLOW_START
                        && nowUs - route.slowStartSinceUs
                                > settings.guarantees().warmUpUs()) {
                    route.circuit = CircuitState.CLOSED;
                }
            }
            for (final PendingMessage pending : List.copyOf(destination.waiting)) {
                if (nowUs >= expiryUs(pending) || !canAttempt(pending)) {
                    // The client should come back when the present queue is served, not sooner.
                    giveUp(pending, Math.max(MIN_PAUSE_US, destination.queueTimeUs()));
                }
            }
        }
    }

    /** When a waiting message is ended: at its deadline or at the end of its key's window. */
    private long expiryUs(final PendingMessage pending) {
        return Math.min(pending.message.validUntilUs() - DEADLINE_MARGIN_US, pending.sendableUntilUs());
    }

    /** True if the message's effect and the maximum number of attempts allow another attempt. */
    private boolean canAttempt(final PendingMessage pending) {
        final Effect effect = pending.messageClass.effect();
        return pending.attempts < settings.limits().maxAttempts()
                && (!pending.mayHaveExecuted
                        || effect == Effect.SAFE
                        || effect == Effect.KEYED && nowUs < pending.sendableUntilUs());
    }

    private static boolean canRefuse(final PendingMessage pending) {
        return !pending.mayHaveExecuted
                || pending.messageClass.effect() == Effect.SAFE
                || pending.messageClass.effect() == Effect.KEYED && !pending.messageClass.zoneKeyed();
    }

    /** Gives the final answer: a refusal if that is harmless, else a failure. */
    private void giveUp(final PendingMessage pending, final long retryAfterUs) {
        if (canRefuse(pending)) {
            actions.refuse(
                    pending.message.id(),
                    Math.min(retryAfterUs, settings.limits().maxRetryAfterUs()));
        } else {
            actions.fail(pending.message.id());
        }
        complete(pending);
    }

    private void complete(final PendingMessage pending) {
        openMessages -= pending.finished ? 0 : 1;
        pending.finished = true;
        pending.destination.waiting.remove(pending);
        if (pending.call == null) {
            if (pending.keyQueue != null) {
                pending.keyQueue.messages.remove(pending);
            }
            pendingMessages.remove(pending.message.id());
            if (--pending.destination.messageCount == 0) {
                activeDestinations.remove(pending.message.destination());
            }
        }
    }

    /** Refuses the messages with least to gain, relative to their class's value, before the store is full. */
    private void makeRoom() {
        final int reserve =
                (int) Math.max(1, STORE_RESERVE_SHARE * settings.limits().maxOpenMessages());
        while (openMessages > settings.limits().maxOpenMessages() - reserve) {
            final PendingMessage least = activeDestinations.values().stream()
                    .flatMap(destination -> destination.waiting.stream())
                    .filter(DeliveryPolicy::canRefuse)
                    .min(Comparator.comparingDouble(pending -> valueAt(
                                    pending,
                                    Math.min(nowUs + pending.destination.queueTimeUs(), pending.sendableUntilUs() - 1))
                            / pending.messageClass.value()))
                    .orElse(null);
            if (least == null) {
                return;
            }
            giveUp(least, SECOND_US);
        }
    }

    /** Meters a tenant against this courier's even part of its quota. True for a message beyond it. */
    private boolean isOverQuota(final int tenant) {
        final double fleetQuota =
                tenant < 0 ? 0 : settings.tenants().get(tenant).quotaPerSecond();
        final double quota = fleetQuota / settings.couriers();
        if (quota <= 0 || quotaMeterUs[tenant] > nowUs + QUOTA_BURST_MESSAGES * SECOND_US / quota) {
            return quota > 0;
        }
        quotaMeterUs[tenant] = Math.max(quotaMeterUs[tenant], nowUs) + (long) (SECOND_US / quota);
        return false;
    }

    /**
     * Requests a wake-up for the next change that time alone brings: a pause, a deadline, an overdue call or a window
     * step.
     */
    private void scheduleWake() {
        long next = Math.min(nextWindowStepUs, listRetryUs);
        for (final Destination destination : activeDestinations.values()) {
            for (final Route route : destination.routes) {
                for (final Call call : route.calls) {
                    next = Math.min(next, call.overdueUs() > nowUs ? call.overdueUs() : NEVER);
                }
                if (!destination.waiting.isEmpty()) {
                    next = Math.min(next, Math.max(sendableAtUs(route), nowUs + RECHECK_US));
                }
            }
            for (final PendingMessage pending : destination.waiting) {
                next = Math.min(next, expiryUs(pending));
            }
        }
        if (nextWakeUs <= nowUs || nextWakeUs > next) {
            nextWakeUs = Math.max(nowUs + 1, next);
            actions.wake(nextWakeUs - nowUs);
        }
    }

    // ---------------------------------------------------------------- list of endpoints

    @Override
    public void onListUpdate(final long now, final Update update, final List<Endpoint> entries) {
        nowUs = now;
        listUnconfirmed = update == Update.RESTORED && settings.listOnRequest();
        if (update == Update.LOST) {
            listRequested = false;
            listRetryUs = nowUs + withJitter(listBackOffUs);
            listBackOffUs = Math.min(2 * listBackOffUs, MAX_LIST_BACK_OFF_US);
            return;
        }
        listRetryUs = NEVER;
        listBackOffUs = MIN_LIST_BACK_OFF_US;
        if (update != Update.CHANGES) {
            endpoints.values().forEach(endpoint -> endpoint.condition = Condition.GONE);
        }
        for (final Endpoint entry : entries) {
            EndpointState endpoint = endpoints.get(entry.id());
            if (endpoint == null) {
                endpoint = new EndpointState(entry, routeFor(entry), classServiceTimeUs.length);
                endpoint.route.endpoints.add(endpoint);
                // A new endpoint has no part in the outage of earlier ones, so it may be tried at once.
                endpoint.route.nextProbeUs = Math.min(endpoint.route.nextProbeUs, nowUs);
                endpoints.put(entry.id(), endpoint);
            }
            endpoint.condition = entry.condition();
            endpoint.route.limitPerSecond =
                    settings.limitHint() == LimitHint.NONE ? endpoint.route.limitPerSecond : entry.weight();
        }
        // A separate route is not forgotten at once: if it is listed again, its wait and outage still hold.
        endpoints
                .values()
                .removeIf(endpoint -> endpoint.condition == Condition.GONE
                        && endpoint.inFlight == 0
                        && !endpoint.route.kind.separateRoutes()
                        && endpoint.route.endpoints.remove(endpoint));
    }

    /** Forgets endpoints and destinations that are no longer listed and have long been unused. */
    private void forgetUnused() {
        final long beforeUs = nowUs - FORGET_AFTER_US;
        endpoints
                .values()
                .removeIf(endpoint -> endpoint.condition == Condition.GONE
                        && endpoint.inFlight == 0
                        && endpoint.route.lastSendUs < beforeUs
                        && endpoint.route.endpoints.remove(endpoint));
        destinations.values().removeIf(destination -> {
            if (destination.messageCount == 0) {
                destination.routes.removeIf(
                        route -> route.endpoints.isEmpty() && route.lastSendUs < beforeUs && route.waitUntilUs < nowUs);
            }
            return destination.messageCount == 0 && destination.routes.isEmpty();
        });
    }

    private Route routeFor(final Endpoint entry) {
        final Destination destination = destinationFor(entry.destination());
        final DestinationKind kind = entry.kind() < 0
                ? new DestinationKind("", false, 1)
                : settings.destinationKinds().get(entry.kind());
        if (kind.separateRoutes() || destination.routes.isEmpty()) {
            final boolean smallFleet = settings.couriers() <= SMALL_FLEET_COURIERS;
            destination.routes.add(new Route(
                    entry.destination(), kind, smallFleet ? INITIAL_WINDOW_CALLS : INITIAL_WINDOW_LARGE_FLEET_CALLS));
        }
        return destination.routes.get(destination.routes.size() - 1);
    }

    @Override
    public String describe(final long now) {
        final StringBuilder text = new StringBuilder("open " + openMessages + ", calls in flight " + callsInFlight
                + " of " + settings.limits().slots());
        activeDestinations.forEach((id, destination) -> {
            text.append("; ")
                    .append(id)
                    .append(": ")
                    .append(destination.waiting.size())
                    .append(" waiting");
            for (final Route route : destination.routes) {
                text.append(String.format(
                        Locale.ROOT,
                        ", %s, %d per call, %s, %d in flight, window %.1f, rate %.1f/s, limit %.1f/s, send rate %.1f/s, paused %d ms",
                        route.kind.name(),
                        route.kind.messagesPerCall(),
                        route.circuit.logName(),
                        route.calls.size(),
                        route.window,
                        route.messageRate,
                        route.limitPerSecond,
                        route.maxSendRate,
                        Math.max(0, Math.max(route.waitUntilUs, route.pauseUntilUs) - now) / 1000));
            }
        });
        return text.toString();
    }

    /** Number of destinations that are kept in memory. */
    int knownDestinations() {
        return destinations.size();
    }

    private Destination destinationFor(final long id) {
        return destinations.computeIfAbsent(id, unused -> new Destination());
    }

    /** Requests the list where the settings ask for it: once at the start, and again after a loss. */
    private void requestList() {
        if (settings.listOnRequest() && (listRetryUs == NEVER ? !listRequested : nowUs >= listRetryUs)) {
            listRequested = true;
            listRetryUs =
                    nowUs + Math.min(MAX_LIST_BACK_OFF_US, settings.guarantees().listRequestDueUs() / 2);
            actions.followList();
        }
    }

    // ---------------------------------------------------------------- state

    /** A destination: its waiting messages and its routes (one, unless they are separate). */
    private static final class Destination {
        private final List<PendingMessage> waiting = new ArrayList<>();
        private final List<Route> routes = new ArrayList<>();
        /** Messages that are waiting or in flight. */
        private int messageCount;

        /** Time to serve the waiting messages at the recent rate, us. */
        private long queueTimeUs() {
            final double rate = Math.max(
                    MIN_SERVICE_RATE,
                    routes.stream().mapToDouble(route -> route.messageRate).sum());
            return (long) (waiting.size() / rate * SECOND_US);
        }
    }

    /** The unit of the window: a destination, or one of its separate routes. */
    private static final class Route {
        private final long destinationId;
        private final DestinationKind kind;
        private final List<EndpointState> endpoints = new ArrayList<>();
        private final List<Call> calls = new ArrayList<>();
        private double window;
        /** Calls that the predecessor process still has in flight there. */
        private int predecessorCalls;
        /** Counts of this step in messages, and the sum of latency ratios. */
        private int peakInFlight, refused, delivered;
        /** Counts of this step in calls. */
        private double servedCalls, failedCalls, errorCalls;

        private double latencyRatioSum;
        private ReportedLimit lastReport;
        /** Slow averages: rates of messages and calls served, latency ratio, and pace relative to other routes. */
        private int rateSamples, paceSamples;

        private double messageRate, callRate, averageLatencyRatio = 1, pace = 1, timeoutStretch = 1;
        /** Load of the last call on a cold destination, in calls. */
        private double lastCallLoad = 1;
        /** The known limit (0: none) and the present maximum send rate, per second. */
        private double limitPerSecond, maxSendRate = Double.POSITIVE_INFINITY;
        /** The last report: the limit (0: none) and its unused share. */
        private double reportedLimit, unusedShare;

        private boolean unhealthy;
        private CircuitState circuit = CircuitState.CLOSED;
        private double failureRun, failureShare, slowStartIntervalUs;
        /** Since when nothing was served; {@code NEVER} while there is no trouble. */
        private long troubleSinceUs = NEVER;

        private long waitUntilUs, pauseUntilUs, nextProbeUs, slowStartSinceUs, lastSendUs, lastServedUs;
        /** The last verdict of the tier, the last failed call, and the last probe permit used. */
        private TierHealth tierHealth = TierHealth.HEALTHY;

        private long lastFailureUs, usedPermitUs;

        private Route(final long id, final DestinationKind kind, final double window) {
            this.destinationId = id;
            this.kind = kind;
            this.window = window;
        }
    }

    /** An endpoint and what was learnt about it. */
    private static final class EndpointState {
        private final Endpoint listed;
        private final Route route;
        private Condition condition;
        private int inFlight, connections;
        /** Consecutive failures of each class, and until when that class avoids this endpoint. */
        private final double[] failureRun;

        private final long[] avoidUntilUs;
        private long lastUseUs, lastSendUs, lastServedUs;
        /** Disabled by the operators, and when it was last enabled again. */
        private boolean disabled;

        private long enabledUs;
        /** Until when its kept connections are not used for unsafe messages. */
        private long distrustUntilUs;

        private EndpointState(final Endpoint entry, final Route route, final int classes) {
            this.failureRun = new double[classes];
            this.avoidUntilUs = new long[classes];
            this.listed = entry;
            this.route = route;
        }

        private boolean isAvailable() {
            return condition == Condition.LISTED && !disabled;
        }
    }

    /** A call in flight, with one or more messages. */
    private static final class Call {
        private EndpointState endpoint;
        /** Number of messages sent with it, and of those without an outcome. */
        private int messageCount, openMessages;

        private long sentUs, expectedUs, idleUs;
        /** The earliest deadline of its messages. */
        private long validUntilUs = NEVER;
        /** As far as is known, it used a kept connection; and it failed only because that connection was dead. */
        private boolean reusesConnection, hitDeadConnection;

        private boolean cancelled;
        /** It carries unsafe messages. */
        private boolean unsafe;

        private long overdueUs() {
            return sentUs + Math.max(MIN_OVERDUE_US, (long) (OVERDUE_FACTOR * expectedUs));
        }
    }

    /** A message that has no final answer yet, or still has an attempt in flight. */
    private static final class PendingMessage {
        private final Message message;
        private final MessageClass messageClass;
        private final long targetUs;
        private Destination destination;
        private KeyQueue keyQueue;
        private Call call;
        /** The route and urgency found when the message was last considered. */
        private Route route;

        private double urgency;
        private int attempts;
        private boolean overQuota, mayHaveExecuted, finished;
        private long firstExecutionUs = NEVER;
        private String executionZone = "";

        private PendingMessage(final Message message, final MessageClass kind) {
            this.message = message;
            this.messageClass = kind;
            this.targetUs = message.validUntilUs() - kind.deadlineUs() + kind.targetUs();
        }

        /** Until when the message may be sent. A key that may already be in use limits this like a deadline. */
        private long sendableUntilUs() {
            final long windowUs = (long) ((1 - KEY_WINDOW_MARGIN_SHARE) * messageClass.keyWindowUs());
            return !mayHaveExecuted || messageClass.effect() != Effect.KEYED
                    ? message.validUntilUs()
                    : Math.min(message.validUntilUs(), firstExecutionUs + windowUs);
        }
    }

    /** The messages of one key, in the order of acceptance. */
    private static final class KeyQueue {
        private final List<PendingMessage> messages = new ArrayList<>();
        private long restsUntilUs;
    }
}
