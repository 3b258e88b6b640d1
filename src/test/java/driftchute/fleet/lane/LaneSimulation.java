package driftchute.fleet.lane;

import driftchute.fleet.ClockReading;
import driftchute.fleet.ControlPlane;
import driftchute.fleet.EventLog;
import driftchute.fleet.Tier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Couriers with their control planes, on a virtual clock and a seeded network, in front of one destination. Messages
 * arrive by a Poisson process; admitted ones wait and are sent at the courier's part of the limit, scheduled by lane,
 * or in order of acceptance without lanes. The parts are the reserve (a fifth, divided evenly) and a max-min fair share
 * of the admitted load; a partitioned courier has its part of the reserve.
 */
final class LaneSimulation {
    static final long SECOND = 1_000_000;
    static final long RATION_US = 1_500_000;
    static final double LIMIT = 1000;
    static final double RESERVE = 0.2;
    static final long DESTINATION = 57;
    private static final long STEP_US = 10_000;
    private static final long TURN_US = 250_000;
    private static final long AIM_US = 2 * SECOND;

    /** A datagram in transit. */
    record Datagram(long atUs, int from, int to, byte[] bytes) {}

    private record Waiting(long atUs, int lane, int account) {}

    /** The outcome of a message: the seconds in which it arrived and was sent; {@code leftS} is -1 if it was shed. */
    record MessageOutcome(int courier, int lane, int account, int cameS, int leftS, boolean inTime) {}

    final class Node implements AllocatorRole {
        final int self;
        final LaneComponent part =
                new LaneComponent(size, RATION_US, () -> lanes, this, destination -> LIMIT, EventLog.NONE);
        final ControlPlane plane;
        final LoadShedder shedder;
        final Quota quota = new Quota(size, lanes);
        final LaneScheduler turns = new LaneScheduler(lanes);
        final List<ArrayDeque<Waiting>> queues = Stream.generate(() -> new ArrayDeque<Waiting>())
                .limit(lanes.count())
                .toList();
        double own;
        double letIn;
        double credit;

        Node(final int self) {
            this.self = self;
            this.plane =
                    new ControlPlane(new Tier(self, size, 1), List.of(part), (peer, bytes) -> fly(self, peer, bytes));
            this.shedder = new LoadShedder(RATION_US, lanes, (name, fields) -> events.add(self + " " + name));
        }

        @Override
        public OptionalLong held(final ClockReading now) {
            return self == holder ? OptionalLong.of(token) : OptionalLong.empty();
        }

        @Override
        public boolean accepts(final long other) {
            return other >= token;
        }

        @Override
        public Optional<Integer> holder(final ClockReading now) {
            return holder < 0 ? Optional.empty() : Optional.of(holder);
        }

        /** Messages per second: recently admitted, and waiting within a second. */
        private double wanted() {
            return letIn * SECOND / (2 * TURN_US)
                    + queues.stream().mapToInt(ArrayDeque::size).sum();
        }

        /** Each process has its own monotonic clock. */
        ClockReading now() {
            return new ClockReading(nowUs + self * 7_777_777_777L - 20 * SECOND, 1_700_000_000_000L + nowUs / 1000);
        }
    }

    final int size;
    final Lanes lanes;
    final boolean shedding;
    final List<Node> nodes = new ArrayList<>();
    final List<MessageOutcome> fates = new ArrayList<>();
    final List<String> events = new ArrayList<>();
    int accounts = 200;
    double[][] offered;
    /** Messages that arrived, by lane and second. */
    final int[][] came = new int[3][1000];
    /** Additional load of the first premium account at each courier. */
    double flood;

    int holder;
    long token = 1;
    int cutOff = -1;
    double loss;
    long nowUs;
    long bytes;
    /** Messages whose account the level would have treated otherwise. */
    int overruled;

    private final PriorityQueue<Datagram> air = new PriorityQueue<>(Comparator.comparingLong(Datagram::atUs));
    private final Random random;

    LaneSimulation(final int size, final Lanes lanes, final boolean shedding, final long seed) {
        this.size = size;
        this.lanes = lanes;
        this.shedding = shedding;
        this.random = new Random(seed);
        IntStream.range(0, size).forEach(self -> nodes.add(new Node(self)));
    }

    /** Messages per second: so much of the limit, divided among the lanes; 60% of it at the first courier. */
    void offer(final double ofLimit, final double... parts) {
        offered = new double[size][];
        for (int i = 0; i < size; i++) {
            final double here = LIMIT * ofLimit * (i == 0 ? 0.6 : 0.4 / (size - 1));
            offered[i] = Arrays.stream(parts).map(part -> part * here).toArray();
        }
    }

    private void fly(final int from, final int to, final byte[] datagram) {
        bytes += datagram.length;
        if (from != cutOff && to != cutOff && random.nextDouble() >= loss) {
            for (int copies = loss > 0 && random.nextInt(5) == 0 ? 2 : 1; copies > 0; copies--) {
                air.add(new Datagram(nowUs + 200 + random.nextInt(loss > 0 ? 400_000 : 2000), from, to, datagram));
            }
        }
    }

    void run(final double seconds) {
        for (final long endUs = nowUs + (long) (seconds * SECOND); nowUs < endUs; nowUs += STEP_US) {
            while (!air.isEmpty() && air.peek().atUs <= nowUs) {
                final Datagram next = air.poll();
                nodes.get(next.to).plane.receive(nodes.get(next.to).now(), next.from, next.bytes);
            }
            if (nowUs % TURN_US == 0) {
                share();
            }
            for (final Node node : nodes) {
                if (nowUs % TURN_US == 0) {
                    node.part.setOffered(
                            node.now(), node.shedder.update(node.now().monoUs(), destination -> node.own));
                }
                node.plane.tick(node.now());
                node.shedder.onView(node.now().monoUs(), node.part.view(node.now()));
                arrive(node);
                serve(node);
            }
        }
    }

    private void share() {
        final double even = LIMIT * RESERVE / size;
        final List<Node> wanting = new ArrayList<>(nodes);
        nodes.forEach(node -> node.own = even);
        wanting.removeIf(node -> node.self == cutOff);
        wanting.sort(Comparator.comparingDouble(Node::wanted));
        double left = LIMIT * (1 - RESERVE);
        for (int i = 0; i < wanting.size(); i++) {
            final double fair = left / (wanting.size() - i);
            final double most =
                    i == wanting.size() - 1 ? fair : Math.max(0, wanting.get(i).wanted() - even);
            final double leased = Math.min(fair, most);
            left -= leased;
            wanting.get(i).own += leased;
        }
        for (final Node node : nodes) {
            node.quota.setLeasedShare((node.own - even) / LIMIT);
            node.turns.setRate(node.now().monoUs(), node.own);
            node.letIn /= 2;
        }
    }

    private void arrive(final Node node) {
        IntStream.range(0, lanes.count())
                .forEach(lane -> IntStream.range(0, poisson(offered[node.self][lane]))
                        .forEach(each -> arrive(node, lane, random.nextInt(accounts))));
        IntStream.range(0, poisson(flood)).forEach(each -> arrive(node, 0, 0));
    }

    private void arrive(final Node node, final int lane, final int account) {
        final long monoUs = node.now().monoUs();
        final long hash = AccountHash.hash(lanes.name(lane) + account);
        came[lane][(int) (nowUs / SECOND)]++;
        final int counts = node.quota.meteredLane(monoUs, lane, hash);
        node.shedder.countOffered(monoUs, DESTINATION, counts);
        final boolean marked = node.shedder.isMarked(monoUs, DESTINATION, counts, hash);
        final boolean shed = shedding && node.shedder.shouldShed(monoUs, DESTINATION, counts, hash);
        overruled += shedding && marked != shed ? 1 : 0;
        if (shed) {
            fates.add(new MessageOutcome(node.self, lane, account, (int) (nowUs / SECOND), -1, false));
        } else {
            node.letIn++;
            node.queues.get(shedding ? counts : 0).add(new Waiting(nowUs, lane, account));
        }
    }

    private void serve(final Node node) {
        final long monoUs = node.now().monoUs();
        final boolean[] waiting = new boolean[lanes.count()];
        node.credit = Math.min(node.credit, 1) + node.own * STEP_US / SECOND;
        while (node.credit >= 1) {
            for (int i = 0; i < waiting.length; i++) {
                waiting[i] = !node.queues.get(i).isEmpty();
            }
            final int lane = node.turns.nextLane(monoUs, waiting);
            if (lane < 0) {
                return;
            }
            final Waiting next = node.queues.get(lane).poll();
            node.turns.onSent(monoUs, lane);
            node.credit--;
            fates.add(new MessageOutcome(
                    node.self,
                    next.lane,
                    next.account,
                    (int) (next.atUs / SECOND),
                    (int) (nowUs / SECOND),
                    nowUs - next.atUs <= AIM_US));
        }
    }

    private int poisson(final double perSecond) {
        final double least = Math.exp(-perSecond * STEP_US / SECOND);
        int count = 0;
        for (double left = random.nextDouble(); left > least; left *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    /** The share of a lane's messages that arrived between these seconds and were in time. */
    double inTime(final int lane, final int fromS, final int toS) {
        final long inTime = fates.stream()
                .filter(fate -> fate.inTime && fate.lane == lane && fate.cameS >= fromS && fate.cameS < toS)
                .count();
        return (double) inTime / Arrays.stream(came[lane], fromS, toS).sum();
    }

    /** The minimum sent of a lane in any five of these seconds, messages per second. */
    double leastInFive(final int lane, final int fromS, final int toS) {
        final long[] left = new long[toS];
        fates.stream()
                .filter(fate -> fate.lane == lane && fate.leftS >= 0 && fate.leftS < toS)
                .forEach(fate -> left[fate.leftS]++);
        return IntStream.rangeClosed(fromS, toS - 5)
                .mapToDouble(from -> Arrays.stream(left, from, from + 5).sum() / 5.0)
                .min()
                .orElseThrow();
    }

    double use(final int fromS, final int toS) {
        return fates.stream()
                        .filter(fate -> fate.leftS >= fromS && fate.leftS < toS)
                        .count()
                / (LIMIT * (toS - fromS));
    }

    List<SheddingLevel> levels() {
        return nodes.stream()
                .map(node ->
                        node.part.view(node.now()).levels().get(DESTINATION).level())
                .distinct()
                .toList();
    }
}
