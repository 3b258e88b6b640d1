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
public final class Control implements Courier {

    private static final long SECOND_US = 1_000_000;

    // The window (the paper's section V).
    /** Lower bound of a window, calls. At least one call is needed to notice a recovery. */
    private static final double WINDOW_FLOOR = 1;
    /**
     * Initial window of a route, calls, so that one slow answer does not block it. In a large fleet each courier meets
     * a destination rarely and messages come in bursts, so it starts wider.
     */
    private static final double WINDOW_START = 2, WINDOW_RARE = 4;
    /** Maximum share of the call slots that one route may use while healthy and while unhealthy. */
    private static final double HEALTHY_SHARE = 0.75, SICK_SHARE = 0.5;
    /** A latency or refusal input above this (nearer to High than to Medium) makes a route unhealthy for one step. */
    private static final double SLOW_INPUT = 0.75;
    /** Weight of the prior, in samples, in a step's mean latency: two or three answers say little. */
    private static final double LATENCY_PRIOR = 2;
    /** Share of the window that must have been used for it to grow. Unused capacity proves nothing. */
    private static final double USED_SHARE = 0.5;

    // Service times.
    /** Minimum weight of a new sample or step in a slow average, a memory of about ten samples. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Service time of a class before the first sample, as a share of its target time, which was set to be met. */
    private static final double UNSEEN_SHARE = 0.25;
    /**
     * Minimum pace of a route, relative to the usual service time, so that a very fast answer does not make the next
     * one look overdue.
     */
    private static final double PACE_LEAST = 0.1;
    /**
     * A call is overdue after this many times its expected duration (one in 150 by chance), but not before the minimum,
     * us.
     */
    private static final double OVERDUE_TIMES = 5;

    private static final long OVERDUE_LEAST_US = SECOND_US;
    /** Multiple of the expected duration that a call must have left before shutdown. Chance cuts off one in seven. */
    private static final double STOP_TIMES = 2;
    /** A time-out as a multiple of the expected duration, and its minimum, us. Wide enough for a long tail. */
    private static final double TIMEOUT_TIMES = 8;

    private static final long TIMEOUT_LEAST_US = 2 * SECOND_US;
    /** Factor on time-outs after a time-out: the destination may be slow rather than silent. */
    private static final double STRETCH = 3;

    // Refusals and outages.
    /** Minimum pause of a route after a refusal, us. Limits are counted over spans of about a second. */
    private static final long PAUSE_US = SECOND_US / 2;
    /**
     * After refusals the send rate is limited to the rate served times this factor, plus a margin per second, so that
     * freed capacity is noticed.
     */
    private static final double SPACING = 1.2, SPACING_LEAST = 0.5;
    /**
     * Part of a limit's unused share that one courier takes, and the maximum in multiples of its even part, because all
     * couriers take from the same unused share.
     */
    private static final double LEFT_PART = 0.25, LEFT_EVEN = 4;
    /**
     * A requested wait above this, us, does not come from a rate limit, whose spans are a second or two. It means that
     * the destination is closed.
     */
    private static final long LIMIT_WAIT_US = 5 * SECOND_US / 2;
    /**
     * Weights of a refusal and an error in the run of failures, where a failed call weighs 1. Overload also causes
     * refusals, and errors may be mixed with successes.
     */
    private static final double REFUSED_WEIGHT = 0.5, ERROR_WEIGHT = 0.4;
    /** A failure run of this weight without a success opens the circuit. */
    private static final double OUT_WEIGHT = 3;
    /**
     * A failure run of this weight, with nothing served for a while before it, may be all that a courier sees of an
     * outage.
     */
    private static final double DOUBT_WEIGHT = 1;

    private static final double OUT_SHARE = 0.6;
    /** Weight of one call in the failure share, a memory of about eight calls. */
    private static final double FAIL_WEIGHT = 0.12;
    /**
     * Assumed limit where none is known, and the lowest service rate used to estimate queue times, messages per second.
     */
    private static final double UNTOLD_LIMIT = 1;

    private static final double LEAST_RATE = 0.25;
    /** Load of each further message in a call on a cold destination, in calls. */
    private static final double FURTHER_WEIGHT = 0.2;
    /** Time for which a failed endpoint is avoided, us. After that its consecutive failures count as load. */
    private static final long AVOID_US = SECOND_US;
    /** Random share by which intervals are lengthened or shortened, so that couriers do not act in step. */
    private static final double JITTER = 0.2;

    // Choice of message and endpoint.
    /** Load of a handshake and of a zone crossing in the choice of an endpoint, in calls in flight. */
    private static final double HANDSHAKE_LOAD = 0.8, CROSS_LOAD = 0.6;
    /** Chance that a deferred message is still served when the queue is short. It is half of this in a long queue. */
    private static final double KEPT = 0.9;
    /**
     * Bounds of how far ahead queueing is considered, us: at least until the next call, at most until the value has
     * faded.
     */
    private static final long HORIZON_LEAST_US = SECOND_US, HORIZON_MOST_US = 10 * SECOND_US;
    /**
     * Value share of a message beyond its tenant's quota, of which this courier sees only a part, and the burst that is
     * still within the quota by chance, messages.
     */
    private static final double OVER_QUOTA = 0.25;

    private static final double QUOTA_BURST = 10;
    /**
     * Share of the store that is kept free by refusing the messages with least to gain. A full store refuses new
     * messages regardless of their value.
     */
    private static final double STORE_RESERVE = 0.05;
    /**
     * A message ends this long before its deadline, us (two passes of the event loop); and the share of a key's window
     * that is left unused because clocks differ.
     */
    private static final long END_MARGIN_US = 12_000;

    private static final double KEY_MARGIN = 0.05;
    /** Growth per second of the idle time that connections are trusted with. It triples in a minute. */
    private static final double TRUST_GROWTH = 1.02;
    /** A connection that fails after a shorter idle time, us, did not fail because it was idle. */
    private static final long TRUST_LEAST_US = SECOND_US;
    /** Up to this fleet size every courier meets all destinations often and may keep its idle connections. */
    private static final int FEW_COURIERS = 6;
    /** An idle connection is kept if its next use is expected within this many call durations. */
    private static final double REUSE_CALLS = 2;
    /** First and longest back-off between requests for the list, us. */
    private static final long ASK_LEAST_US = SECOND_US / 2, ASK_MOST_US = 3 * SECOND_US;
    /** Interval at which a message held back by an endpoint or a key is examined again, us. */
    private static final long POLL_US = 20_000;
    /** A destination or route without an endpoint is forgotten this long after its last use, us. */
    private static final long FORGET_US = 60 * SECOND_US;

    private static final long NEVER = Long.MAX_VALUE;

    private final Settings settings;
    private final Actions actions;
    private final Random random;
    private final Map<Long, Destination> destinations = new LinkedHashMap<>();
    /** Destinations with messages. A decision looks at these only, however long the list is. */
    private final Map<Long, Destination> busy = new TreeMap<>();

    private final Map<Long, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, KeyLine> keys = new LinkedHashMap<>();
    private final double[] classMeanUs;
    private final int[] classSamples;
    private final long[] quotaUs;
    /** Calls in flight of this process, calls that the predecessor process still has in flight, and messages held. */
    private int callsOut, elsewhere, open;

    private double trustUs;
    private long nowUs, nextStepUs, wakeUs, stopUs = NEVER, freshUntilUs = NEVER;
    private boolean subscribed, unconfirmed;
    /** The shared state of the tier; null if couriers share nothing. */
    private FleetView fleet;

    private long askAgainUs = NEVER, askBackOffUs = ASK_LEAST_US;

    /**
     * Creates the decisions of a courier that knows only its settings. {@code seed} is the only source of randomness.
     */
    public Control(final Settings settings, final long seed, final Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.classMeanUs = settings.classes().stream()
                .mapToDouble(k -> UNSEEN_SHARE * k.aimUs())
                .toArray();
        this.classSamples = new int[classMeanUs.length];
        this.trustUs = settings.limits().idleCloseUs();
        this.quotaUs = new long[settings.tenants().size()];
    }

    // ---------------------------------------------------------------- events

    @Override
    public void onMessage(final long now, final Message message) {
        nowUs = now;
        final Job job = new Job(message, settings.classes().get(message.messageClass()));
        jobs.put(message.id(), job);
        open++;
        job.overQuota = overQuota(message.tenant());
        job.destination = destination(message.destination());
        job.destination.waiting.add(job);
        job.destination.jobs++;
        busy.put(message.destination(), job.destination);
        if (job.kind.inTurn() && message.key() != null) {
            job.line = keys.computeIfAbsent(message.key(), key -> new KeyLine());
            job.line.jobs.add(job);
        }
    }

    @Override
    public void onResumed(final long now, final Message message, final Past past) {
        onMessage(now, message);
        final Job job = jobs.get(message.id());
        job.attempts = past.attempts();
        job.mayHaveRun = past.mayHaveRun();
        if (job.mayHaveRun) {
            job.firstRunUs = past.firstRunUs();
            job.runZone = past.runZone();
            if (job.line != null) {
                job.line.restUntilUs = nowUs + settings.guarantees().orderSettleUs();
            }
        }
    }

    @Override
    public void onStopping(final long now, final long atUs) {
        nowUs = now;
        stopUs = atUs;
    }

    @Override
    public List<Memory> memories() {
        final List<Memory> all = new ArrayList<>();
        destinations.forEach((id, destination) -> destination.lanes.stream()
                .filter(lane -> !lane.kind.routesApart())
                .forEach(lane -> all.add(new Memory(
                        id,
                        lane.calls.size(),
                        lane.phase,
                        lane.waitUntilUs,
                        lane.pauseUntilUs,
                        lane.troubleFromUs,
                        lane.rampFromUs,
                        lane.rampSpanUs,
                        lane.window,
                        lane.rate,
                        lane.callRate,
                        lane.reportedLimit,
                        lane.shareLeft,
                        lane.spacing,
                        lane.pace))));
        return all;
    }

    @Override
    public void onMemory(final long now, final Memory memory) {
        nowUs = now;
        final Destination destination = destinations.get(memory.destination());
        if (destination != null && !destination.lanes.isEmpty()) {
            final Lane lane = destination.lanes.get(0);
            elsewhere += memory.callsOut() - lane.elsewhere;
            lane.elsewhere = memory.callsOut();
            lane.waitUntilUs = Math.max(lane.waitUntilUs, memory.waitUntilUs());
            lane.pauseUntilUs = Math.max(lane.pauseUntilUs, memory.pauseUntilUs());
            if (lane.lastServedUs == 0) {
                inherit(lane, memory);
            }
        }
    }

    /** Takes over the predecessor's state. Its knowledge of a route is better as long as nothing was served here. */
    private void inherit(final Lane lane, final Memory memory) {
        lane.troubleFromUs = Math.min(lane.troubleFromUs, memory.troubleFromUs());
        if (lane.phase != memory.phase()) {
            lane.phase = memory.phase();
            lane.rampFromUs = memory.rampFromUs();
            lane.rampSpanUs = memory.rampSpanUs();
            lane.nextTrialUs = trialUs(lane);
        }
        if (lane.lastSendUs == 0) {
            lane.window = memory.window();
            lane.rate = memory.rate();
            lane.callRate = memory.callRate();
            lane.reportedLimit = memory.limit();
            lane.told = memory.limit() > 0 ? memory.limit() : lane.told;
            lane.shareLeft = memory.shareLeft();
            lane.spacing = memory.spacing();
            lane.pace = memory.pace();
        }
    }

    @Override
    public void onHeard(final long now, final long untilUs) {
        nowUs = now;
        freshUntilUs = untilUs;
    }

    @Override
    public void onAlone(final long now) {
        nowUs = now;
        destinations.values().forEach(destination -> destination.lanes.forEach(lane -> lane.elsewhere = 0));
        elsewhere = 0;
    }

    @Override
    public void onOutcome(final long now, final Outcome outcome) {
        nowUs = now;
        final Job job = jobs.get(outcome.messageId());
        if (job == null || job.call == null) {
            return;
        }
        final Call call = job.call;
        final Node node = call.node;
        job.call = null;
        if (!outcome.result().neverRan()) {
            job.mayHaveRun = true;
            job.firstRunUs = Math.min(job.firstRunUs, call.sentUs);
            job.runZone = node.entry.zone();
            if (job.line != null && !outcome.result().ended()) {
                job.line.restUntilUs = nowUs + settings.guarantees().orderSettleUs();
            }
        }
        if (--call.messages == 0) {
            callsOut--;
            node.inFlight--;
            node.lane.calls.remove(call);
            node.lastUseUs = nowUs;
            shareConnections(node, call);
        }
        judge(node, call, job, outcome);
        if (outcome.over() || job.over) {
            end(job);
        } else {
            job.destination.waiting.add(job);
        }
    }

    @Override
    public void onBarred(final long now, final Set<Long> endpoints) {
        nowUs = now;
        for (final Node node : nodes.values()) {
            final boolean back = node.barred && !endpoints.contains(node.entry.id());
            node.barred = endpoints.contains(node.entry.id());
            if (back) {
                comeBack(node);
            }
        }
    }

    /**
     * The endpoint was probably restarted while it was disabled, so it is cold, and so is a destination that has no
     * other endpoint.
     */
    private void comeBack(final Node node) {
        node.backUs = nowUs;
        Arrays.fill(node.badRun, 0);
        Arrays.fill(node.avoidUntilUs, 0);
        final Lane lane = node.lane;
        final boolean alone = lane.nodes.stream().noneMatch(other -> other != node && other.isOpen());
        if (lane.phase == Phase.WELL && alone) {
            lane.phase = Phase.RAMP;
            lane.rampFromUs = nowUs;
            lane.rampSpanUs = apartUs(lane);
        }
    }

    @Override
    public void onFleet(final long now, final FleetView view) {
        nowUs = now;
        fleet = view;
        view.verdicts()
                .keySet()
                .forEach(id -> Optional.ofNullable(destinations.get(id))
                        .ifPresent(destination -> destination.lanes.forEach(this::heed)));
    }

    /**
     * Applies the tier's verdict: an outage that is reported by others leads to probes here, and newer evidence of a
     * recovery ends an outage seen here.
     */
    private void heed(final Lane lane) {
        final Verdict verdict = verdict(lane);
        final Standing before = lane.heard;
        lane.heard = verdict == null ? Standing.WELL : verdict.standing();
        if (lane.heard == Standing.OUT && before != Standing.OUT && lane.phase != Phase.OUT) {
            lane.nextTrialUs = trialUs(lane);
        } else if (lane.heard == Standing.BACK && Math.max(lane.badUs, lane.rampFromUs) < verdict.sinceUs()) {
            ramp(lane, verdict.sinceUs());
        }
    }

    /** The tier's verdict on the route's destination, or null if there is none or it has expired. */
    private Verdict verdict(final Lane lane) {
        final Verdict verdict = fleet == null || lane.kind.routesApart()
                ? null
                : fleet.verdicts().get(lane.id);
        return verdict != null && nowUs < verdict.staleAtUs() ? verdict : null;
    }

    private boolean isHeard(final Lane lane, final Standing standing) {
        final Verdict verdict = verdict(lane);
        return verdict != null && verdict.standing() == standing;
    }

    /** The worse of the state seen by this courier's own calls and the tier's verdict. */
    private Phase phase(final Lane lane) {
        return isHeard(lane, Standing.OUT) ? Phase.OUT : lane.phase;
    }

    @Override
    public List<Report> reports(final long now) {
        final List<Report> all = new ArrayList<>();
        destinations.forEach((id, destination) -> destination.lanes.stream()
                .filter(lane -> !lane.kind.routesApart()
                        && (destination.jobs > 0 || lane.phase != Phase.WELL || now - lane.lastSendUs < FORGET_US))
                .forEach(lane -> all.add(new Report(
                        id,
                        limit(lane),
                        lane.callRate,
                        (int) Math.ceil(1.0 * destination.waiting.size() / lane.kind.messagesPerCall()),
                        lane.phase,
                        (int) Math.ceil(lane.badRun),
                        lane.troubleFromUs,
                        lane.lastServedUs,
                        lane.phase == Phase.OUT && lane.waitUntilUs > now ? lane.waitUntilUs : 0))));
        return all;
    }

    @Override
    public void onExpired(final long now, final String messageId) {
        nowUs = now;
        Optional.ofNullable(jobs.get(messageId)).ifPresent(this::end);
    }

    @Override
    public void decide(final long now) {
        nowUs = now;
        nextStepUs = nextStepUs == 0 ? nowUs + SECOND_US : nextStepUs;
        if (nowUs >= nextStepUs) {
            destinations.values().forEach(d -> d.lanes.forEach(this::step));
            trustUs = Math.min(settings.limits().idleCloseUs(), TRUST_GROWTH * trustUs);
            forget();
            keys.values().removeIf(line -> line.jobs.isEmpty() && line.restUntilUs <= nowUs);
            nextStepUs += SECOND_US * ((nowUs - nextStepUs) / SECOND_US + 1);
        }
        keepList();
        watch();
        dispatch();
        reclaimSlot();
        makeRoom();
        sleep();
    }

    // ---------------------------------------------------------------- dispatch

    /**
     * Sends the most urgent messages first, until no slot is free or no message is sendable. Nothing is sent on an
     * unconfirmed list.
     */
    private void dispatch() {
        while (!unconfirmed && callsOut + elsewhere < settings.limits().slots()) {
            final Job best = best(true);
            if (best == null) {
                return;
            }
            send(best, best.lane);
        }
    }

    /**
     * The most urgent message that windows and pauses allow to be sent, or null. {@code probes}: include routes with an
     * open circuit or in slow start.
     */
    private Job best(final boolean trials) {
        Job best = null;
        for (final Destination destination : busy.values()) {
            for (final Lane lane : destination.lanes) {
                final boolean open = openAtUs(lane) <= nowUs && (trials || phase(lane) == Phase.WELL);
                final Job job = open ? pick(destination, lane, null) : null;
                best = job != null && (best == null || job.urgency > best.urgency) ? job : best;
            }
        }
        return best;
    }

    /** When waits, pauses and rates allow the next call of a route; never while its window is full. */
    private long openAtUs(final Lane lane) {
        final long live = lane.elsewhere
                + lane.calls.stream()
                        .filter(call -> !call.unsafe || nowUs < call.overdueUs())
                        .count();
        if (live >= cap(lane) || lane.elsewhere + lane.calls.size() >= share(lane)) {
            return NEVER;
        }
        if (lane.elsewhere > 0 && nowUs > freshUntilUs) {
            return nowUs + POLL_US;
        }
        final double part = partOfLimit(lane);
        final long rationedUs = lane.lastSendUs + (long) (fleet == null ? 0 : SECOND_US / part);
        final long guardUs =
                switch (phase(lane)) {
                    case WELL -> lane.lastSendUs + (long) (SECOND_US / Math.min(part, lane.spacing));
                    case OUT -> live == 0 ? trialAtUs(lane) : NEVER;
                    case RAMP ->
                        lane.lastSendUs
                                + (long) (lane.rampSpanUs * lane.lastWeight / tippingShare(nowUs - lane.rampFromUs));
                };
        return Math.max(Math.max(guardUs, rationedUs), Math.max(lane.waitUntilUs, lane.pauseUntilUs));
    }

    /**
     * When a route with an open circuit may be probed: by the tier's permit or, if nobody assigns permits, by its own
     * schedule.
     */
    private long trialAtUs(final Lane lane) {
        final long untilUs = isHeard(lane, Standing.OUT) ? verdict(lane).trialUntilUs() : NEVER;
        return untilUs == NEVER ? lane.nextTrialUs : untilUs > Math.max(nowUs, lane.permitUs) ? nowUs : NEVER;
    }

    /**
     * Calls per second that a route may make under its destination's limit. With a reported limit this is the courier's
     * even part or, if others leave capacity unused, its present rate plus a quarter of the unused share. Without a
     * report it is the whole of an exact weight.
     */
    private double partOfLimit(final Lane lane) {
        if (fleet != null && limit(lane) > 0) {
            final Ration ration =
                    lane.kind.routesApart() ? null : fleet.rations().get(lane.id);
            final double even = fleet.reserve() * limit(lane) / settings.couriers();
            return ration == null || nowUs >= ration.untilUs() ? even : Math.min(ration.callsPerSecond(), limit(lane));
        }
        if (lane.reportedLimit > 0) {
            return Math.max(
                    lane.reportedLimit / settings.couriers(),
                    lane.callRate
                            + Math.min(LEFT_PART, LEFT_EVEN / settings.couriers())
                                    * lane.shareLeft
                                    * lane.reportedLimit);
        }
        return settings.weights() == Weights.NOMINAL && lane.told > 0 ? lane.told : Double.POSITIVE_INFINITY;
    }

    /** The known limit of a route, from answers or an exact weight, calls per second; 0 if none. */
    private double limit(final Lane lane) {
        return lane.reportedLimit > 0 || settings.weights() != Weights.NOMINAL ? lane.reportedLimit : lane.told;
    }

    /**
     * Calls that a route may have in flight: its window, within its share of the slots. An overdue call of an unsafe
     * message has no time-out but the message's deadline. It holds a slot and counts against the share but not against
     * the window: the destination may have recovered, or only the connection may be dead, and a window full of such
     * calls would never find out.
     */
    private int cap(final Lane lane) {
        final double window =
                isInDoubt(lane) ? WINDOW_FLOOR : isHeard(lane, Standing.SUSPECTED) ? lane.window / 2 : lane.window;
        return (int) Math.max(1, Math.floor(Math.min(window, share(lane))));
    }

    private int share(final Lane lane) {
        final double share = phase(lane) == Phase.WELL && !lane.slow ? HEALTHY_SHARE : SICK_SHARE;
        return (int) Math.max(1, Math.floor(share * settings.limits().slots()));
    }

    /**
     * The most urgent message for a route, or to be added to {@code call}. Probes use the messages first that lose
     * least if they fail.
     */
    private Job pick(final Destination destination, final Lane lane, final Call call) {
        Job best = null;
        int bestRisk = 0;
        double bestUrgency = 0;
        final long lineUs = destination.lineUs();
        for (final Job job : destination.waiting) {
            if (!inTurn(job)
                    || !endsInTime(lane, job)
                    || call == null && choose(lane, job) == null
                    || call != null && !mayShare(job, call)) {
                continue;
            }
            final double urgency = urgency(lane, job, lineUs);
            final int risk = phase(lane) != Phase.OUT || job.mayHaveRun
                    ? 0
                    : 1 + job.kind.effect().ordinal();
            if (best == null || risk < bestRisk || risk == bestRisk && urgency > bestUrgency) {
                best = job;
                bestRisk = risk;
                bestUrgency = urgency;
                job.lane = lane;
                // If the store is over half full, some messages will not be served: slots go where they serve the most
                // messages.
                job.urgency = urgency / (2 * open > settings.limits().maxOpen() ? expectedUs(lane, job) : 1);
            }
        }
        return best;
    }

    /** The value that a message loses by waiting for as long as its destination's queue takes. */
    private double urgency(final Lane lane, final Job job, final long lineUs) {
        final long horizonUs = (long) clamp(lineUs, HORIZON_LEAST_US, HORIZON_MOST_US);
        final long doneUs = nowUs + (long) expectedUs(lane, job);
        final double kept = KEPT / (1 + (double) horizonUs / HORIZON_MOST_US);
        return worth(job, doneUs) - kept * worth(job, doneUs + horizonUs);
    }

    /** The value of a message delivered at a given time. The end of a key's window has the effect of a deadline. */
    private double worth(final Job job, final long atUs) {
        final MessageClass kind = job.kind;
        if (atUs >= job.keyEndUs()) {
            return 0;
        }
        final double full = kind.worth() * (job.overQuota ? OVER_QUOTA : 1);
        final long lateUs = Math.max(0, atUs - job.aimUs);
        return full
                * (settings.fade() == Fade.HALVING
                        ? Math.max(kind.lateWorth(), Math.pow(0.5, (double) lateUs / Math.max(1, kind.aimUs())))
                        : 1 - (1 - kind.lateWorth()) * lateUs / Math.max(1, kind.deadlineUs() - kind.aimUs()));
    }

    /** The best endpoint of a route for a message now, or null. */
    private Node choose(final Lane lane, final Job job) {
        Node best = null;
        double bestLoad = 0;
        final int kind = job.message.messageClass();
        for (final Node node : lane.nodes) {
            if (!node.isOpen()
                    || !zoneAllows(job, node)
                    || phase(lane) == Phase.WELL && nowUs < node.avoidUntilUs[kind]) {
                continue;
            }
            final boolean handshake = node.inFlight
                            >= node.connections * settings.limits().multiplex()
                    || node.inFlight == 0
                            && nowUs - node.lastUseUs >= settings.limits().idleCloseUs();
            final boolean cross = !node.entry.zone().equals(settings.zone());
            final double taken =
                    node.inFlight + node.badRun[kind] + (handshake ? HANDSHAKE_LOAD : 0) + (cross ? CROSS_LOAD : 0);
            // An endpoint that was enabled again is cold: a call weighs the more there, the less capacity it has.
            final double load = phase(lane) == Phase.OUT ? node.lastSendUs : (1 + taken) / warmth(nowUs - node.backUs);
            if (best == null || load < bestLoad) {
                best = node;
                bestLoad = load;
            }
        }
        return best;
    }

    /**
     * A call ends at the earliest deadline of its messages, so a message joins only if it is unlikely to cut off the
     * others.
     */
    private boolean mayShare(final Job job, final Call call) {
        return zoneAllows(job, call.node)
                && call.unsafe == (job.kind.effect() == Effect.UNSAFE)
                && Math.min(call.validUntilUs, job.message.validUntilUs())
                        >= nowUs + cutOffTimes(job) * Math.max(call.expectedUs, expectedUs(call.node.lane, job));
    }

    /** Multiple of the expected duration that must be left for a call that will be cut off at a known time. */
    private static double cutOffTimes(final Job job) {
        return job.kind.effect() == Effect.UNSAFE ? OVERDUE_TIMES : STOP_TIMES;
    }

    /** False if an earlier attempt may have taken effect and this endpoint would not recognise the repeat. */
    private static boolean zoneAllows(final Job job, final Node node) {
        return !job.mayHaveRun || !job.kind.zoneKeyed() || node.entry.zone().equals(job.runZone);
    }

    /**
     * The ordering rule: the first message of a key goes first, and only after the rest that follows an attempt without
     * an answer.
     */
    private boolean inTurn(final Job job) {
        return job.line == null || job.line.jobs.get(0) == job && (job.mayHaveRun || job.line.restUntilUs <= nowUs);
    }

    /** False for a call that the end of this process would probably cut off. The next process may send it. */
    private boolean endsInTime(final Lane lane, final Job job) {
        return stopUs == NEVER || nowUs + cutOffTimes(job) * expectedUs(lane, job) < stopUs;
    }

    /** Sends a message and, where calls are shared, the waiting messages that fit into the same call. */
    private void send(final Job first, final Lane lane) {
        final Node node = choose(lane, first);
        final Call call = new Call();
        call.node = node;
        call.sentUs = nowUs;
        callsOut++;
        lane.calls.add(call);
        lane.peak = Math.max(lane.peak, lane.calls.size());
        if (first.kind.effect() == Effect.UNSAFE && nowUs < node.staleUntilUs) {
            node.connections = node.inFlight;
            actions.closeIdle(node.entry.id());
        } else if (node.inFlight == 0) {
            checkIdle(call, node, first);
        }
        node.inFlight++;
        final int streams = settings.limits().multiplex();
        call.reused = node.connections * streams >= node.inFlight;
        node.connections = Math.max(node.connections, (node.inFlight + streams - 1) / streams);
        node.lastSendUs = lane.lastSendUs = nowUs;
        final boolean alone = phase(lane) == Phase.OUT;
        if (alone) {
            lane.nextTrialUs = trialUs(lane);
            lane.permitUs = isHeard(lane, Standing.OUT) ? verdict(lane).trialUntilUs() : 0;
        }
        Job job = first;
        while (job != null) {
            call.messages++;
            call.unsafe = job.kind.effect() == Effect.UNSAFE;
            call.expectedUs = Math.max(call.expectedUs, (long) expectedUs(lane, job));
            call.validUntilUs = Math.min(call.validUntilUs, job.message.validUntilUs());
            job.call = call;
            job.attempts++;
            job.destination.waiting.remove(job);
            actions.send(job.message.id(), node.entry.id(), timeoutUs(lane, job));
            final boolean full = alone || call.messages >= lane.kind.messagesPerCall();
            job = full ? null : pick(job.destination, lane, call);
        }
        call.size = call.messages;
        lane.lastWeight = 1 + FURTHER_WEIGHT * (call.size - 1);
    }

    /**
     * Idle connections may be dead without any sign, anywhere on their path. When a call over one fails on a healthy
     * route, no connection that was idle half as long (a quarter for unsafe messages) is used for a while. This costs
     * handshakes.
     */
    private void checkIdle(final Call call, final Node node, final Job job) {
        final long idleUs = nowUs - node.lastUseUs;
        if (node.connections > 0 && idleUs >= trustUs / (job.kind.effect() == Effect.UNSAFE ? 2 : 1)) {
            node.connections = 0;
            actions.closeIdle(node.entry.id());
        } else if (node.connections > 0) {
            call.idleUs = idleUs;
        }
    }

    /**
     * In a large fleet an idle connection takes the place of another courier's, so it is closed unless its next use is
     * near. This prevents refused connections at healthy endpoints and costs one handshake per call.
     */
    private void shareConnections(final Node node, final Call call) {
        final double usesInReach = node.lane.callRate * REUSE_CALLS * call.expectedUs / SECOND_US;
        if (settings.couriers() > FEW_COURIERS && usesInReach < node.lane.nodes.size()) {
            node.connections = 0;
            actions.closeIdle(node.entry.id());
        }
    }

    // ---------------------------------------------------------------- fuzzy window step

    /** Moves a route's window according to Table I. */
    private void step(final Lane lane) {
        final double bad = lane.bad + overdue(lane);
        final double read = lane.served + lane.errors + bad;
        if (lane.phase == Phase.WELL) {
            final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++lane.steps);
            lane.rate += weight * (lane.delivered - lane.rate);
            lane.callRate += weight * (lane.served - lane.callRate);
        }
        if (read > 0) {
            double latency = 0;
            if (lane.delivered > 0) {
                final double mean = lane.ratioSum / lane.delivered;
                final double trust = lane.delivered / (lane.delivered + LATENCY_PRIOR);
                latency = clamp(trust * (mean / lane.slowRatio - 1), 0, 1);
                lane.slowRatio += SAMPLE_WEIGHT * trust * (mean - lane.slowRatio);
            }
            double refusal = bad / read;
            if (lane.allowance != null && lane.allowance.callsPerSecond() > 0) {
                refusal = Math.max(refusal, 1 - lane.allowance.shareLeft());
            }
            final double change = Math.max(bad == 0 ? 0 : -1, tableOne(latency, clamp(refusal, 0, 1)));
            if (change < 0 || lane.peak >= USED_SHARE * Math.floor(lane.window)) {
                lane.window = clamp(
                        lane.window * (1 + change),
                        WINDOW_FLOOR,
                        Math.max(1, Math.floor(HEALTHY_SHARE * settings.limits().slots())));
            }
            lane.slow = latency > SLOW_INPUT || refusal > SLOW_INPUT;
        }
        final double refusing = SPACING_LEAST + SPACING * Math.max(lane.served, lane.callRate);
        lane.spacing = lane.refused > 0 ? refusing : SPACING * lane.spacing;
        lane.peak = lane.calls.size();
        lane.ratioSum = lane.refused = lane.delivered = 0;
        lane.served = lane.bad = lane.errors = 0;
        lane.allowance = null;
    }

    /** Change of the window for each output set of Table I. */
    private static final double[] OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

    private static final int[][] TABLE_ONE = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

    /**
     * The paper's Mamdani controller: triangular membership functions, minimum for AND, maximum over the rules of one
     * output, and centre-average defuzzification. Both inputs are from 0 to 1.
     */
    static double tableOne(final double latency, final double refusal) {
        final double[] union = new double[OUTPUTS.length];
        for (int row = 0; row < TABLE_ONE.length; row++) {
            for (int column = 0; column < TABLE_ONE.length; column++) {
                final double both = Math.min(member(row, latency), member(column, refusal));
                union[TABLE_ONE[row][column]] = Math.max(union[TABLE_ONE[row][column]], both);
            }
        }
        double sum = 0;
        double weights = 0;
        for (int output = 0; output < OUTPUTS.length; output++) {
            sum += OUTPUTS[output] * union[output];
            weights += union[output];
        }
        return sum / weights;
    }

    /** Degree to which an input is Low (0), Medium (1) or High (2): triangles with peaks at 0, 0.5 and 1. */
    private static double member(final int set, final double input) {
        return Math.max(0, 1 - Math.abs(2 * input - set));
    }

    // ---------------------------------------------------------------- health and recovery

    /**
     * Records an outcome: service times, the inputs of the window step, waits, and the health of endpoint and route.
     * Figures in calls count a message as its part of the call, so that five messages refused together are one refusal.
     */
    private void judge(final Node node, final Call call, final Job job, final Outcome outcome) {
        final Lane lane = node.lane;
        if (outcome.allowance() != null) {
            lane.allowance = outcome.allowance();
            lane.told = lane.reportedLimit = lane.allowance.callsPerSecond();
            lane.shareLeft = lane.allowance.shareLeft();
        }
        final int kind = job.message.messageClass();
        final double part = 1.0 / call.size;
        final boolean first = lane.troubleFromUs == NEVER;
        lane.troubleFromUs = Math.min(lane.troubleFromUs, nowUs);
        // Any answer may ask for a wait, also one that delivers some of the call's messages.
        lane.waitUntilUs = Math.max(lane.waitUntilUs, nowUs + outcome.waitUs());
        switch (outcome.result()) {
            case DELIVERED -> {
                if (phase(lane) == Phase.OUT
                        || lane.phase == Phase.WELL && isInDoubt(lane) && nowUs - lane.troubleFromUs >= AVOID_US) {
                    ramp(lane, nowUs);
                }
                learn(lane, job, outcome.durationUs());
                lane.delivered++;
                lane.served += part;
                node.lastServedUs = lane.lastServedUs = nowUs;
                node.badRun[kind] = 0;
                node.avoidUntilUs[kind] = 0;
                lane.badRun = 0;
                lane.stretch = Math.max(1, lane.stretch - STRETCH * SAMPLE_WEIGHT);
                lane.failShare -= part * FAIL_WEIGHT * lane.failShare;
                lane.troubleFromUs = NEVER;
            }
            case REFUSED -> {
                lane.bad += part;
                lane.refused++;
                final long fromUs = Math.max(nowUs, lane.waitUntilUs);
                final long gapUs = patienceUs(lane, fromUs);
                final boolean told = outcome.waitUs() > 0;
                lane.pauseUntilUs = fromUs + (told ? (long) (random.nextDouble() * gapUs) : jitter(gapUs));
                if (settings.couriers() > FEW_COURIERS) {
                    // Couriers with the same interval that were refused together would return together, again and
                    // again.
                    lane.pauseUntilUs = Math.max(
                            lane.pauseUntilUs,
                            lane.lastSendUs + (long) (SECOND_US * (1 + random.nextDouble()) / partOfLimit(lane)));
                }
                suspect(lane, outcome.waitUs() > LIMIT_WAIT_US ? OUT_WEIGHT : part * REFUSED_WEIGHT);
            }
            case ERROR -> {
                lane.errors += part;
                lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
                suspect(lane, part * ERROR_WEIGHT);
            }
            case TIMED_OUT, RESET, NO_CONNECTION, CANCELLED -> {
                call.stale |= !node.barred && call.reused && outcome.result() == Result.RESET && node.badRun[kind] == 0;
                if (node.barred || call.stale) {
                    // The endpoint was disabled for a restart, or a kept connection was dead: this says nothing about
                    // the route.
                    lane.troubleFromUs = first ? NEVER : lane.troubleFromUs;
                    node.connections = 0;
                    if (call.stale) {
                        node.badRun[kind] += part;
                        node.staleUntilUs = nowUs + settings.limits().idleCloseUs();
                        actions.closeIdle(node.entry.id());
                    }
                    return;
                }
                lane.bad += part;
                if (outcome.result() == Result.TIMED_OUT || outcome.result() == Result.CANCELLED) {
                    lane.stretch = STRETCH;
                }
                if (first
                        && call.idleUs >= TRUST_LEAST_US
                        && !call.calledOff
                        && outcome.result() != Result.NO_CONNECTION) {
                    trustUs = Math.max(TRUST_LEAST_US, Math.min(trustUs, call.idleUs / 2));
                }
                node.badRun[kind] += part;
                if (node.lastServedUs < call.sentUs) {
                    Arrays.fill(node.avoidUntilUs, nowUs + jitter(AVOID_US));
                }
                node.avoidUntilUs[kind] = nowUs + jitter(AVOID_US);
                node.connections -= call.messages == 0 ? Math.min(1, node.connections) : 0;
                if (outcome.result() != Result.NO_CONNECTION || node.lastServedUs <= call.sentUs) {
                    lane.failShare += part * FAIL_WEIGHT * (1 - lane.failShare);
                    suspect(lane, part);
                }
            }
            case NOT_SENT -> lane.troubleFromUs = first ? NEVER : lane.troubleFromUs;
        }
    }

    /**
     * True if a route's trouble did not follow directly after a success and nothing was served since. In a large fleet
     * one courier sees no more than this of an outage, and all of them together can overload a cold destination.
     */
    private boolean isInDoubt(final Lane lane) {
        return settings.couriers() > FEW_COURIERS
                && lane.badRun >= DOUBT_WEIGHT
                && lane.troubleFromUs - lane.lastServedUs >= PAUSE_US;
    }

    /** The route's destination has recovered at {@code sinceUs}, and is cold. */
    private void ramp(final Lane lane, final long fromUs) {
        lane.phase = Phase.RAMP;
        lane.rampFromUs = fromUs;
        lane.rampSpanUs = patienceUs(lane, nowUs);
        lane.failShare = lane.badRun = 0;
        lane.troubleFromUs = NEVER;
    }

    /** Adds to the route's run of failures. A long run or a high share of failures opens the circuit. */
    private void suspect(final Lane lane, final double weight) {
        lane.badRun += weight;
        lane.badUs = weight > 0 ? nowUs : lane.badUs;
        // Calls in flight together are refused together: a run of refusals directly after a success is overload, not an
        // outage.
        final boolean run = lane.badRun + silence(lane) >= OUT_WEIGHT && nowUs - lane.lastServedUs >= PAUSE_US;
        final boolean out = run || lane.failShare > OUT_SHARE;
        if (out && lane.phase != Phase.OUT) {
            lane.phase = Phase.OUT;
            lane.window = WINDOW_FLOOR;
            lane.troubleFromUs = Math.min(lane.troubleFromUs, nowUs);
            lane.nextTrialUs = trialUs(lane);
        }
    }

    /** Number of calls that are overdue without any success on their endpoint since they were sent. */
    private int overdue(final Lane lane) {
        int count = 0;
        for (final Call call : lane.calls) {
            if (nowUs >= call.overdueUs() && call.node.lastServedUs < call.sentUs) {
                Arrays.fill(call.node.avoidUntilUs, nowUs + AVOID_US);
                count++;
            }
        }
        return count;
    }

    /**
     * Number of overdue calls that indicate an outage of the whole route: it has served nothing since half of the time
     * to overdue had passed.
     */
    private long silence(final Lane lane) {
        return overdue(lane) == 0
                ? 0
                : lane.calls.stream()
                        .filter(call -> nowUs >= call.overdueUs()
                                && lane.lastServedUs < call.sentUs + (call.overdueUs() - call.sentUs) / 2)
                        .count();
    }

    /**
     * Keeps overdue calls from using up the slots. If all slots are taken and another route could use one, the call
     * that is overdue longest is cancelled. This covers destinations that hang, stall or are very slow; it hurts where
     * the call would still have been answered.
     */
    private void reclaimSlot() {
        if (callsOut < settings.limits().slots() || !settings.limits().mayCancel()) {
            return;
        }
        final Job worst = jobs.values().stream()
                .filter(job -> job.call != null && !job.call.calledOff && nowUs >= job.call.overdueUs())
                .min(Comparator.comparingLong(job -> job.call.sentUs))
                .orElse(null);
        if (worst != null && best(false) != null) {
            worst.call.calledOff = true;
            jobs.values().stream()
                    .filter(job -> job.call == worst.call)
                    .forEach(job -> actions.cancel(job.message.id(), job.attempts - 1));
        }
    }

    /**
     * A route in trouble is tried again after as long as the trouble has lasted, but at least as often as its messages
     * come (or as this courier's even part of the limit allows). All couriers together then never come more often than
     * messages do. A message whose wait outlasts the trouble is delayed by this.
     */
    private long patienceUs(final Lane lane, final long atUs) {
        return (long) Math.min(Math.max(PAUSE_US, atUs - lane.troubleFromUs), apartUs(lane));
    }

    /** Interval between this courier's calls on a route, or between calls at its even part of the limit, us. */
    private double apartUs(final Lane lane) {
        final double limit = lane.told > 0 ? lane.told : UNTOLD_LIMIT;
        return SECOND_US / Math.max(lane.callRate, limit / settings.couriers());
    }

    /**
     * The next probe of a route with an open circuit. Its rate is the share of capacity that overloads a cold
     * destination, divided by the outage's age, so that the probes of all couriers together stay near that share of the
     * messages, whatever the fleet's size.
     */
    private long trialUs(final Lane lane) {
        final long fromUs = Math.max(nowUs, lane.waitUntilUs);
        final long outUs = Math.min(
                lane.troubleFromUs, isHeard(lane, Standing.OUT) ? verdict(lane).sinceUs() : NEVER);
        final double ageUs = Math.max(PAUSE_US, fromUs - outUs);
        final double gapUs = ageUs * (Math.pow(1 - random.nextDouble(), -1 / tippingShare(0)) - 1);
        return fromUs + (long) Math.min(gapUs, jitter((long) (apartUs(lane) / tippingShare(0))));
    }

    /** The rate that overloads a destination this long into its warm-up, as a share of its full capacity. */
    private double tippingShare(final long warmingUs) {
        return settings.guarantees().tipMultiple() * warmth(warmingUs);
    }

    /** Least share of its full capacity that a destination has this long into its warm-up. */
    private double warmth(final long warmingUs) {
        final double coldFrom = settings.guarantees().coldFrom();
        final double warm =
                (double) warmingUs / Math.max(1, settings.guarantees().coldUs());
        return coldFrom + (1 - coldFrom) * clamp(warm, 0, 1);
    }

    private void learn(final Lane lane, final Job job, final long durationUs) {
        final int kind = job.message.messageClass();
        final double ratio = durationUs / Math.max(1, classMeanUs[kind]);
        lane.ratioSum += ratio;
        final double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++classSamples[kind]);
        classMeanUs[kind] += weight * (durationUs / Math.max(PACE_LEAST, lane.pace) - classMeanUs[kind]);
        lane.pace += Math.max(SAMPLE_WEIGHT, 1.0 / (1 + ++lane.paceSamples)) * (ratio - lane.pace);
    }

    private double expectedUs(final Lane lane, final Job job) {
        return classMeanUs[job.message.messageClass()] * Math.max(PACE_LEAST, lane.pace);
    }

    private long jitter(final long us) {
        return (long) (us * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }

    private static double clamp(final double value, final double least, final double most) {
        return Math.max(least, Math.min(most, value));
    }

    // ---------------------------------------------------------------- deadlines and retries

    /** Time-out of an attempt, us. */
    private long timeoutUs(final Lane lane, final Job job) {
        final double expectedUs = expectedUs(lane, job);
        final long leftUs = job.message.validUntilUs() - nowUs;
        long timeoutUs = (long) Math.max(TIMEOUT_LEAST_US, TIMEOUT_TIMES * lane.stretch * expectedUs);
        if (job.kind.effect() == Effect.UNSAFE) {
            return leftUs;
        }
        if (job.kind.effect() == Effect.KEYED && !job.mayHaveRun) {
            final long againUs = (long) ((1 - KEY_MARGIN) * job.kind.keyWindowUs()) - OVERDUE_LEAST_US / 2;
            timeoutUs = againUs < OVERDUE_LEAST_US ? timeoutUs : Math.min(timeoutUs, againUs);
        }
        return leftUs - timeoutUs < expectedUs ? leftUs : timeoutUs;
    }

    /**
     * Opens circuits on silence, ends slow starts, and ends messages that may not be sent again or have no time left.
     */
    private void watch() {
        for (final Destination destination : List.copyOf(busy.values())) {
            for (final Lane lane : destination.lanes) {
                suspect(lane, 0);
                if (lane.phase == Phase.RAMP
                        && nowUs - lane.rampFromUs > settings.guarantees().coldUs()) {
                    lane.phase = Phase.WELL;
                }
            }
            for (final Job job : List.copyOf(destination.waiting)) {
                if (nowUs >= endUs(job) || !maySend(job)) {
                    // The client should come back when the present queue is served, not sooner.
                    finish(job, Math.max(PAUSE_US, destination.lineUs()));
                }
            }
        }
    }

    /** When a waiting message is ended: at its deadline or at the end of its key's window. */
    private long endUs(final Job job) {
        return Math.min(job.message.validUntilUs() - END_MARGIN_US, job.keyEndUs());
    }

    /** True if the message's effect and the maximum number of attempts allow another attempt. */
    private boolean maySend(final Job job) {
        final Effect effect = job.kind.effect();
        return job.attempts < settings.limits().mostAttempts()
                && (!job.mayHaveRun || effect == Effect.SAFE || effect == Effect.KEYED && nowUs < job.keyEndUs());
    }

    private static boolean mayRefuse(final Job job) {
        return !job.mayHaveRun
                || job.kind.effect() == Effect.SAFE
                || job.kind.effect() == Effect.KEYED && !job.kind.zoneKeyed();
    }

    /** Gives the final answer: a refusal if that is harmless, else a failure. */
    private void finish(final Job job, final long retryAfterUs) {
        if (mayRefuse(job)) {
            actions.refuse(
                    job.message.id(), Math.min(retryAfterUs, settings.limits().maxRetryAfterUs()));
        } else {
            actions.fail(job.message.id());
        }
        end(job);
    }

    private void end(final Job job) {
        open -= job.over ? 0 : 1;
        job.over = true;
        job.destination.waiting.remove(job);
        if (job.call == null) {
            if (job.line != null) {
                job.line.jobs.remove(job);
            }
            jobs.remove(job.message.id());
            if (--job.destination.jobs == 0) {
                busy.remove(job.message.destination());
            }
        }
    }

    /** Refuses the messages with least to gain, relative to their class's value, before the store is full. */
    private void makeRoom() {
        final int reserve = (int) Math.max(1, STORE_RESERVE * settings.limits().maxOpen());
        while (open > settings.limits().maxOpen() - reserve) {
            final Job least = busy.values().stream()
                    .flatMap(destination -> destination.waiting.stream())
                    .filter(Control::mayRefuse)
                    .min(Comparator.comparingDouble(job ->
                            worth(job, Math.min(nowUs + job.destination.lineUs(), job.keyEndUs() - 1))
                                    / job.kind.worth()))
                    .orElse(null);
            if (least == null) {
                return;
            }
            finish(least, SECOND_US);
        }
    }

    /** Meters a tenant against this courier's even part of its quota. True for a message beyond it. */
    private boolean overQuota(final int tenant) {
        final double whole = tenant < 0 ? 0 : settings.tenants().get(tenant).quotaPerSecond();
        final double quota = whole / settings.couriers();
        if (quota <= 0 || quotaUs[tenant] > nowUs + QUOTA_BURST * SECOND_US / quota) {
            return quota > 0;
        }
        quotaUs[tenant] = Math.max(quotaUs[tenant], nowUs) + (long) (SECOND_US / quota);
        return false;
    }

    /**
     * Requests a wake-up for the next change that time alone brings: a pause, a deadline, an overdue call or a window
     * step.
     */
    private void sleep() {
        long next = Math.min(nextStepUs, askAgainUs);
        for (final Destination destination : busy.values()) {
            for (final Lane lane : destination.lanes) {
                for (final Call call : lane.calls) {
                    next = Math.min(next, call.overdueUs() > nowUs ? call.overdueUs() : NEVER);
                }
                if (!destination.waiting.isEmpty()) {
                    next = Math.min(next, Math.max(openAtUs(lane), nowUs + POLL_US));
                }
            }
            for (final Job job : destination.waiting) {
                next = Math.min(next, endUs(job));
            }
        }
        if (wakeUs <= nowUs || wakeUs > next) {
            wakeUs = Math.max(nowUs + 1, next);
            actions.wake(wakeUs - nowUs);
        }
    }

    // ---------------------------------------------------------------- list of endpoints

    @Override
    public void onList(final long now, final Update update, final List<Endpoint> entries) {
        nowUs = now;
        unconfirmed = update == Update.RESTORED && settings.listOnRequest();
        if (update == Update.LOST) {
            subscribed = false;
            askAgainUs = nowUs + jitter(askBackOffUs);
            askBackOffUs = Math.min(2 * askBackOffUs, ASK_MOST_US);
            return;
        }
        askAgainUs = NEVER;
        askBackOffUs = ASK_LEAST_US;
        if (update != Update.CHANGES) {
            nodes.values().forEach(node -> node.condition = Condition.GONE);
        }
        for (final Endpoint entry : entries) {
            Node node = nodes.get(entry.id());
            if (node == null) {
                node = new Node(entry, lane(entry), classMeanUs.length);
                node.lane.nodes.add(node);
                // A new endpoint has no part in the outage of earlier ones, so it may be tried at once.
                node.lane.nextTrialUs = Math.min(node.lane.nextTrialUs, nowUs);
                nodes.put(entry.id(), node);
            }
            node.condition = entry.condition();
            node.lane.told = settings.weights() == Weights.NONE ? node.lane.told : entry.weight();
        }
        // A separate route is not forgotten at once: if it is listed again, its wait and outage still hold.
        nodes.values()
                .removeIf(node -> node.condition == Condition.GONE
                        && node.inFlight == 0
                        && !node.lane.kind.routesApart()
                        && node.lane.nodes.remove(node));
    }

    /** Forgets endpoints and destinations that are no longer listed and have long been unused. */
    private void forget() {
        final long beforeUs = nowUs - FORGET_US;
        nodes.values()
                .removeIf(node -> node.condition == Condition.GONE
                        && node.inFlight == 0
                        && node.lane.lastSendUs < beforeUs
                        && node.lane.nodes.remove(node));
        destinations.values().removeIf(destination -> {
            if (destination.jobs == 0) {
                destination.lanes.removeIf(
                        lane -> lane.nodes.isEmpty() && lane.lastSendUs < beforeUs && lane.waitUntilUs < nowUs);
            }
            return destination.jobs == 0 && destination.lanes.isEmpty();
        });
    }

    private Lane lane(final Endpoint entry) {
        final Destination destination = destination(entry.destination());
        final Kind kind =
                entry.kind() < 0 ? new Kind("", false, 1) : settings.kinds().get(entry.kind());
        if (kind.routesApart() || destination.lanes.isEmpty()) {
            final boolean few = settings.couriers() <= FEW_COURIERS;
            destination.lanes.add(new Lane(entry.destination(), kind, few ? WINDOW_START : WINDOW_RARE));
        }
        return destination.lanes.get(destination.lanes.size() - 1);
    }

    @Override
    public String describe(final long now) {
        final StringBuilder text = new StringBuilder("open " + open + ", calls in flight " + callsOut + " of "
                + settings.limits().slots());
        busy.forEach((id, destination) -> {
            text.append("; ")
                    .append(id)
                    .append(": ")
                    .append(destination.waiting.size())
                    .append(" waiting");
            for (final Lane lane : destination.lanes) {
                text.append(String.format(
                        Locale.ROOT,
                        ", %s, %d per call, %s, %d in flight, window %.1f, rate %.1f/s, limit %.1f/s, send rate %.1f/s, paused %d ms",
                        lane.kind.name(),
                        lane.kind.messagesPerCall(),
                        lane.phase.logName(),
                        lane.calls.size(),
                        lane.window,
                        lane.rate,
                        lane.told,
                        lane.spacing,
                        Math.max(0, Math.max(lane.waitUntilUs, lane.pauseUntilUs) - now) / 1000));
            }
        });
        return text.toString();
    }

    /** Number of destinations that are kept in memory. */
    int destinationsKnown() {
        return destinations.size();
    }

    private Destination destination(final long id) {
        return destinations.computeIfAbsent(id, unused -> new Destination());
    }

    /** Requests the list where the settings ask for it: once at the start, and again after a loss. */
    private void keepList() {
        if (settings.listOnRequest() && (askAgainUs == NEVER ? !subscribed : nowUs >= askAgainUs)) {
            subscribed = true;
            askAgainUs = nowUs + Math.min(ASK_MOST_US, settings.guarantees().mustAskUs() / 2);
            actions.follow();
        }
    }

    // ---------------------------------------------------------------- state

    /** A destination: its waiting messages and its routes (one, unless they are separate). */
    private static final class Destination {
        private final List<Job> waiting = new ArrayList<>();
        private final List<Lane> lanes = new ArrayList<>();
        /** Messages that are waiting or in flight. */
        private int jobs;

        /** Time to serve the waiting messages at the recent rate, us. */
        private long lineUs() {
            final double rate = Math.max(
                    LEAST_RATE, lanes.stream().mapToDouble(lane -> lane.rate).sum());
            return (long) (waiting.size() / rate * SECOND_US);
        }
    }

    /** The unit of the window: a destination, or one of its separate routes. */
    private static final class Lane {
        private final long id;
        private final Kind kind;
        private final List<Node> nodes = new ArrayList<>();
        private final List<Call> calls = new ArrayList<>();
        private double window;
        /** Calls that the predecessor process still has in flight there. */
        private int elsewhere;
        /** Counts of this step in messages, and the sum of latency ratios. */
        private int peak, refused, delivered;
        /** Counts of this step in calls. */
        private double served, bad, errors;

        private double ratioSum;
        private Allowance allowance;
        /** Slow averages: rates of messages and calls served, latency ratio, and pace relative to other routes. */
        private int steps, paceSamples;

        private double rate, callRate, slowRatio = 1, pace = 1, stretch = 1;
        /** Load of the last call on a cold destination, in calls. */
        private double lastWeight = 1;
        /** The known limit (0: none) and the present maximum send rate, per second. */
        private double told, spacing = Double.POSITIVE_INFINITY;
        /** The last report: the limit (0: none) and its unused share. */
        private double reportedLimit, shareLeft;

        private boolean slow;
        private Phase phase = Phase.WELL;
        private double badRun, failShare, rampSpanUs;
        /** Since when nothing was served; {@code NEVER} while there is no trouble. */
        private long troubleFromUs = NEVER;

        private long waitUntilUs, pauseUntilUs, nextTrialUs, rampFromUs, lastSendUs, lastServedUs;
        /** The last verdict of the tier, the last failed call, and the last probe permit used. */
        private Standing heard = Standing.WELL;

        private long badUs, permitUs;

        private Lane(final long id, final Kind kind, final double window) {
            this.id = id;
            this.kind = kind;
            this.window = window;
        }
    }

    /** An endpoint and what was learnt about it. */
    private static final class Node {
        private final Endpoint entry;
        private final Lane lane;
        private Condition condition;
        private int inFlight, connections;
        /** Consecutive failures of each class, and until when that class avoids this endpoint. */
        private final double[] badRun;

        private final long[] avoidUntilUs;
        private long lastUseUs, lastSendUs, lastServedUs;
        /** Disabled by the operators, and when it was last enabled again. */
        private boolean barred;

        private long backUs;
        /** Until when its kept connections are not used for unsafe messages. */
        private long staleUntilUs;

        private Node(final Endpoint entry, final Lane lane, final int classes) {
            this.badRun = new double[classes];
            this.avoidUntilUs = new long[classes];
            this.entry = entry;
            this.lane = lane;
        }

        private boolean isOpen() {
            return condition == Condition.LISTED && !barred;
        }
    }

    /** A call in flight, with one or more messages. */
    private static final class Call {
        private Node node;
        /** Number of messages sent with it, and of those without an outcome. */
        private int size, messages;

        private long sentUs, expectedUs, idleUs;
        /** The earliest deadline of its messages. */
        private long validUntilUs = NEVER;
        /** As far as is known, it used a kept connection; and it failed only because that connection was dead. */
        private boolean reused, stale;

        private boolean calledOff;
        /** It carries unsafe messages. */
        private boolean unsafe;

        private long overdueUs() {
            return sentUs + Math.max(OVERDUE_LEAST_US, (long) (OVERDUE_TIMES * expectedUs));
        }
    }

    /** A message that has no final answer yet, or still has an attempt in flight. */
    private static final class Job {
        private final Message message;
        private final MessageClass kind;
        private final long aimUs;
        private Destination destination;
        private KeyLine line;
        private Call call;
        /** The route and urgency found when the message was last considered. */
        private Lane lane;

        private double urgency;
        private int attempts;
        private boolean overQuota, mayHaveRun, over;
        private long firstRunUs = NEVER;
        private String runZone = "";

        private Job(final Message message, final MessageClass kind) {
            this.message = message;
            this.kind = kind;
            this.aimUs = message.validUntilUs() - kind.deadlineUs() + kind.aimUs();
        }

        /** Until when the message may be sent. A key that may already be in use limits this like a deadline. */
        private long keyEndUs() {
            final long windowUs = (long) ((1 - KEY_MARGIN) * kind.keyWindowUs());
            return !mayHaveRun || kind.effect() != Effect.KEYED
                    ? message.validUntilUs()
                    : Math.min(message.validUntilUs(), firstRunUs + windowUs);
        }
    }

    /** The messages of one key, in the order of acceptance. */
    private static final class KeyLine {
        private final List<Job> jobs = new ArrayList<>();
        private long restUntilUs;
    }
}
