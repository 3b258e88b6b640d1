package driftchute.fleet.verdict;

import driftchute.Courier;
import driftchute.Courier.CircuitState;
import driftchute.Courier.TierHealth;
import driftchute.Courier.Verdict;
import driftchute.fleet.ClockReading;
import driftchute.fleet.Component;
import driftchute.fleet.ControlPlane;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.Message;
import driftchute.fleet.Outbox;
import driftchute.fleet.Tier;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongPredicate;

/** Couriers on one virtual clock, a network that loses, duplicates and reorders, and one destination that fails. */
final class VerdictSimulation {
    static final long DEST = 7;
    static final long MS = 1000;
    static final long SECOND = 1000 * MS;
    private static final long WALL_MS = 1_790_000_000_000L;
    /**
     * The rate that overloads a cold destination; divided by the calls per second, the maximum interval of a lone
     * courier's probes.
     */
    private static final double TIPPING = 0.35;

    /** An event of the schedule; {@code order} keeps it total. */
    private record Due(long atUs, long order, Runnable act) {}

    /** One term of the role; {@code courier} -1: nobody. */
    record Term(long fromUs, int courier, long token) {}

    final Random random;
    final List<Node> nodes = new ArrayList<>();
    final List<Term> duty = new ArrayList<>();
    double loss;
    boolean fleet = true;
    LongPredicate out = us -> false;
    long nowUs, bytes, trials;
    private long order;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atUs).thenComparingLong(Due::order));

    VerdictSimulation(final long seed, final int couriers, final int withTraffic) {
        random = new Random(seed);
        for (int self = 0; self < couriers; self++) {
            nodes.add(new Node(self, couriers, self < withTraffic));
        }
    }

    void at(final long us, final Runnable act) {
        due.add(new Due(us, order++, act));
    }

    /** Runs until that time. */
    void run(final long untilUs) {
        while (due.peek().atUs <= untilUs) {
            final Due next = due.poll();
            nowUs = next.atUs;
            next.act.run();
        }
        nowUs = untilUs;
    }

    /**
     * One courier: its control plane, a simple model of its traffic (at most a call per 100 ms), and membership probes.
     */
    final class Node implements LeasedRole, Component {
        final int self;
        final boolean traffic;
        final long originUs = (1 + random.nextInt(1_000_000)) * SECOND;
        final HealthVerdicts verdicts;
        final ControlPlane plane;
        long stoppedUntilUs, usedUs, nextTrialUs, servedUs, badUs, troubleUs = Long.MAX_VALUE;
        boolean calling;
        CircuitState phase = CircuitState.CLOSED;
        int failed;

        Node(final int self, final int couriers, final boolean traffic) {
            this.self = self;
            this.traffic = traffic;
            final Tier tier = new Tier(self, couriers, 1);
            verdicts = new HealthVerdicts(
                    tier,
                    new VerdictTiming(10_000, 9_300, 3000, 1000, VerdictTiming::halfOfAge),
                    this,
                    random.nextLong(),
                    (name, fields) -> {});
            plane = new ControlPlane(tier, List.of(this, verdicts), (peer, datagram) -> {
                bytes += datagram.length;
                for (int copies = random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
                    final boolean late = random.nextInt(10) == 0;
                    final long delayUs = late ? random.nextInt(300_000) : 500 + random.nextInt(2000);
                    if (random.nextDouble() >= loss) {
                        at(
                                nowUs + delayUs,
                                () -> nodes.get(peer)
                                        .whenAwake(() -> nodes.get(peer)
                                                .plane
                                                .receive(nodes.get(peer).now(), self, datagram)));
                    }
                }
            });
            at(random.nextInt(100_000), this::step);
            at(random.nextInt(50_000), this::turn);
        }

        ClockReading now() {
            return new ClockReading(nowUs + originUs, WALL_MS + nowUs / MS);
        }

        private void whenAwake(final Runnable act) {
            if (nowUs < stoppedUntilUs) {
                at(stoppedUntilUs, act);
            } else {
                act.run();
            }
        }

        private void turn() {
            whenAwake(() -> at(nowUs + Math.min(50 * MS, plane.tick(now()) - now().monoUs()), this::turn));
        }

        Verdict verdict() {
            return verdicts.verdicts(now()).get(DEST);
        }

        TierHealth standing() {
            return verdict() == null ? TierHealth.HEALTHY : verdict().health();
        }

        /** Whether a permit is valid. */
        boolean mayTry() {
            return standing() == TierHealth.DOWN
                    && verdict().probeUntilUs() != Long.MAX_VALUE
                    && verdict().probeUntilUs() > now().monoUs();
        }

        private void step() {
            if (nowUs >= stoppedUntilUs && traffic) {
                final Verdict verdict = verdict();
                if (standing() == TierHealth.RECOVERED && phase == CircuitState.OPEN && badUs < verdict.sinceUs()) {
                    well(CircuitState.SLOW_START);
                }
                final boolean heard = fleet && verdict != null && verdict.health() == TierHealth.DOWN;
                final boolean dealt = heard && verdict.probeUntilUs() != Long.MAX_VALUE;
                final boolean own = phase != CircuitState.OPEN && !heard || nowUs >= nextTrialUs;
                final boolean open = dealt ? mayTry() && verdict.probeUntilUs() != usedUs : own;
                if (open && !calling) {
                    usedUs = dealt ? verdict.probeUntilUs() : usedUs;
                    trials += heard || phase == CircuitState.OPEN ? 1 : 0;
                    call(nowUs + SECOND);
                }
                verdicts.onReports(
                        now(),
                        List.of(new Courier.DestinationReport(DEST, 0, 1, 1, phase, failed, troubleUs, servedUs, 0)));
                plane.tick(now());
            }
            at(nowUs + 100 * MS, this::step);
        }

        /** A call that hangs while the destination is down, a second at most. */
        private void call(final long timeOutUs) {
            calling = out.test(nowUs) && nowUs < timeOutUs;
            if (calling) {
                at(nowUs + 10 * MS, () -> call(timeOutUs));
            } else if (nowUs < timeOutUs) {
                delivered();
            } else {
                failed();
            }
        }

        private void delivered() {
            servedUs = now().monoUs();
            well(CircuitState.CLOSED);
        }

        private void well(final CircuitState now) {
            troubleUs = Long.MAX_VALUE;
            failed = 0;
            phase = now;
        }

        void failed() {
            badUs = now().monoUs();
            troubleUs = Math.min(troubleUs, badUs);
            phase = ++failed >= 3 ? CircuitState.OPEN : phase;
            final double gapUs = Math.max(SECOND / 2, now().monoUs() - troubleUs)
                    * (Math.pow(1 - random.nextDouble(), -1 / TIPPING) - 1);
            nextTrialUs = nowUs + (long) Math.min(gapUs, SECOND / TIPPING);
        }

        private Term term() {
            return duty.stream()
                    .filter(term -> term.fromUs <= nowUs)
                    .reduce((one, next) -> next)
                    .orElse(new Term(0, -1, 0));
        }

        @Override
        public OptionalLong held(final ClockReading now) {
            return term().courier == self ? OptionalLong.of(term().token) : OptionalLong.empty();
        }

        @Override
        public Optional<Holder> holder(final ClockReading now) {
            return term().courier < 0 ? Optional.empty() : Optional.of(new Holder(term().courier, term().token));
        }

        @Override
        public boolean accepts(final long token) {
            return token >= term().token;
        }

        @Override
        public Map<Integer, Message.Reader> readers() {
            return Map.of(0x10, body -> new Probe());
        }

        @Override
        public void receive(final ClockReading now, final int from, final Message probe, final Outbox to) {}

        private long probedUs = Long.MIN_VALUE;

        @Override
        public long tick(final ClockReading now, final Outbox to) {
            if (probedUs == Long.MIN_VALUE || now.monoUs() - probedUs >= SECOND) {
                probedUs = now.monoUs();
                to.send((self + 1 + random.nextInt(nodes.size() - 1)) % nodes.size(), new Probe());
            }
            return probedUs + SECOND;
        }
    }

    /** What membership would send, once a second to one random courier. */
    private record Probe() implements Message {
        @Override
        public int type() {
            return 0x10;
        }

        @Override
        public int size() {
            return 0;
        }

        @Override
        public void write(final ByteBuffer into) {}
    }
}
