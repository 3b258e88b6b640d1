package driftchute.fleet.verdict;

import driftchute.Courier;
import driftchute.Courier.TierHealth;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import driftchute.fleet.Component;
import driftchute.fleet.GossipSource;
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
public final class Verdicts implements Component, GossipSource {
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
    private static final int ENOUGH = 3;

    private static final long MS_US = 1000;

    /** The last assessment of a destination. {@code sinceUs} stays the same while the verdict does. */
    private record Shown(Judgement judged, long sinceUs) {}

    private final Tier tier;
    private final Terms terms;
    private final EventLog events;
    private final Evidence evidence;
    private final Rumours rumours;
    private final Trier trier;
    private final Trials trials;
    private final Map<Long, Own> owns = new HashMap<>();
    private final Map<Long, Shown> shown = new TreeMap<>();
    private long startedMs = Long.MIN_VALUE;
    private long exchangedUs = Long.MIN_VALUE / 2;
    private long pulledUs = Long.MIN_VALUE / 2;
    private long refused;

    /** Starts without evidence. {@code seed} is the only source of randomness. */
    public Verdicts(final Tier tier, final Terms terms, final LeasedRole duty, final long seed, final EventLog events) {
        final Random random = new Random(seed);
        this.tier = tier;
        this.terms = terms;
        this.events = events;
        this.evidence = new Evidence(terms);
        this.rumours = new Rumours(tier, evidence, random);
        this.trier = new Trier(duty, terms, events);
        this.trials = new Trials(duty, terms, random, events);
    }

    /**
     * Handles what this courier's calls show about all its destinations, about every 100 ms. {@link #tick} then sends
     * what is new. Times are on this process's monotonic clock.
     */
    public void reports(final ClockReading now, final List<Courier.DestinationReport> reports) {
        begin(now);
        owns.keySet()
                .retainAll(reports.stream().map(Courier.DestinationReport::destination).collect(Collectors.toSet()));
        for (final Courier.DestinationReport report : reports) {
            if (report.destination() >= 0) {
                update(now, report);
            }
        }
        refresh(now);
    }

    private void update(final ClockReading now, final Courier.DestinationReport report) {
        final long destination = report.destination();
        final Own own = owns.computeIfAbsent(destination, unused -> new Own());
        final long lastUs = own.lastUs();
        final long servedUs = own.servedUs();
        own.update(now, report);
        if (own.servedUs() != servedUs) {
            trials.ended(destination, own.servedUs(), true);
        } else if (own.lastUs() != lastUs) {
            trials.ended(destination, own.lastUs(), false);
        }
        if (own.isTrouble()) {
            accuse(now, destination, own);
        }
        acquit(now, destination);
    }

    /** Reports this courier's own trouble if that is news or a renewal is due. */
    private void accuse(final ClockReading now, final long destination, final Own own) {
        final Outage outage = evidence.of(destination);
        final BadReport before = outage.of(tier.self());
        final BadReport report = own.report(now, destination, tier.self(), before, terms);
        if (outage.back().ends(report, terms.lateMs())) {
            own.end();
        }
        final long freshMs = now.wallMs() - terms.staleMs() / RENEWALS;
        final boolean due = before == null
                || before.failed() == 0
                || before.madeMs() <= freshMs
                || outage.back().ends(before, terms.lateMs())
                || report.shutMs() > 0 && before.shutMs() == 0;
        final long others = outage.live(now.wallMs(), terms).stream()
                .filter(other -> other.reporter() != tier.self() && other.madeMs() > freshMs)
                .count();
        if (due && !own.isEnded() && (others < ENOUGH || report.shutMs() > 0)) {
            take(now, report);
        }
    }

    /** Reports this courier's own delivered call if it is later than all evidence against the destination. */
    private void acquit(final ClockReading now, final long destination) {
        final Outage outage = evidence.outages().get(destination);
        final Own own = owns.get(destination);
        if (outage == null || own == null) {
            return;
        }
        final List<BadReport> live = outage.live(now.wallMs(), terms);
        final long servedMs = own.servedMs(now);
        if (!live.isEmpty() && live.stream().allMatch(report -> report.lastMs() < servedMs)) {
            final Return.Seen seen = new Return.Seen(servedMs, tier.self());
            final boolean out = outage.judge(now.wallMs(), terms).standing() == TierHealth.DOWN;
            take(now, new Return(destination, seen, out ? seen : outage.back().back()));
        }
    }

    private boolean take(final ClockReading now, final Entry entry) {
        final TierHealth before =
                evidence.of(entry.destination()).judge(now.wallMs(), terms).standing();
        final boolean news = evidence.take(entry);
        if (news) {
            rumours.add(
                    entry.key(),
                    evidence.of(entry.destination()).judge(now.wallMs(), terms).standing() != before);
        }
        return news;
    }

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(
                BadReport.TYPE,
                body -> BadReport.read(body, tier.size(), terms.staleMs()),
                Return.TYPE,
                body -> Return.read(body, tier.size()),
                Words.Digest.TYPE,
                Words.Digest::read,
                Words.Pull.TYPE,
                Words.Pull::read,
                Words.Ask.TYPE,
                Words.Ask::read,
                Words.Answer.TYPE,
                Words.Answer::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        begin(now);
        if (message instanceof Entry entry) {
            hear(now, entry);
        } else if (message instanceof Words.Digest digest) {
            if (digest.sum() != evidence.digest() && now.monoUs() - exchangedUs >= EXCHANGE_US) {
                exchangedUs = now.monoUs();
                out.send(from, new Words.Pull());
                evidence.window(Rumours.MAX_BYTES).forEach(entry -> out.send(from, entry));
            }
        } else if (message instanceof Words.Pull) {
            if (now.monoUs() - pulledUs >= PULL_US) {
                pulledUs = now.monoUs();
                evidence.window(Rumours.MAX_BYTES).forEach(entry -> out.send(from, entry));
            }
        } else if (message instanceof Words.Ask ask) {
            final Outage outage = evidence.of(ask.destination());
            final Judgement judged = outage.judge(now.wallMs(), terms);
            if (judged.standing() != TierHealth.DOWN) {
                outage.entries().forEach(entry -> out.send(from, entry));
            }
            trier.answer(now, from, ask, judged).ifPresent(answer -> out.send(from, answer));
        } else if (message instanceof Words.Answer answer) {
            trials.answered(now, from, answer);
        }
        rumours.round(now, out);
    }

    /** Handles an entry of another courier, and answers it if this courier's own calls contradict it. */
    private void hear(final ClockReading now, final Entry entry) {
        if (!entry.isTimely(now.wallMs(), terms)) {
            refused++;
        } else if (entry.slot() == tier.self() && isForged((BadReport) entry)) {
            final long madeMs = entry.stampMs() + 1;
            take(now, new BadReport(entry.destination(), tier.self(), madeMs, madeMs, madeMs, 0, 0));
        } else if (take(now, entry)) {
            acquit(now, entry.destination());
        } else if (!evidence.outages().containsKey(entry.destination())) {
            refused++;
        }
        refresh(now);
    }

    /** Whether a report in this courier's name is later than any that this process made. */
    private boolean isForged(final BadReport report) {
        final BadReport mine = evidence.of(report.destination()).of(tier.self());
        return report.madeMs() > Math.max(startedMs, mine == null ? 0 : mine.madeMs());
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        begin(now);
        evidence.forget(now.wallMs());
        refresh(now);
        final Set<Long> down = shown.entrySet().stream()
                .filter(entry -> isOut(entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        trier.tick(now, down);
        trials.tick(now, down);
        for (final long destination : down) {
            final Own own = owns.get(destination);
            if (own != null
                    && own.waiting() > 0
                    && shown.get(destination).judged().shutMs() <= now.wallMs()) {
                trials.want(now, destination, out);
            }
        }
        rumours.round(now, out);
        final long nextUs = now.monoUs() + (evidence.outages().isEmpty() ? IDLE_US : TICK_US);
        return Math.max(now.monoUs() + 1, Math.min(nextUs, rumours.dueUs()));
    }

    private static boolean isOut(final Shown of) {
        return of.judged().standing() == TierHealth.DOWN;
    }

    @Override
    public List<Message> gossip(final ClockReading now, final int peer, final int room) {
        final Words.Digest digest = new Words.Digest(evidence.digest());
        return evidence.outages().isEmpty()
                        || rumours.isTelling(now)
                        || now.monoUs() == exchangedUs
                        || now.monoUs() == pulledUs
                        || Evidence.bytes(digest) > room
                ? List.of()
                : List.of(digest);
    }

    private void begin(final ClockReading now) {
        startedMs = startedMs == Long.MIN_VALUE ? now.wallMs() : startedMs;
    }

    /** Assesses all destinations again and logs each verdict that changed. */
    private void refresh(final ClockReading now) {
        shown.keySet().stream()
                .filter(destination -> !evidence.outages().containsKey(destination))
                .toList()
                .forEach(destination -> show(now, destination, Judgement.WELL));
        evidence.outages().forEach((destination, outage) -> show(now, destination, outage.judge(now.wallMs(), terms)));
    }

    private void show(final ClockReading now, final long destination, final Judgement to) {
        final Shown before = shown.get(destination);
        final Judgement from = before == null ? Judgement.WELL : before.judged();
        if (to.standing() != from.standing()) {
            events.event(
                    "verdict",
                    "destination",
                    destination,
                    "from",
                    from.standing().logName(),
                    "to",
                    to.standing().logName(),
                    "by",
                    to.by().stream().map(String::valueOf).collect(Collectors.joining(",")),
                    "failed",
                    to.failed(),
                    "since_ms",
                    to.sinceMs(),
                    "episode",
                    to.episode());
        }
        if (to.standing() == TierHealth.HEALTHY) {
            shown.remove(destination);
        } else {
            final boolean same = to.standing() == from.standing() && to.sinceMs() == from.sinceMs();
            shown.put(
                    destination,
                    new Shown(to, same ? before.sinceUs() : Math.min(now.monoUs(), monoUs(now, to.sinceMs()))));
        }
    }

    /** The present verdicts on all destinations that are not healthy, on this process's clock. */
    public Map<Long, Courier.Verdict> verdicts(final ClockReading now) {
        refresh(now);
        final Map<Long, Courier.Verdict> verdicts = new HashMap<>();
        shown.forEach((destination, of) -> verdicts.put(
                destination,
                new Courier.Verdict(
                        of.judged().standing(),
                        of.sinceUs(),
                        of.judged().shutMs() == 0 ? 0 : monoUs(now, of.judged().shutMs()),
                        monoUs(now, of.judged().staleMs()),
                        isOut(of) ? trials.untilUs(now, destination) : Long.MAX_VALUE)));
        return verdicts;
    }

    private static long monoUs(final ClockReading now, final long wallMs) {
        return now.monoUs() + (wallMs - now.wallMs()) * MS_US;
    }

    /** Number of refused entries: from the future, too old, or for too many destinations. */
    public long refused() {
        return refused;
    }
}
