package driftchute.fleet.ration;

import static driftchute.fleet.ration.FleetSim.BLOCK;
import static driftchute.fleet.ration.FleetSim.MS;
import static driftchute.fleet.ration.FleetSim.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Five couriers on a virtual clock with faults of all kinds: the limit is respected, used, and passed on. */
class RateLeasesTest {
    private static final int COURIERS = 5;
    private static final long RATION_US = BLOCK.rationMs() * MS;
    /** The time of an answer, a report and a view: within this a courier that calls has learnt a limit. */
    private static final long HEARD_US = 400 * MS;

    private static final int SCHEDULES = 2000;
    private static final int MUTATED = 300;

    /** A schedule with all faults and varying demand; returns the worst second's calls above the bound. */
    private static double chaos(final long seed, final boolean waits, final long heldLongerUs) {
        final Random random = new Random(seed * 0x9E3779B97F4A7C15L);
        final double limit = List.of(4.0, 20.0, 60.0, 150.0).get(random.nextInt(4));
        final FleetSim sim = new FleetSim(random.nextLong(), COURIERS, 1, limit);
        sim.loss = random.nextInt(3) * 0.15;
        sim.twice = random.nextInt(2) * 0.2;
        sim.heldLongerUs = heldLongerUs;
        if (!waits) {
            sim.allocators = () -> new RateAllocator(COURIERS, BLOCK) {
                @Override
                long readyUs() {
                    return Long.MIN_VALUE;
                }
            };
        }
        for (long fromUs = 0; fromUs < 20 * SECOND; ) {
            final long toUs = fromUs + 300 * MS + random.nextLong(6 * SECOND);
            sim.terms.add(new FleetSim.Term(random.nextInt(COURIERS), sim.terms.size() + 1, fromUs, toUs));
            fromUs = toUs + random.nextInt(2) * random.nextLong(800 * MS);
        }
        for (final FleetSim.Node node : sim.nodes) {
            node.speed = 1 + (random.nextDouble() - 0.5) * 4e-4;
            node.lagUs = random.nextInt(3) * random.nextLong(1500 * MS);
        }
        final boolean[] wants = new boolean[COURIERS];
        sim.play(20 * SECOND, () -> {
            for (final FleetSim.Node node : sim.nodes) {
                wants[node.id] ^= random.nextInt(250) == 0;
                node.waiting[0] = wants[node.id] ? 1000 : 0;
                if (sim.nowUs >= node.awakeUs && random.nextInt(4000) == 0) {
                    node.stallUs = 100 * MS + random.nextLong(4 * SECOND);
                } else if (sim.nowUs >= node.awakeUs && random.nextInt(8000) == 0) {
                    node.start(200 * MS + random.nextLong(SECOND));
                }
            }
            if (random.nextInt(400) == 0) {
                final int side = random.nextInt(1 << COURIERS);
                final int way = random.nextInt(3);
                for (int i = 0; i < COURIERS * COURIERS; i++) {
                    final int across = (side >> i % COURIERS & 1) - (side >> i / COURIERS & 1);
                    sim.cut[i % COURIERS][i / COURIERS] = way == 1 && across != 0 || way == 2 && across > 0;
                }
            }
            if (random.nextInt(800) == 0) {
                sim.limits.put(
                        sim.nowUs, limit * List.of(0.33, 0.8, 1.0, 1.2, 2.0).get(random.nextInt(5)));
            }
        });
        return excess(sim, RATION_US + HEARD_US);
    }

    /** The maximum of a second's calls above the highest limit in it or so long before it, with drift and n. */
    private static double excess(final FleetSim sim, final long beforeUs) {
        final List<Long> calls = sim.calls();
        double worst = Double.NEGATIVE_INFINITY;
        for (int first = 0, next = 0; first < calls.size(); first++) {
            final long fromUs = calls.get(first);
            while (next < calls.size() && calls.get(next) < fromUs + SECOND) {
                next++;
            }
            final Long since = sim.limits.floorKey(fromUs - beforeUs);
            final double highest = sim.limits.subMap(since == null ? 0 : since, fromUs + SECOND).values().stream()
                    .mapToDouble(Double::doubleValue)
                    .max()
                    .orElseThrow();
            worst = Math.max(worst, next - first - highest * (1 + BLOCK.driftPpm() / 1e6) - sim.nodes.length);
        }
        return worst;
    }

    private static List<Long> broken(final int schedules, final LongToDoubleFunction play) {
        return LongStream.range(0, schedules)
                .parallel()
                .filter(seed -> play.applyAsDouble(seed) > 0)
                .boxed()
                .toList();
    }

    @Test
    void noSecondPassesTheLimitInAnySchedule() {
        assertThat(broken(SCHEDULES, seed -> chaos(seed, true, 0)))
                .as("seeds with too many calls")
                .isEmpty();
    }

    @Test
    void theCheckerSeesAnAllocatorThatDoesNotWaitAndTwoHolders() {
        assertThat(broken(MUTATED, seed -> chaos(seed, false, 0))).as("no wait").isNotEmpty();
        assertThat(broken(MUTATED, seed -> chaos(seed, true, 4 * SECOND)))
                .as("two holders")
                .isNotEmpty();
    }

    /** The part of the limit that is used if one courier has 60% of the traffic. */
    private static double use(final double traffic, final boolean even, final double noise) {
        final FleetSim sim = new FleetSim(7, COURIERS, 1, 50);
        sim.even = even;
        sim.noise = noise;
        sim.loss = 0.01;
        sim.terms.add(new FleetSim.Term(1, 1, 0, Long.MAX_VALUE));
        Arrays.stream(sim.nodes).forEach(node -> node.arrivals[0] = 50 * traffic * (node.id == 0 ? 0.6 : 0.1));
        sim.play(60 * SECOND, () -> {});
        return sim.calls().stream().filter(atUs -> atUs >= 10 * SECOND).count() / (50.0 * 50);
    }

    @Test
    void theLimitIsUsedWhereOneCourierGetsMost() {
        for (final double traffic : new double[] {1.2, 1.5, 2}) {
            final double used = use(traffic, false, 0);
            System.out.printf(
                    "traffic of %.1f limits: used %.3f, by even parts %.3f, with limits told 13%% off %.3f%n",
                    traffic, used, use(traffic, true, 0), use(traffic, false, 0.13));
            assertThat(used).isGreaterThan(0.9);
        }
    }

    /** Time after a courier's permanent failure, with 5% loss, until the others use 95% of what is left to them, us. */
    private static long passedOn(final long seed, final boolean allocatorDies) {
        final FleetSim sim = new FleetSim(seed, COURIERS, 1, 200);
        final long diesUs = 5 * SECOND + sim.random.nextLong(SECOND);
        sim.loss = 0.05;
        sim.terms.add(new FleetSim.Term(0, 1, 0, allocatorDies ? diesUs + BLOCK.leaseMs() * MS : Long.MAX_VALUE));
        sim.terms.add(new FleetSim.Term(1, 2, diesUs + (BLOCK.leaseMs() + 200) * MS, Long.MAX_VALUE));
        if (!allocatorDies) {
            sim.terms.remove(1);
        }
        sim.play(15 * SECOND, () -> {
            Arrays.stream(sim.nodes).forEach(node -> node.waiting[0] = 1000);
            sim.nodes[allocatorDies ? 0 : 4].awakeUs = sim.nowUs >= diesUs ? Long.MAX_VALUE : 0;
        });
        final double left = 200 * (1 - BLOCK.reserve() / COURIERS);
        final List<Long> calls = sim.calls();
        return LongStream.iterate(diesUs, atUs -> atUs < 14 * SECOND, atUs -> atUs + 20 * MS)
                        .filter(atUs -> calls.stream()
                                        .filter(each -> each >= atUs && each < atUs + SECOND / 2)
                                        .count()
                                >= 0.95 * left / 2)
                        .findFirst()
                        .orElse(Long.MAX_VALUE)
                - diesUs;
    }

    @Test
    void theShareOfADeadCourierIsUsedByTheOthers() {
        for (final boolean allocatorDies : new boolean[] {false, true}) {
            final long[] spans = LongStream.range(0, 100)
                    .map(seed -> passedOn(seed, allocatorDies))
                    .sorted()
                    .toArray();
            System.out.printf(
                    "share of a dead %s used: median %d ms, p99 %d ms, worst of 100 %d ms%n",
                    allocatorDies ? "allocator" : "courier", spans[50] / MS, spans[98] / MS, spans[99] / MS);
            assertThat(spans[98]).isLessThan(2 * BLOCK.leaseMs() * MS);
        }
    }

    @Test
    void aLoweredLimitAppliesWithinHalfALeaseTimeIfAllReceiveIt() {
        assertThat(broken(40, seed -> {
                    final FleetSim sim = new FleetSim(seed, COURIERS, 1, 90);
                    sim.terms.add(new FleetSim.Term(0, 1, 0, Long.MAX_VALUE));
                    sim.limits.put(5 * SECOND + seed * 37 * MS, seed % 2 == 0 ? 30.0 : 81);
                    sim.play(9 * SECOND, () -> Arrays.stream(sim.nodes).forEach(node -> node.waiting[0] = 1000));
                    return excess(sim, RATION_US / 2);
                }))
                .isEmpty();
    }

    @Test
    void idleFleetsSendNothingAndBusyOnesLittle() {
        for (final int couriers : new int[] {10, 30}) {
            final FleetSim sim = new FleetSim(1, couriers, 14, 100);
            sim.terms.add(new FleetSim.Term(0, 1, 0, Long.MAX_VALUE));
            sim.play(5 * SECOND, () -> {});
            assertThat(Arrays.stream(sim.nodes).mapToLong(node -> node.bytes)).containsOnly(0L);
            sim.play(15 * SECOND, () -> Arrays.stream(sim.nodes).forEach(node -> Arrays.fill(node.waiting, 1000)));
            final long[] bytes =
                    Arrays.stream(sim.nodes).mapToLong(node -> node.bytes / 10).toArray();
            System.out.printf(
                    "bytes a second, %d couriers, 14 destinations: allocator %d, another %d, mean %.0f%n",
                    couriers, bytes[0], bytes[1], Arrays.stream(bytes).average().orElseThrow());
        }
    }
}
