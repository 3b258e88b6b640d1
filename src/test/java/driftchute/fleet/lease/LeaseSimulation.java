package driftchute.fleet.lease;

import driftchute.fleet.ClockReading;
import driftchute.fleet.ControlPlane;
import driftchute.fleet.EventLog;
import driftchute.fleet.Tier;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Couriers with role leases on one virtual clock and a network that loses, duplicates, delays and partitions; checks
 * every event.
 */
final class LeaseSimulation {
    static final long LEASE_US = 3_000_000;
    static final List<String> DUTIES = List.of("allocator", "trier");
    private static final long WALL_MS = 1_796_000_000_000L;

    private record Due(long atUs, long order, Runnable act) {}

    /** One courier; its clocks run on while it is suspended or down. */
    final class Node {
        final int number;
        final double rate;
        final long originUs = random.nextLong(-LEASE_US, LEASE_US);
        final long skewMs;
        RoleLeases leases;
        ControlPlane plane;
        boolean up;
        int life;
        long pausedUntilUs;
        long wake;

        Node(final int number, final double drift, final long skewMs) {
            this.number = number;
            this.rate = 1 + drift;
            this.skewMs = skewMs;
        }

        ClockReading now() {
            return new ClockReading(originUs + (long) (nowUs * rate), WALL_MS + nowUs / 1000 + skewMs);
        }

        void start() {
            life++;
            up = true;
            final Tier tier = new Tier(number, nodes.size(), 1);
            leases = new RoleLeases(tier, DUTIES, terms, random.nextLong(), now(), EventLog.NONE);
            plane = new ControlPlane(tier, List.of(leases), (peer, bytes) -> post(number, nodes.get(peer), bytes));
            run(() -> {});
        }

        void run(final Runnable act) {
            if (!up) {
                return;
            }
            if (nowUs < pausedUntilUs) {
                at(pausedUntilUs, () -> run(act));
                return;
            }
            act.run();
            final long dueUs = Math.min(plane.tick(now()), now().monoUs() + LEASE_US);
            final long order = ++wake;
            at(nowUs + 1 + (long) ((dueUs - now().monoUs()) / rate), () -> {
                if (order == wake) {
                    run(() -> {});
                }
            });
        }

        boolean holds(final int duty) {
            return up && leases.held(now(), duty).isPresent();
        }
    }

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    final long[] tokens = new long[DUTIES.size()];
    private final String[] owners = new String[DUTIES.size()];
    private final LeaseTiming terms;
    private final boolean[][] cut;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atUs).thenComparingLong(Due::order));
    private long order;
    long nowUs;
    double loss;
    double twice;
    double late;
    long bytes;
    int holdings;

    /** @param drift maximum deviation of each clock from true time, as a share; skews are of the wall clocks */
    LeaseSimulation(
            final int size, final LeaseTiming terms, final double drift, final long mostSkewMs, final long seed) {
        this.random = new SplittableRandom(seed);
        this.terms = terms;
        this.cut = new boolean[size][size];
        for (int node = 0; node < size; node++) {
            final double off = random.nextBoolean() ? drift : -drift;
            nodes.add(new Node(
                    node,
                    random.nextInt(4) == 0 ? off * random.nextDouble() : off,
                    random.nextLong(-mostSkewMs, mostSkewMs + 1)));
        }
        nodes.forEach(Node::start);
    }

    private void at(final long atUs, final Runnable act) {
        queue.add(new Due(atUs, ++order, act));
    }

    private void post(final int from, final Node to, final byte[] datagram) {
        bytes += datagram.length;
        for (int copy = random.nextDouble() < twice ? 2 : 1; copy > 0; copy--) {
            if (!cut[from][to.number] && random.nextDouble() >= loss) {
                final boolean slow = random.nextDouble() < late;
                at(
                        nowUs + (slow ? random.nextLong(4 * LEASE_US) : random.nextLong(200, 5000)),
                        () -> to.run(() -> to.plane.receive(to.now(), from, datagram)));
            }
        }
    }

    /** The next event, after which at most one courier holds each role, with a token above all earlier ones. */
    void step() {
        final Due due = queue.remove();
        nowUs = due.atUs();
        due.act().run();
        for (int duty = 0; duty < tokens.length; duty++) {
            String holder = null;
            for (final Node node : nodes) {
                if (node.holds(duty)) {
                    final String owner = node.number + "/" + node.life;
                    final long token = node.leases.held(node.now(), duty).getAsLong();
                    if (holder != null) {
                        broken.add("two holders at " + nowUs + ": " + holder + " and " + owner);
                    } else if (token < tokens[duty] || token == tokens[duty] && !owner.equals(owners[duty])) {
                        broken.add("token " + token + " of " + owner + " after " + tokens[duty] + ", " + owners[duty]);
                    }
                    holdings += token == tokens[duty] ? 0 : 1;
                    holder = owner;
                    owners[duty] = owner;
                    tokens[duty] = token;
                }
            }
        }
    }

    void runFor(final long us) {
        final long untilUs = nowUs + us;
        while (queue.peek().atUs() <= untilUs) {
            step();
        }
        nowUs = untilUs;
    }

    void strike() {
        final Node one = nodes.get(random.nextInt(nodes.size()));
        final Node holder =
                nodes.stream().filter(node -> node.holds(0)).findFirst().orElse(one);
        switch (random.nextInt(8)) {
            case 0 -> {
                final long side = random.nextLong();
                cut((from, to) -> (side >> from & 1) != (side >> to & 1));
            }
            case 1 -> {
                final boolean deaf = random.nextBoolean();
                cut((from, to) -> (deaf ? to : from) == holder.number);
            }
            case 2 -> cut((from, to) -> false);
            case 3 -> one.pausedUntilUs = nowUs + random.nextLong(2 * LEASE_US);
            case 4 -> holder.pausedUntilUs = nowUs + random.nextLong(2 * LEASE_US);
            case 5 -> {
                loss = random.nextDouble() / 2;
                twice = random.nextDouble() / 3;
                late = random.nextDouble() / 5;
            }
            case 6 -> holder.run(() -> holder.leases.release(holder.now(), 0, holder.plane.outbox()));
            default ->
                (random.nextInt(5) == 0 ? nodes : List.of(one)).forEach(node -> {
                    node.up = false;
                    at(nowUs + random.nextLong(LEASE_US / 3), node::start);
                });
        }
    }

    void calm() {
        loss = 0;
        twice = 0;
        late = 0;
        cut((from, to) -> false);
    }

    private void cut(final BiPredicate<Integer, Integer> apart) {
        for (int from = 0; from < cut.length; from++) {
            for (int to = 0; to < cut.length; to++) {
                cut[from][to] = apart.test(from, to);
            }
        }
    }
}
