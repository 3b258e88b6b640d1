package driftchute.fleet.session;

import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.EventLog;
import driftchute.fleet.GossipSource;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Session classes, which decide what may share a call (docs/session-classes.md). Receives how each call ended, combines
 * what the couriers know of each session, and derives its class. Used by one thread; the traffic reads {@link #view}.
 */
public final class Sessions implements Component, GossipSource {
    /**
     * Maximum number of sessions, evicted by the least recent call: 4 MB with ten couriers that all see all of them.
     */
    static final int MAX_SESSIONS = 4096;
    /** Maximum number of epochs of sessions that are no longer, or not yet, stored. */
    private static final int MAX_EVICTED_EPOCHS = 4096;
    /** Minimum number of own calls for a courier's counters to be worth sending. */
    private static final int MIN_CALLS_TO_SEND = 8;
    /** Maximum number of sessions examined for one datagram; some may have expired meanwhile. */
    private static final int MAX_EXAMINED = 64;
    /**
     * A message that arrives this soon after the previous one's end, us, so many times in a row, depends on it: a local
     * round trip.
     */
    private static final long DEPENDENT_WITHIN_US = 5_000;

    private static final int DEPENDENT_RUN = 4;
    /**
     * Size of a large body: three quarters of the largest (PROTOCOL: 64 KiB). Two of these make a call that is
     * expensive to repeat.
     */
    private static final int LARGE_BODY_BYTES = 48 * 1024;

    private static final long TICK_US = 1_000_000;

    private static final class SessionEntry {
        final SessionState state;
        SessionClass earnedClass = SessionClass.OWN;
        long evidenceUs;
        long lastCallUs;
        long lastEndUs = Long.MAX_VALUE;
        int dependentInRow;

        SessionEntry(final int epoch) {
            state = new SessionState(epoch);
        }
    }

    private final Tier tier;
    private final long processGeneration;
    private final long staleUs;
    private final EventLog events;
    private final LruMap<Integer> evictedEpochs = new LruMap<>(MAX_EVICTED_EPOCHS);
    private final LruMap<SessionEntry> sessions = new LruMap<>(MAX_SESSIONS, this::onEvicted);
    private final TreeMap<Long, SessionEntry> toSend = new TreeMap<>();
    private final Map<Integer, Long> cursors = new HashMap<>();
    private final Baseline baseline;
    private final GroupTesting groupTesting;
    private final DemotionGossip gossip;
    private long validUntilUs = Long.MIN_VALUE;

    /**
     * Starts without evidence: every session is {@code OWN}.
     *
     * @param processGeneration generation of this process, which grows with every start of this courier, 0 or more
     * @param staleUs age at which evidence expires, us
     * @param seed for the search among suspects
     */
    public Sessions(
            final Tier tier, final long processGeneration, final long staleUs, final long seed, final EventLog events) {
        this.tier = tier;
        this.processGeneration = processGeneration;
        this.staleUs = staleUs;
        this.events = events;
        baseline = new Baseline(staleUs);
        groupTesting = new GroupTesting(seed);
        gossip = new DemotionGossip(tier.self(), tier.size());
    }

    // ---------------------------------------------------------------- classes

    /**
     * This courier hears from a majority of the tier, itself included. Classes are valid for {@code staleUs} from the
     * last call.
     */
    public void onMajorityHeard(final ClockReading now) {
        validUntilUs = now.monoUs() + staleUs;
    }

    /** A session's class as this courier knows it. */
    public SessionClass classOf(final long session, final ClockReading now) {
        final SessionEntry entry = sessions.get(session);
        return entry == null || now.monoUs() >= validUntilUs || !fresh(entry, now)
                ? SessionClass.OWN
                : entry.earnedClass;
    }

    private boolean fresh(final SessionEntry entry, final ClockReading now) {
        return now.monoUs() - entry.evidenceUs < staleUs;
    }

    /** All sessions that may share calls, for the traffic. Iterates over all sessions. */
    public SessionView view(final ClockReading now) {
        final Map<Long, SessionClass> classes = new HashMap<>();
        sessions.entries().forEach((session, entry) -> {
            if (entry.earnedClass != SessionClass.OWN && fresh(entry, now)) {
                classes.put(session, entry.earnedClass);
            }
        });
        return new SessionView(classes, groupTesting.groups(), validUntilUs);
    }

    /** A session's class and the reasons for it, in one line for the operators. */
    public String describe(final long session, final ClockReading now) {
        final SessionEntry entry = sessions.get(session);
        if (entry == null) {
            return String.format("session %016x: own, not held; epoch %d", session, epochOf(session));
        }
        final Counters all = SessionClassifier.sum(entry.state);
        return String.format(
                Locale.ROOT,
                "session %016x: %s (earned %s), epoch %d, %d of %d calls failed (under %.3f), "
                        + "%d of %d merged (over %.3f), dependent %d, retried %d, large %d, effects %d, group %d",
                session,
                name(classOf(session, now)),
                name(entry.earnedClass),
                entry.state.epoch(),
                all.failedCalls(),
                all.ownCalls(),
                WilsonInterval.upper(all.failedCalls(), all.ownCalls()),
                all.mergedFailures(),
                all.mergedCalls(),
                WilsonInterval.lower(all.mergedFailures(), all.mergedCalls()),
                all.dependentCalls(),
                all.retriedCalls(),
                all.largeCalls(),
                all.effects(),
                groupTesting.groupOf(session));
    }

    private static String name(final SessionClass one) {
        return one.name().toLowerCase(Locale.ROOT);
    }

    // ---------------------------------------------------------------- outcomes of calls

    /** Records the end of a call. */
    public void observe(final ClockReading now, final CallOutcome call, final Outbox out) {
        for (final CallOutcome.Share share : call.shares()) {
            recordProperties(now, share);
        }
        if (call.result().informative) {
            if (call.result().failed) {
                onFailed(now, call, out);
            } else {
                onSucceeded(now, call, out);
            }
        }
        call.sessions().stream().map(sessions::get).forEach(this::updateClass);
    }

    private void updateClass(final SessionEntry entry) {
        entry.earnedClass = SessionClassifier.classOf(entry.state, tier.self());
    }

    private void recordProperties(final ClockReading now, final CallOutcome.Share share) {
        final SessionEntry entry = sessions.use(share.session(), this::fresh);
        entry.lastCallUs = now.monoUs();
        entry.evidenceUs = now.monoUs();
        final long sinceEndUs = share.acceptedUs() - entry.lastEndUs;
        final boolean after = entry.lastEndUs != Long.MAX_VALUE && sinceEndUs >= 0 && sinceEndUs <= DEPENDENT_WITHIN_US;
        entry.dependentInRow = after && share.messages() == 1 ? entry.dependentInRow + 1 : 0;
        entry.lastEndUs = now.monoUs();
        int dependent = 0;
        if (entry.dependentInRow >= DEPENDENT_RUN) {
            dependent = entry.dependentInRow == DEPENDENT_RUN ? DEPENDENT_RUN : 1;
        }
        record(
                share.session(),
                entry,
                ownCounters(entry)
                        .plusProperties(
                                dependent,
                                share.retried() > 0,
                                share.largestBodyBytes() >= LARGE_BODY_BYTES,
                                1 << share.effect().ordinal()));
    }

    private SessionEntry fresh(final long session) {
        final Integer epoch = evictedEpochs.remove(session);
        return new SessionEntry(epoch == null ? 0 : epoch);
    }

    private void onEvicted(final long session, final SessionEntry entry) {
        if (entry.state.epoch() > 0) {
            evictedEpochs.put(session, entry.state.epoch());
        }
        toSend.remove(session);
        groupTesting.forget(session);
    }

    private Counters ownCounters(final SessionEntry entry) {
        return entry.state.byCourier().getOrDefault(tier.self(), Counters.none(processGeneration));
    }

    private void record(final long session, final SessionEntry entry, final Counters counters) {
        entry.state.join(entry.state.epoch(), tier.self(), counters);
        if (counters.ownCalls() + counters.mergedCalls() >= MIN_CALLS_TO_SEND) {
            toSend.put(session, entry);
        }
    }

    private void onSucceeded(final ClockReading now, final CallOutcome call, final Outbox out) {
        final List<Long> all = call.sessions();
        if (baseline.healthForOthers(call.destination(), all, now.monoUs()) != Baseline.Health.UNHEALTHY) {
            for (final long session : all) {
                final SessionEntry entry = sessions.get(session);
                record(
                        session,
                        entry,
                        all.size() > 1
                                ? ownCounters(entry).plusMerged(false)
                                : ownCounters(entry).plusCall(false));
            }
        }
        all.forEach(session -> baseline.onCallEnded(call.destination(), session, true, now.monoUs()));
        for (final long session : groupTesting.onSucceeded(all)) {
            final SessionEntry entry = sessions.get(session);
            record(session, entry, ownCounters(entry).plusMerged(true));
            if (SessionClassifier.harmsMergedCalls(entry.state)) {
                demote(now, session, entry, "merged", out);
            }
        }
    }

    private void onFailed(final ClockReading now, final CallOutcome call, final Outbox out) {
        final List<Long> all = call.sessions();
        final Baseline.Health health = baseline.healthForOthers(call.destination(), all, now.monoUs());
        if (all.size() == 1) {
            baseline.onCallEnded(call.destination(), all.get(0), false, now.monoUs());
        }
        if (health == Baseline.Health.UNHEALTHY) {
            return;
        }
        if (all.size() > 1) {
            // A session that was demoted while the call was in flight explains its failure.
            if (all.stream()
                    .map(sessions::get)
                    .noneMatch(entry -> entry.state.epoch() > 0 && entry.earnedClass == SessionClass.OWN)) {
                groupTesting.onFailed(all);
            }
            return;
        }
        final long session = all.get(0);
        final SessionEntry entry = sessions.get(session);
        final boolean shares = entry.earnedClass != SessionClass.OWN || groupTesting.groupOf(session) != 0;
        record(session, entry, ownCounters(entry).plusCall(true));
        if (shares && groupTesting.onFailedAlone(session) && health == Baseline.Health.HEALTHY) {
            demote(now, session, entry, "alone", out);
        }
    }

    private void demote(
            final ClockReading now, final long session, final SessionEntry entry, final String why, final Outbox out) {
        final int epoch = Math.min(SessionState.MAX_EPOCH, entry.state.epoch() + 1);
        final Counters all = SessionClassifier.sum(entry.state);
        events.event(
                "session-demoted",
                "session",
                Long.toHexString(session),
                "epoch",
                epoch,
                "why",
                why,
                "calls",
                all.ownCalls(),
                "harms",
                all.failedCalls(),
                "merged",
                all.mergedCalls(),
                "merged_harms",
                all.mergedFailures());
        raiseEpoch(session, entry, epoch);
        gossip.start(now, session, epoch);
        gossip.sendDue(now, out);
    }

    private void raiseEpoch(final long session, final SessionEntry entry, final int epoch) {
        entry.state.raise(epoch);
        entry.earnedClass = SessionClass.OWN;
        toSend.remove(session);
        groupTesting.onProven(session);
    }

    // ---------------------------------------------------------------- messages between couriers

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(
                DemotionMessage.DEMOTED,
                body -> DemotionMessage.read(false, body),
                DemotionMessage.ACKNOWLEDGED,
                body -> DemotionMessage.read(true, body),
                CountersMessage.TYPE,
                CountersMessage::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        if (from < 0 || from >= tier.size() || from == tier.self()) {
            return;
        }
        if (message instanceof DemotionMessage demotion) {
            final boolean news = learnEpoch(demotion.session(), demotion.epoch());
            gossip.onConfirmed(from, demotion.session(), demotion.epoch());
            if (news) {
                gossip.onReceived(now, from, demotion.session(), demotion.epoch());
            }
            if (!demotion.isAnswer()) {
                out.send(from, new DemotionMessage(true, demotion.session(), epochOf(demotion.session())));
            }
        } else if (message instanceof CountersMessage counts) {
            counts.rows().forEach(row -> receive(now, from, row, out));
        }
    }

    private void receive(final ClockReading now, final int from, final CountersMessage.Row row, final Outbox out) {
        learnEpoch(row.session(), row.epoch());
        gossip.onConfirmed(from, row.session(), row.epoch());
        final int epoch = epochOf(row.session());
        final SessionEntry entry = sessions.get(row.session());
        if (row.epoch() < epoch) {
            out.send(from, new DemotionMessage(false, row.session(), epoch));
        } else if (entry != null) {
            entry.state.join(row.epoch(), from, row.counters());
            updateClass(entry);
            entry.evidenceUs = now.monoUs();
        }
    }

    /** Number of stored sessions. */
    int size() {
        return sessions.entries().size();
    }

    /** The known epoch of a session, stored or not. */
    int epochOf(final long session) {
        final SessionEntry entry = sessions.get(session);
        final Integer old = evictedEpochs.get(session);
        if (entry != null) {
            return entry.state.epoch();
        }
        return old == null ? 0 : old;
    }

    /** True if this epoch is news of a stored session. */
    private boolean learnEpoch(final long session, final int epoch) {
        if (epoch <= epochOf(session)) {
            return false;
        }
        final SessionEntry entry = sessions.get(session);
        if (entry == null) {
            evictedEpochs.put(session, epoch);
            return false;
        }
        events.event("session-demotion-heard", "session", Long.toHexString(session), "epoch", epoch);
        raiseEpoch(session, entry, epoch);
        return true;
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        return Math.max(now.monoUs() + 1, Math.min(now.monoUs() + TICK_US, gossip.sendDue(now, out)));
    }

    @Override
    public List<Message> gossip(final ClockReading now, final int peer, final int maxBytes) {
        final List<Message> messages = new ArrayList<>(gossip.gossip(peer, maxBytes));
        int freeBytes = maxBytes
                - messages.stream()
                        .mapToInt(message -> message.size() + DemotionGossip.PREFIX_BYTES)
                        .sum();
        freeBytes = CountersMessage.room(processGeneration, freeBytes);
        final List<CountersMessage.Row> rows = new ArrayList<>();
        final long from = cursors.getOrDefault(peer, Long.MIN_VALUE);
        final List<Map.Entry<Long, SessionEntry>> window = new ArrayList<>();
        for (final Map<Long, SessionEntry> part : List.of(toSend.tailMap(from, false), toSend.headMap(from, true))) {
            for (final Iterator<Map.Entry<Long, SessionEntry>> it =
                            part.entrySet().iterator();
                    it.hasNext() && window.size() < MAX_EXAMINED; ) {
                window.add(it.next());
            }
        }
        for (final Map.Entry<Long, SessionEntry> one : window) {
            final SessionEntry entry = one.getValue();
            if (now.monoUs() - entry.lastCallUs >= staleUs) {
                toSend.remove(one.getKey());
                continue;
            }
            final CountersMessage.Row row =
                    new CountersMessage.Row(one.getKey(), entry.state.epoch(), ownCounters(entry));
            if (row.size() > freeBytes) {
                break;
            }
            freeBytes -= row.size();
            rows.add(row);
            cursors.put(peer, one.getKey());
        }
        if (!rows.isEmpty()) {
            messages.add(new CountersMessage(processGeneration, rows));
        }
        return messages;
    }
}
