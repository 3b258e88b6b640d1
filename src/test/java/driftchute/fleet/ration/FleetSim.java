package driftchute.fleet.ration;

import driftchute.Courier;
import driftchute.fleet.ClockReading;
import driftchute.fleet.ControlPlane;
import driftchute.fleet.EventLog;
import driftchute.fleet.FleetConfig;
import driftchute.fleet.LeasedRole;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * A fleet on a virtual clock and network: couriers with their own clocks, a role that at most one holds, and traffic
 * that paces its calls by the valid rate lease. Times are true us unless they are named mono.
 */
final class FleetSim {
    static final long MS = 1000;
    static final long SECOND = 1_000_000;
    static final FleetConfig BLOCK = new FleetConfig(1, 1, null, null, null, null, null, null, null);
    private static final long STEP = 5 * MS;
    private static final int CROWD = 1000;

    /** The role's holder from one time to another. */
    record Term(int holder, long token, long fromUs, long toUs) {}

    /** One courier: its control plane, and the traffic's state for each destination. */
    final class Node implements LeasedRole {
        final int id;
        final double[] arrivals = new double[destinations], waiting = new double[destinations];
        final double[] told = new double[destinations];
        final long[] lastUs = new long[destinations];
        final List<List<Long>> calls = new ArrayList<>();
        double speed = 1;
        long originUs, upUs, awakeUs, stallUs, lagUs, bytes;
        RateLeases rations;
        ControlPlane plane;
        private Map<Long, Courier.RateLease> view = Map.of();

        Node(final int id) {
            this.id = id;
            Arrays.fill(told, limitAt(0));
            IntStream.range(0, destinations).forEach(unused -> calls.add(new ArrayList<>()));
        }

        void start(final long downUs) {
            upUs = awakeUs = nowUs + downUs;
            originUs = random.nextLong(1L << 40) - (1L << 39);
            view = Map.of();
            Arrays.fill(lastUs, upUs);
            final Tier tier = new Tier(id, nodes.length, 1);
            rations = new RateLeases(tier, BLOCK, this, random.nextLong(), EventLog.NONE, allocators.get());
            plane = new ControlPlane(tier, List.of(rations), (to, datagram) -> post(this, nodes[to], datagram));
        }

        ClockReading moment(final long atUs) {
            return new ClockReading(originUs + (long) (atUs * speed), 1_800_000_000_000L + atUs / MS);
        }

        @Override
        public OptionalLong held(final ClockReading now) {
            final long atUs = (long) Math.ceil((now.monoUs() - originUs) / speed);
            return terms.stream()
                    .filter(each -> each.holder() == id
                            && each.fromUs() >= upUs
                            && each.fromUs() <= atUs
                            && atUs < each.toUs() + heldLongerUs)
                    .mapToLong(Term::token)
                    .max();
        }

        @Override
        public Optional<Holder> holder(final ClockReading now) {
            return terms.stream()
                    .filter(term -> term.fromUs() <= nowUs - lagUs)
                    .reduce((first, second) -> second)
                    .map(each -> new Holder(each.holder(), each.token()));
        }

        @Override
        public boolean accepts(final long token) {
            return holder(moment(nowUs)).map(each -> token >= each.token()).orElse(true);
        }

        private void step() {
            if ((nowUs + id * 15 * MS) % (50 * MS) == 0) {
                if ((nowUs + id * 15 * MS) % (100 * MS) == 0) {
                    rations.onReports(moment(nowUs), reports());
                }
                plane.tick(moment(nowUs));
                view = rations.rateLeases(moment(nowUs));
            }
            for (int i = 0; i < destinations; i++) {
                waiting[i] = Math.min(CROWD, waiting[i] + (random.nextDouble() < arrivals[i] * STEP / SECOND ? 1 : 0));
                for (long atUs = next(i); waiting[i] >= 1 && atUs < nowUs + STEP; atUs = next(i)) {
                    call(i, atUs);
                }
            }
        }

        private List<Courier.DestinationReport> reports() {
            return IntStream.range(0, destinations)
                    .mapToObj(i -> {
                        final List<Long> made = calls.get(i);
                        final long recent = made.subList(Math.max(0, made.size() - CROWD), made.size()).stream()
                                .filter(atUs -> atUs > nowUs - SECOND)
                                .count();
                        return new Courier.DestinationReport(
                                i, told[i], recent, (int) waiting[i], Courier.CircuitState.CLOSED, 0, 0, 0, 0);
                    })
                    .toList();
        }

        /**
         * When the next call may be made: by the rate lease while it is valid, otherwise by the even part of the
         * reserve.
         */
        private long next(final int i) {
            final Courier.RateLease ration = view.get((long) i);
            if (ration != null && !even) {
                final long atUs = paced(i, ration.callsPerSecond());
                if (moment(atUs).monoUs() < ration.expiresAtUs()) {
                    return atUs;
                }
            }
            return paced(i, told[i] / nodes.length * (even ? 1 : BLOCK.reserve()));
        }

        private long paced(final int i, final double rate) {
            return Math.max(nowUs, lastUs[i] + (long) Math.ceil(SECOND / (rate * speed)));
        }

        private void call(final int i, final long atUs) {
            waiting[i]--;
            lastUs[i] = atUs;
            calls.get(i).add(atUs);
            later(
                    atUs + 20 * MS + random.nextInt(130) * MS,
                    () -> told[i] = limitAt(atUs) * (1 + noise * (2 * random.nextDouble() - 1)),
                    this);
        }
    }

    final Random random;
    final Node[] nodes;
    final int destinations;
    final List<Term> terms = new ArrayList<>();
    final TreeMap<Long, Double> limits = new TreeMap<>();
    Supplier<RateAllocator> allocators;
    long nowUs;
    double loss, twice, noise;
    boolean even;
    long heldLongerUs;
    boolean[][] cut;
    private final TreeMap<Long, List<Runnable>> dues = new TreeMap<>();

    FleetSim(final long seed, final int couriers, final int destinations, final double limit) {
        this.random = new Random(seed);
        this.destinations = destinations;
        this.allocators = () -> new RateAllocator(couriers, BLOCK);
        limits.put(0L, limit);
        nodes = new Node[couriers];
        cut = new boolean[couriers][couriers];
        Arrays.setAll(nodes, Node::new);
    }

    double limitAt(final long atUs) {
        return limits.floorEntry(atUs).getValue();
    }

    /** Runs an action at that time once this courier is awake; not if its process has ended meanwhile. */
    private void later(final long atUs, final Runnable act, final Node node) {
        final long bornUs = node.upUs;
        dues.computeIfAbsent(atUs, unused -> new ArrayList<>()).add(() -> {
            if (nowUs < node.awakeUs && node.upUs == bornUs) {
                later(node.awakeUs, act, node);
            } else if (node.upUs == bornUs) {
                act.run();
            }
        });
    }

    private void post(final Node from, final Node to, final byte[] datagram) {
        from.bytes += datagram.length;
        if (!cut[from.id][to.id] && random.nextDouble() >= loss) {
            for (int copies = random.nextDouble() < twice ? 2 : 1; copies > 0; copies--) {
                final long delayUs = MS + random.nextInt(random.nextInt(20) == 0 ? 2000 : 20) * MS;
                later(nowUs + from.stallUs + delayUs, () -> to.plane.receive(to.moment(nowUs), from.id, datagram), to);
            }
        }
    }

    /** Runs until this time; {@code faults} acts at the start of each step. */
    void play(final long untilUs, final Runnable faults) {
        for (; nowUs < untilUs; nowUs += STEP) {
            Arrays.stream(nodes).filter(node -> node.plane == null).forEach(node -> node.start(0));
            faults.run();
            while (!dues.isEmpty() && dues.firstKey() <= nowUs) {
                dues.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            for (final Node node : nodes) {
                if (nowUs >= node.awakeUs) {
                    node.step();
                }
                if (node.stallUs > 0) {
                    node.awakeUs = nowUs + node.stallUs;
                    node.stallUs = 0;
                }
            }
        }
    }

    /** All calls to the first destination, in order. */
    List<Long> calls() {
        return Arrays.stream(nodes)
                .flatMap(node -> node.calls.get(0).stream())
                .sorted()
                .toList();
    }
}
