package driftchute.fleet.session;

import driftchute.fleet.EventLog;
import driftchute.fleet.Message;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Outbox;
import driftchute.fleet.Component;
import driftchute.fleet.GossipSource;
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
    private static final int MAX_FORGOTTEN = 4096;
    /** Minimum number of own calls for a courier's counters to be worth sending. */
    private static final int WORTH_TELLING = 8;
    /** Maximum number of sessions examined for one datagram; some may have expired meanwhile. */
    private static final int MAX_LOOKED_AT = 64;
    /**
     * A message that arrives this soon after the previous one's end, us, so many times in a row, depends on it: a local
     * round trip.
     */
    private static final long RIGHT_AFTER_US = 5_000;

    private static final int DEPENDENT_RUN = 4;
    /**
     * Size of a large body: three quarters of the largest (PROTOCOL: 64 KiB). Two of these make a call that is
     * expensive to repeat.
     */
    private static final int LARGE_BYTES = 48 * 1024;

    private static final long TICK_US = 1_000_000;

    private static final class Held {
        final SessionState state;
        SessionClass earned = SessionClass.OWN;
        long evidenceUs;
        long calledUs;
        long lastEndUs = Long.MAX_VALUE;
        int inTurn;

        Held(final int epoch) {
            state = new SessionState(epoch);
        }
    }

    private final Tier tier;
    private final long life;
    private final long staleUs;
    private final EventLog events;
    private final Latest<Integer> forgotten = new Latest<>(MAX_FORGOTTEN);
    private final Latest<Held> sessions = new Latest<>(MAX_SESSIONS, this::gone);
    private final TreeMap<Long, Held> telling = new TreeMap<>();
    private final Map<Integer, Long> cursors = new HashMap<>();
    private final Baseline baseline;
    private final Splitter splitter;
    private final Rumours rumours;
    private long freshUntilUs = Long.MIN_VALUE;

    /**
     * Starts without evidence: every session is {@code OWN}.
     *
     * @param life generation of this process, which grows with every start of this courier, 0 or more
     * @param staleUs age at which evidence expires, us
     * @param seed for the search among suspects
     */
    public Sessions(final Tier tier, final long life, final long staleUs, final long seed, final EventLog events) {
        this.tier = tier;
        this.life = life;
        this.staleUs = staleUs;
        this.events = events;
        baseline = new Baseline(staleUs);
        splitter = new Splitter(seed);
        rumours = new Rumours(tier.self(), tier.size());
    }

    // ---------------------------------------------------------------- classes

    /**
     * This courier hears from a majority of the tier, itself included. Classes are valid for {@code staleUs} from the
     * last call.
     */
    public void heardMajority(final ClockReading now) {
        freshUntilUs = now.monoUs() + staleUs;
    }

    /** A session's class as this courier knows it. */
    public SessionClass classOf(final long session, final ClockReading now) {
        final Held held = sessions.get(session);
        return held == null || now.monoUs() >= freshUntilUs || !fresh(held, now) ? SessionClass.OWN : held.earned;
    }

    private boolean fresh(final Held held, final ClockReading now) {
        return now.monoUs() - held.evidenceUs < staleUs;
    }

    /** All sessions that may share calls, for the traffic. Iterates over all sessions. */
    public SessionView view(final ClockReading now) {
        final Map<Long, SessionClass> classes = new HashMap<>();
        sessions.all().forEach((session, held) -> {
            if (held.earned != SessionClass.OWN && fresh(held, now)) {
                classes.put(session, held.earned);
            }
        });
        return new SessionView(classes, splitter.groups(), freshUntilUs);
    }

    /** A session's class and the reasons for it, in one line for the operators. */
    public String describe(final long session, final ClockReading now) {
        final Held held = sessions.get(session);
        if (held == null) {
            return String.format("session %016x: own, not held; epoch %d", session, epochOf(session));
        }
        final Counters all = Evidence.sum(held.state);
        return String.format(
                Locale.ROOT,
                "session %016x: %s (earned %s), epoch %d, %d of %d calls failed (under %.3f), "
                        + "%d of %d merged (over %.3f), dependent %d, retried %d, large %d, effects %d, group %d",
                session,
                name(classOf(session, now)),
                name(held.earned),
                held.state.epoch(),
                all.harms(),
                all.calls(),
                Wilson.upper(all.harms(), all.calls()),
                all.mergedHarms(),
                all.merged(),
                Wilson.lower(all.mergedHarms(), all.merged()),
                all.dependent(),
                all.retried(),
                all.large(),
                all.effects(),
                splitter.groupOf(session));
    }

    private static String name(final SessionClass one) {
        return one.name().toLowerCase(Locale.ROOT);
    }

    // ---------------------------------------------------------------- outcomes of calls

    /** Records the end of a call. */
    public void observe(final ClockReading now, final CallOutcome call, final Outbox out) {
        for (final CallOutcome.Share share : call.shares()) {
            habits(now, share);
        }
        if (call.ended().counted) {
            if (call.ended().harm) {
                failed(now, call, out);
            } else {
                passed(now, call, out);
            }
        }
        call.sessions().stream().map(sessions::get).forEach(this::judge);
    }

    private void judge(final Held held) {
        held.earned = Evidence.classOf(held.state, tier.self());
    }

    private void habits(final ClockReading now, final CallOutcome.Share share) {
        final Held held = sessions.use(share.session(), this::fresh);
        held.calledUs = now.monoUs();
        held.evidenceUs = now.monoUs();
        final long sinceEndUs = share.handedInUs() - held.lastEndUs;
        final boolean after = held.lastEndUs != Long.MAX_VALUE && sinceEndUs >= 0 && sinceEndUs <= RIGHT_AFTER_US;
        held.inTurn = after && share.messages() == 1 ? held.inTurn + 1 : 0;
        held.lastEndUs = now.monoUs();
        int dependent = 0;
        if (held.inTurn >= DEPENDENT_RUN) {
            dependent = held.inTurn == DEPENDENT_RUN ? DEPENDENT_RUN : 1;
        }
        saw(
                share.session(),
                held,
                own(held)
                        .plusHabits(
                                dependent,
                                share.retried() > 0,
                                share.largestBody() >= LARGE_BYTES,
                                1 << share.effect().ordinal()));
    }

    private Held fresh(final long session) {
        final Integer epoch = forgotten.remove(session);
        return new Held(epoch == null ? 0 : epoch);
    }

    private void gone(final long session, final Held held) {
        if (held.state.epoch() > 0) {
            forgotten.put(session, held.state.epoch());
        }
        telling.remove(session);
        splitter.forget(session);
    }

    private Counters own(final Held held) {
        return held.state.byCourier().getOrDefault(tier.self(), Counters.none(life));
    }

    private void saw(final long session, final Held held, final Counters counters) {
        held.state.join(held.state.epoch(), tier.self(), counters);
        if (counters.calls() + counters.merged() >= WORTH_TELLING) {
            telling.put(session, held);
        }
    }

    private void passed(final ClockReading now, final CallOutcome call, final Outbox out) {
        final List<Long> all = call.sessions();
        if (baseline.others(call.destination(), all, now.monoUs()) != Baseline.Standing.ILL) {
            for (final long session : all) {
                final Held held = sessions.get(session);
                saw(
                        session,
                        held,
                        all.size() > 1 ? own(held).plusMerged(false) : own(held).plusCall(false));
            }
        }
        all.forEach(session -> baseline.ended(call.destination(), session, true, now.monoUs()));
        for (final long session : splitter.passed(all)) {
            final Held held = sessions.get(session);
            saw(session, held, own(held).plusMerged(true));
            if (Evidence.harmsMerged(held.state)) {
                demote(now, session, held, "merged", out);
            }
        }
    }

    private void failed(final ClockReading now, final CallOutcome call, final Outbox out) {
        final List<Long> all = call.sessions();
        final Baseline.Standing standing = baseline.others(call.destination(), all, now.monoUs());
        if (all.size() == 1) {
            baseline.ended(call.destination(), all.get(0), false, now.monoUs());
        }
        if (standing == Baseline.Standing.ILL) {
            return;
        }
        if (all.size() > 1) {
            // A session that was demoted while the call was in flight explains its failure.
            if (all.stream()
                    .map(sessions::get)
                    .noneMatch(held -> held.state.epoch() > 0 && held.earned == SessionClass.OWN)) {
                splitter.failed(all);
            }
            return;
        }
        final long session = all.get(0);
        final Held held = sessions.get(session);
        final boolean shares = held.earned != SessionClass.OWN || splitter.groupOf(session) != 0;
        saw(session, held, own(held).plusCall(true));
        if (shares && splitter.failedAlone(session) && standing == Baseline.Standing.WELL) {
            demote(now, session, held, "alone", out);
        }
    }

    private void demote(final ClockReading now, final long session, final Held held, final String why, final Outbox out) {
        final int epoch = Math.min(SessionState.MAX_EPOCH, held.state.epoch() + 1);
        final Counters all = Evidence.sum(held.state);
        events.event(
                "session-demoted",
                "session",
                Long.toHexString(session),
                "epoch",
                epoch,
                "why",
                why,
                "calls",
                all.calls(),
                "harms",
                all.harms(),
                "merged",
                all.merged(),
                "merged_harms",
                all.mergedHarms());
        raise(session, held, epoch);
        rumours.start(now, session, epoch);
        rumours.send(now, out);
    }

    private void raise(final long session, final Held held, final int epoch) {
        held.state.raise(epoch);
        held.earned = SessionClass.OWN;
        telling.remove(session);
        splitter.proven(session);
    }

    // ---------------------------------------------------------------- messages between couriers

    @Override
    public Map<Integer, Message.Reader> readers() {
        return Map.of(
                Demotion.TELL,
                body -> Demotion.read(false, body),
                Demotion.HEARD,
                body -> Demotion.read(true, body),
                Counts.TYPE,
                Counts::read);
    }

    @Override
    public void receive(final ClockReading now, final int from, final Message message, final Outbox out) {
        if (from < 0 || from >= tier.size() || from == tier.self()) {
            return;
        }
        if (message instanceof Demotion demotion) {
            final boolean news = learn(demotion.session(), demotion.epoch());
            rumours.known(from, demotion.session(), demotion.epoch());
            if (news) {
                rumours.pass(now, from, demotion.session(), demotion.epoch());
            }
            if (!demotion.heard()) {
                out.send(from, new Demotion(true, demotion.session(), epochOf(demotion.session())));
            }
        } else if (message instanceof Counts counts) {
            counts.rows().forEach(row -> receive(now, from, row, out));
        }
    }

    private void receive(final ClockReading now, final int from, final Counts.Row row, final Outbox out) {
        learn(row.session(), row.epoch());
        rumours.known(from, row.session(), row.epoch());
        final int epoch = epochOf(row.session());
        final Held held = sessions.get(row.session());
        if (row.epoch() < epoch) {
            out.send(from, new Demotion(false, row.session(), epoch));
        } else if (held != null) {
            held.state.join(row.epoch(), from, row.counters());
            judge(held);
            held.evidenceUs = now.monoUs();
        }
    }

    /** Number of stored sessions. */
    int size() {
        return sessions.all().size();
    }

    /** The known epoch of a session, stored or not. */
    int epochOf(final long session) {
        final Held held = sessions.get(session);
        final Integer old = forgotten.get(session);
        if (held != null) {
            return held.state.epoch();
        }
        return old == null ? 0 : old;
    }

    /** True if this epoch is news of a stored session. */
    private boolean learn(final long session, final int epoch) {
        if (epoch <= epochOf(session)) {
            return false;
        }
        final Held held = sessions.get(session);
        if (held == null) {
            forgotten.put(session, epoch);
            return false;
        }
        events.event("session-demotion-heard", "session", Long.toHexString(session), "epoch", epoch);
        raise(session, held, epoch);
        return true;
    }

    @Override
    public long tick(final ClockReading now, final Outbox out) {
        return Math.max(now.monoUs() + 1, Math.min(now.monoUs() + TICK_US, rumours.send(now, out)));
    }

    @Override
    public List<Message> gossip(final ClockReading now, final int peer, final int room) {
        final List<Message> riding = new ArrayList<>(rumours.ride(peer, room));
        int left = room
                - riding.stream()
                        .mapToInt(message -> message.size() + Rumours.PREFIX)
                        .sum();
        left = Counts.room(life, left);
        final List<Counts.Row> rows = new ArrayList<>();
        final long from = cursors.getOrDefault(peer, Long.MIN_VALUE);
        final List<Map.Entry<Long, Held>> window = new ArrayList<>();
        for (final Map<Long, Held> part : List.of(telling.tailMap(from, false), telling.headMap(from, true))) {
            for (final Iterator<Map.Entry<Long, Held>> it = part.entrySet().iterator();
                    it.hasNext() && window.size() < MAX_LOOKED_AT; ) {
                window.add(it.next());
            }
        }
        for (final Map.Entry<Long, Held> one : window) {
            final Held held = one.getValue();
            if (now.monoUs() - held.calledUs >= staleUs) {
                telling.remove(one.getKey());
                continue;
            }
            final Counts.Row row = new Counts.Row(one.getKey(), held.state.epoch(), own(held));
            if (row.size() > left) {
                break;
            }
            left -= row.size();
            rows.add(row);
            cursors.put(peer, one.getKey());
        }
        if (!rows.isEmpty()) {
            riding.add(new Counts(life, rows));
        }
        return riding;
    }
}
