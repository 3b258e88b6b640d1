package driftchute.fleet.verdict;

import driftchute.Courier;
import driftchute.Courier.TierHealth;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.GossipSource;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
import driftchute.fleet.Tier;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The fleet's verdicts on its destinations, and the probes of those that are down (docs/fleet-verdicts.md). Receives
 * what this courier's own calls show, shares it with the others, and combines all evidence.
 */
public final class HealthVerdicts implements Component, GossipSource {
    /** Intervals of the periodic work during trouble, us, and otherwise. */
    private static final long TICK_US = 50_000;

    private static final long IDLE_US = 1_000_000;
    /**
     * Minimum intervals between exchanges that this courier starts, and that it answers, us; they bound the cost of
     * digests.
     */
    private static final long EXCHANGE_US = 200_000;

    private static final long PULL_US = 20_000;
    /** Number of renewals of a report before it expires, since some may be lost. */
    private static final int RENEWALS = 4;
    /** With so many fresh reports of others no more are made: two establish an outage, and one may be withdrawn. */
    private static final int ENOUGH_REPORTS = 3;

    private static final long US_PER_MS = 1000;

    /** The last assessment of a destination. {@code sinceUs} stays the same while the verdict does. */
    private record PublishedVerdict(Assessment assessment, long sinceUs) {}

    private final Tier tier;
    private final VerdictTiming timing;
    private final EventLog events;
    private final EvidenceStore evidence;
    private final EvidenceGossip gossip;
    private final ProbeCoordinator coordinator;
    private final ProbeRequests probes;
    private final Map<Long, LocalObservations> observations = new HashMap<>();
    private final Map<Long, PublishedVerdict> published = new TreeMap<>();
    private long startedMs = Long.MIN_VALUE;
    private long exchangedUs = Long.MIN_VALUE / 2;
    private long pulledUs = Long.MIN_VALUE / 2;
    private long refused;

    /** Starts without evidence. {@code seed} is the only source of randomness. */
    public HealthVerdicts(
            final Tier tier,
            final VerdictTiming timing,
            final LeasedRole role,
            final long seed,
            final EventLog events) {
        final Random random = new Random(seed);
        this.tier = tier;
        this.timing = timing;
        this.events = events;
        this.evidence = new EvidenceStore(timing);
        this.gossip = new EvidenceGossip(tier, evidence, random);
        this.coordinator = new ProbeCoordinator(role, timing, events);
        this.probes = new ProbeRequests(role, timing, random, events);
    }

    /**
     * Handles what this courier's calls show about all its destinations, about every 100 ms. {@link #tick} then sends
     * what is new. Times are on this process's monotonic clock.
     */
    public void onReports(final ClockReading now, final List<Courier.DestinationReport> reports) {
        recordStart(now);
        observations
                .keySet()
                .retainAll(reports.stream()
                        .map(Courier.DestinationReport::destination)
                        .collect(Collectors.toSet()));
        for (final Courier.DestinationReport report : reports) {
            if (report.destination() >= 0) {
                update(now, report);
            }
        }
        refresh(now);
    }

    private void update(final ClockReading now, final Courier.DestinationReport report) {
        final long destination = report.destination();
        final LocalObservations observed = observations.computeIfAbsent(destination, unused -> new LocalObservations());
        final long lastUs = observed.lastFailureUs();
        final long servedUs = observed.lastServedUs();
        observed.update(now, report);
        if (observed.lastServedUs() != servedUs) {
            probes.onCallEnded(destination, observed.lastServedUs(), true);
        } else if (observed.lastFailureUs() != lastUs) {
            probes.onCallEnded(destination, observed.lastFailureUs(), false);
        }
        if (observed.isDown()) {
            reportFailure(now, destination, observed);
        }
        reportRecovery(now, destination);
    }

    /** Reports this courier's own trouble if that is news or a renewal is due. */
    private void reportFailure(final ClockReading now, final long destination, final LocalObservations observed) {
        final DestinationEvidence known = evidence.of(destination);
        final FailureReport before = known.reportOf(tier.self());
        final FailureReport report = observed.report(now, destination, tier.self(), before, timing);
        if (known.recovery().refutes(report, timing.lateCallMs())) {
            observed.refute();
        }
        final long freshMs = now.wallMs() - timing.staleMs() / RENEWALS;
        final boolean due = before == null
                || before.failedCalls() == 0
                || before.createdMs() <= freshMs
                || known.recovery().refutes(before, timing.lateCallMs())
                || report.closedUntilMs() > 0 && before.closedUntilMs() == 0;
        final long others = known.validReports(now.wallMs(), timing).stream()
                .filter(other -> other.reporter() != tier.self() && other.createdMs() > freshMs)
                .count();
        if (due && !observed.isRefuted() && (others < ENOUGH_REPORTS || report.closedUntilMs() > 0)) {
            add(now, report);
        }
    }

    /** Reports this courier's own delivered call if it is later than all evidence against the destination. */
    private void reportRecovery(final ClockReading now, final long destination) {
        final DestinationEvidence known = evidence.byDestination().get(destination);
        final LocalObservations observed = observations.get(destination);
        if (known == null || observed == null) {
            return;
        }
        final List<FailureReport> validReports = known.validReports(now.wallMs(), timing);
        final long servedMs = observed.lastServedMs(now);
        if (!validReports.isEmpty() && validReports.stream().allMatch(report -> report.lastFailureMs() < servedMs)) {
            final RecoveryEvidence.Delivery delivery = new RecoveryEvidence.Delivery(servedMs, tier.self());
            final boolean wasDown = known.assess(now.wallMs(), timing).health() == TierHealth.DOWN;
            add(
                    now,
                    new RecoveryEvidence(
                            destination,
                            delivery,
                            wasDown ? delivery : known.recovery().recovered()));
        }
    }

    private boolean add(final ClockReading now, final EvidenceEntry entry) {
        final TierHealth before =
                evidence.of(entry.destination()).assess(now.wallMs(), timing).health();
        final boolean news = evidence.add(entry);
        if (news) {
            gossip.add(
                    entry.key(),
                    evidence.of(entry.destination())
                                    .assess(now.wallMs(), timing)
                                    .health()
                            != before);
        }
        return news;
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(
                FailureReport.TYPE,
                body -> FailureReport.read(body, tier.size(), timing.staleMs()),
                RecoveryEvidence.TYPE,
                body -> RecoveryEvidence.read(body, tier.size()),
                VerdictMessages.Digest.TYPE,
                VerdictMessages.Digest::read,
                VerdictMessages.Pull.TYPE,
                VerdictMessages.Pull::read,
                VerdictMessages.ProbeRequest.TYPE,
                VerdictMessages.ProbeRequest::read,
                VerdictMessages.ProbeReply.TYPE,
                VerdictMessages.ProbeReply::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        recordStart(now);
        if (message instanceof EvidenceEntry entry) {
            onEntry(now, entry);
        } else if (message instanceof VerdictMessages.Digest digest) {
            if (digest.sum() != evidence.digest() && now.monoUs() - exchangedUs >= EXCHANGE_US) {
                exchangedUs = now.monoUs();
                out.send(from, new VerdictMessages.Pull());
                evidence.window(EvidenceGossip.MAX_BYTES).forEach(entry -> out.send(from, entry));
            }
        } else if (message instanceof VerdictMessages.Pull) {
            if (now.monoUs() - pulledUs >= PULL_US) {
                pulledUs = now.monoUs();
                evidence.window(EvidenceGossip.MAX_BYTES).forEach(entry -> out.send(from, entry));
            }
        } else if (message instanceof VerdictMessages.ProbeRequest request) {
            final DestinationEvidence known = evidence.of(request.destination());
            final Assessment assessment = known.assess(now.wallMs(), timing);
            if (assessment.health() != TierHealth.DOWN) {
                known.entries().forEach(entry -> out.send(from, entry));
            }
            coordinator.reply(now, from, request, assessment).ifPresent(answer -> out.send(from, answer));
        } else if (message instanceof VerdictMessages.ProbeReply answer) {
            probes.onReply(now, from, answer);
        }
        gossip.runRound(now, out);
    }

    /** Handles an entry of another courier, and answers it if this courier's own calls contradict it. */
    private void onEntry(final ClockReading now, final EvidenceEntry entry) {
        if (!entry.isTimely(now.wallMs(), timing)) {
            refused++;
        } else if (entry.slot() == tier.self() && isForged((FailureReport) entry)) {
            final long madeMs = entry.timestampMs() + 1;
            add(now, new FailureReport(entry.destination(), tier.self(), madeMs, madeMs, madeMs, 0, 0));
        } else if (add(now, entry)) {
            reportRecovery(now, entry.destination());
        } else if (!evidence.byDestination().containsKey(entry.destination())) {
            refused++;
        }
        refresh(now);
    }

    /** Whether a report in this courier's name is later than any that this process made. */
    private boolean isForged(final FailureReport report) {
        final FailureReport mine = evidence.of(report.destination()).reportOf(tier.self());
        return report.createdMs() > Math.max(startedMs, mine == null ? 0 : mine.createdMs());
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        recordStart(now);
        evidence.expire(now.wallMs());
        refresh(now);
        final Set<Long> down = published.entrySet().stream()
                .filter(entry -> isDown(entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        coordinator.tick(now, down);
        probes.tick(now, down);
        for (final long destination : down) {
            final LocalObservations observed = observations.get(destination);
            if (observed != null
                    && observed.waitingCalls() > 0
                    && published.get(destination).assessment().closedUntilMs() <= now.wallMs()) {
                probes.requestProbe(now, destination, out);
            }
        }
        gossip.runRound(now, out);
        final long nextUs = now.monoUs() + (evidence.byDestination().isEmpty() ? IDLE_US : TICK_US);
        return Math.max(now.monoUs() + 1, Math.min(nextUs, gossip.dueUs()));
    }

    private static boolean isDown(final PublishedVerdict of) {
        return of.assessment().health() == TierHealth.DOWN;
    }

    @Override
    public List<Message> gossip(final ClockReading now, final int peer, final int room) {
        final VerdictMessages.Digest digest = new VerdictMessages.Digest(evidence.digest());
        return evidence.byDestination().isEmpty()
                        || gossip.sentAt(now)
                        || now.monoUs() == exchangedUs
                        || now.monoUs() == pulledUs
                        || EvidenceStore.bytes(digest) > room
                ? List.of()
                : List.of(digest);
    }

    private void recordStart(final ClockReading now) {
        startedMs = startedMs == Long.MIN_VALUE ? now.wallMs() : startedMs;
    }

    /** Assesses all destinations again and logs each verdict that changed. */
    private void refresh(final ClockReading now) {
        published.keySet().stream()
                .filter(destination -> !evidence.byDestination().containsKey(destination))
                .toList()
                .forEach(destination -> publish(now, destination, Assessment.HEALTHY));
        evidence.byDestination()
                .forEach((destination, known) -> publish(now, destination, known.assess(now.wallMs(), timing)));
    }

    private void publish(final ClockReading now, final long destination, final Assessment to) {
        final PublishedVerdict before = published.get(destination);
        final Assessment from = before == null ? Assessment.HEALTHY : before.assessment();
        if (to.health() != from.health()) {
            events.event(
                    "verdict",
                    "destination",
                    destination,
                    "from",
                    from.health().logName(),
                    "to",
                    to.health().logName(),
                    "by",
                    to.reporters().stream().map(String::valueOf).collect(Collectors.joining(",")),
                    "failed",
                    to.failedCalls(),
                    "since_ms",
                    to.sinceMs(),
                    "episode",
                    to.episode());
        }
        if (to.health() == TierHealth.HEALTHY) {
            published.remove(destination);
        } else {
            final boolean same = to.health() == from.health() && to.sinceMs() == from.sinceMs();
            published.put(
                    destination,
                    new PublishedVerdict(
                            to, same ? before.sinceUs() : Math.min(now.monoUs(), monoUs(now, to.sinceMs()))));
        }
    }

    /** The present verdicts on all destinations that are not healthy, on this process's clock. */
    public Map<Long, Courier.Verdict> verdicts(final ClockReading now) {
        refresh(now);
        final Map<Long, Courier.Verdict> verdicts = new HashMap<>();
        published.forEach((destination, of) -> verdicts.put(
                destination,
                new Courier.Verdict(
                        of.assessment().health(),
                        of.sinceUs(),
                        of.assessment().closedUntilMs() == 0
                                ? 0
                                : monoUs(now, of.assessment().closedUntilMs()),
                        monoUs(now, of.assessment().expiresMs()),
                        isDown(of) ? probes.permitUntilUs(now, destination) : Long.MAX_VALUE)));
        return verdicts;
    }

    private static long monoUs(final ClockReading now, final long wallMs) {
        return now.monoUs() + (wallMs - now.wallMs()) * US_PER_MS;
    }

    /** Number of refused entries: from the future, too old, or for too many destinations. */
    public long refused() {
        return refused;
    }
}
