package driftchute.fleet;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * The control planes of a whole tier on one virtual clock and network: the same seed gives the same run. Each process
 * has its own monotonic clock (another origin, up to 200 ppm fast or slow). Every call of a plane is followed by its
 * tick, as on the control thread.
 */
public final class VirtualFleet {
    private static final int MAX_PPM = 200;
    private static final long MILLION = 1_000_000;

    /** Creates the components of a process when it starts. */
    public interface ComponentFactory {
        /** Creates the components, in the order in which they run. */
        List<Component> components(Tier tier, ClockReading start, long seed);
    }

    /** Network faults of datagrams: shares of lost, duplicated and late ones, and delays in us. */
    public record NetworkFaults(double lost, double doubled, double late, long leastUs, long mostUs, long lateUs) {
        /** A network that loses nothing. */
        public static final NetworkFaults FAIR = losing(0);

        /** A network that loses that share of all datagrams. */
        public static NetworkFaults losing(final double share) {
            return new NetworkFaults(share, 0, 0, 100, 5000, 0);
        }
    }

    private record Step(long atUs, long order, Runnable act) {}

    private static final class Node {
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private ControlPlane plane;
        private boolean paused;
        private long ppm;
        private long originUs;
        private long ticket;
        private long bytes;
        private long datagrams;
    }

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atUs).thenComparingLong(Step::order));
    private final List<Node> nodes;
    private final Random random;
    private final ComponentFactory maker;
    private NetworkFaults weather = NetworkFaults.FAIR;
    private BiPredicate<Integer, Integer> link = (from, to) -> true;
    private Runnable watch = () -> {};
    private long nowUs;
    private long order;

    /** A tier of processes that are all down. */
    public VirtualFleet(final int size, final long seed, final ComponentFactory maker) {
        this.random = new Random(seed);
        this.maker = maker;
        this.nodes = IntStream.range(0, size).mapToObj(id -> new Node()).toList();
    }

    /** Sets the network's faults from now on. */
    public void weather(final NetworkFaults now) {
        weather = now;
    }

    /** Sets which paths are open, from sender to receiver. */
    public void link(final BiPredicate<Integer, Integer> open) {
        link = open;
    }

    /** Called after every step of any process, to check invariants. */
    public void watch(final Runnable check) {
        watch = check;
    }

    /** The virtual time, us. */
    public long nowUs() {
        return nowUs;
    }

    /** Whether that process is running. */
    public boolean isUp(final int id) {
        return nodes.get(id).plane != null;
    }

    /** Starts a process. */
    public void start(final int id) {
        final Node node = nodes.get(id);
        final Tier tier = new Tier(id, nodes.size(), 1);
        node.ppm = random.nextInt(2 * MAX_PPM + 1) - MAX_PPM;
        node.originUs = random.nextInt() * MILLION;
        node.plane = new ControlPlane(
                tier,
                maker.components(tier, moment(node), random.nextLong()),
                (to, datagram) -> send(id, to, datagram));
        act(node, node.plane, now -> {});
    }

    /** Kills a process. */
    public void kill(final int id) {
        nodes.get(id).plane = null;
        resume(id);
    }

    /** Suspends the process; datagrams and its ticks wait for it. */
    public void pause(final int id) {
        nodes.get(id).paused = true;
    }

    /** Resumes it; at random its tick comes before the datagrams waiting in its socket. */
    public void resume(final int id) {
        final Node node = nodes.get(id);
        if (node.paused && random.nextBoolean()) {
            node.waiting.addFirst(() -> act(node, node.plane, now -> {}));
        }
        node.paused = false;
        while (!node.waiting.isEmpty()) {
            node.waiting.poll().run();
        }
    }

    /** Calls a component of a running process other than by messages and ticks. */
    public void tell(final int id, final BiConsumer<ClockReading, Outbox> what) {
        final ControlPlane plane = nodes.get(id).plane;
        act(nodes.get(id), plane, now -> {
            what.accept(now, plane.outbox());
            plane.flush(now);
        });
    }

    /** Advances the clock, us. */
    public void run(final long us) {
        final long endUs = nowUs + us;
        while (!steps.isEmpty() && steps.peek().atUs() <= endUs) {
            final Step step = steps.poll();
            nowUs = step.atUs();
            step.act().run();
            watch.run();
        }
        nowUs = endUs;
    }

    /** Bytes of all datagrams that all couriers have sent. */
    public long bytes() {
        return nodes.stream().mapToLong(node -> node.bytes).sum();
    }

    /** Datagrams that all couriers have sent. */
    public long datagrams() {
        return nodes.stream().mapToLong(node -> node.datagrams).sum();
    }

    /** A process acts now, or when it is resumed; not if it has ended meanwhile. */
    private void act(final Node node, final ControlPlane plane, final Consumer<ClockReading> what) {
        if (node.plane != plane || plane == null) {
            return;
        }
        if (node.paused) {
            node.waiting.add(() -> act(node, plane, what));
            return;
        }
        final ClockReading now = moment(node);
        what.accept(now);
        final long dueUs = plane.tick(now);
        if (dueUs <= now.monoUs()) {
            throw new AssertionError("a tick that asks for one at once");
        }
        final long ticket = ++node.ticket;
        final long inUs = (long) ((dueUs - now.monoUs()) / (1 + node.ppm / (double) MILLION));
        // Rounding may wake it a few microseconds late, as any clock does.
        after(inUs + 2, () -> {
            if (node.ticket == ticket) {
                act(node, plane, unused -> {});
            }
        });
    }

    private void send(final int from, final int to, final byte[] datagram) {
        final Node node = nodes.get(to);
        nodes.get(from).bytes += datagram.length;
        nodes.get(from).datagrams++;
        final int copies = random.nextDouble() < weather.doubled() ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (link.test(from, to) && random.nextDouble() >= weather.lost()) {
                final long lateUs = random.nextDouble() < weather.late() ? weather.lateUs() : 0;
                final long spreadUs = weather.mostUs() - weather.leastUs() + lateUs;
                after(weather.leastUs() + (long) (random.nextDouble() * spreadUs), () -> {
                    final ControlPlane plane = node.plane;
                    act(node, plane, now -> plane.receive(now, from, datagram));
                });
            }
        }
    }

    private void after(final long us, final Runnable act) {
        steps.add(new Step(nowUs + us, order++, act));
    }

    private ClockReading moment(final Node node) {
        return new ClockReading(
                node.originUs + nowUs + Math.floorDiv(nowUs * node.ppm, MILLION), 1_700_000_000_000L + nowUs / 1000);
    }
}
