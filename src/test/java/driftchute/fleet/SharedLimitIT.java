package driftchute.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import driftchute.drill.Fault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Five couriers with one limit and twice as much load, 60% of it at one courier; with faults between and in them.
 * Counts what the destination received, not what the couriers report.
 */
final class SharedLimitIT {
    private static final int COURIERS = 5;
    private static final double LIMIT = 40;
    private static final double LOWERED = 14;
    private static final String BLOCK = "{\"lease_ms\":1000,\"ration_ms\":600,\"probe_ms\":300}";
    /** One call per courier for the edges of the second (docs/fleet-rations.md). */
    private static final int EDGE = COURIERS;
    /** Duration of the load before and after a fault begins, so long that role and rate leases expire. */
    private static final long PHASE_NS = TimeUnit.SECONDS.toNanos(3);

    /** The fault of one phase. */
    enum Drill {
        KILLED,
        STOPPED,
        CUT_OFF,
        DEAF,
        LOSSY,
        LOWERED_WHILE_CUT
    }

    @ParameterizedTest
    @EnumSource
    void noSecondHoldsMoreThanTheLimit(final Drill drill, @TempDir final Path folder)
            throws IOException, InterruptedException {
        play(drill, drill.ordinal() + 1, folder);
    }

    /** One run of a drill; throws if a second had more calls than permitted. */
    static void play(final Drill drill, final long seed, final Path folder) throws IOException, InterruptedException {
        try (Fleet fleet = new Fleet(folder, COURIERS, 1, seed, LIMIT, BLOCK)) {
            final FakeDestination destination = new FakeDestination(fleet, LIMIT, 2 * EDGE);
            fleet.startAll();
            final int allocator = allocator(fleet);
            final CourierProcess process = fleet.couriers.get(allocator);
            final long fromNs = System.nanoTime();
            long loweredNs = Long.MAX_VALUE;
            int edge = EDGE;
            try (LoadGenerator load = new LoadGenerator(fleet, 48, 8, 8, 8, 8)) {
                load.run("a phase of load", PHASE_NS);
                switch (drill) {
                    case KILLED -> process.kill();
                    case STOPPED -> process.signal("STOP");
                    case LOSSY -> fleet.paths.setAll(Fault.parse("loss 0.3"));
                    case DEAF -> {
                        for (int peer = 0; peer < COURIERS; peer++) {
                            if (peer != allocator) {
                                fleet.paths.set(peer, allocator, Fault.parse("blackhole"));
                            }
                        }
                    }
                    default -> fleet.paths.cutOff(List.of(allocator));
                }
                if (drill == Drill.LOWERED_WHILE_CUT) {
                    destination.limit(LOWERED);
                    loweredNs = System.nanoTime();
                }
                load.run("a phase of faults", PHASE_NS);
                if (drill == Drill.STOPPED) {
                    process.signal("CONT");
                } else if (drill == Drill.KILLED) {
                    process.start(fleet.discovery());
                    // Its new process does not know the previous one's last call.
                    edge++;
                    Fleet.await(process.name + " up again", process::isUp);
                }
                fleet.paths.setAll(Fault.PASS);
                load.run("a phase after", PHASE_NS);
            }
            final long endNs = System.nanoTime();
            if (loweredNs == Long.MAX_VALUE) {
                assertThat(destination.mostInASecond(fromNs, endNs))
                        .as("calls in any second")
                        .isLessThanOrEqualTo((int) LIMIT + edge);
            } else {
                // Each courier learns it with its next answer; rates leased before expire within a lease time.
                final long knownNs = loweredNs + TimeUnit.MILLISECONDS.toNanos(1600);
                assertThat(destination.mostInASecond(knownNs, endNs))
                        .as("calls in any second, lowered")
                        .isLessThanOrEqualTo((int) LOWERED + edge);
            }
            assertThat(destination.count(endNs - PHASE_NS, endNs))
                    .as("served after the fault")
                    .isPositive();
            System.out.printf(
                    Locale.ROOT,
                    "{\"event\":\"fleet_figures\",\"scenario\":\"shared_limit\",\"drill\":\"%s\","
                            + "\"seed\":%d,\"most_in_a_second\":%d,\"use\":%.2f}%n",
                    drill,
                    seed,
                    destination.mostInASecond(fromNs, endNs),
                    destination.count(fromNs, endNs) / (LIMIT * (endNs - fromNs) / 1e9));
        }
    }

    @Test
    void aLoadedCourierUsesWhatTheOthersLeave(@TempDir final Path folder) throws IOException, InterruptedException {
        final double shared = use(folder.resolve("shared"), BLOCK);
        final double alone = use(folder.resolve("alone"), null);
        System.out.printf(
                Locale.ROOT,
                "{\"event\":\"fleet_figures\",\"scenario\":\"limit_use\",\"shared\":%.3f," + "\"alone\":%.3f}%n",
                shared,
                alone);
        assertThat(shared).as("use of the limit, shared").isGreaterThanOrEqualTo(0.9);
    }

    private static double use(final Path folder, final String block) throws IOException, InterruptedException {
        try (Fleet fleet = new Fleet(folder, COURIERS, 1, 1, LIMIT, block)) {
            final FakeDestination destination = new FakeDestination(fleet, LIMIT, EDGE);
            fleet.startAll();
            if (block != null) {
                allocator(fleet);
            }
            try (LoadGenerator load = new LoadGenerator(fleet, 48, 8, 8, 8, 8)) {
                load.run("warm", 3 * PHASE_NS);
                final long steadyNs = System.nanoTime();
                load.run("steady", 2 * PHASE_NS);
                final long endNs = System.nanoTime();
                return (destination.count(steadyNs, endNs) - destination.refused())
                        / (LIMIT * (endNs - steadyNs) / 1e9);
            }
        }
    }

    /** The number of the courier that last took that role; waits for one. */
    static int allocator(final Fleet fleet) {
        Fleet.await("an allocator", () -> taken(fleet) != null);
        return fleet.couriers.indexOf(taken(fleet));
    }

    private static CourierProcess taken(final Fleet fleet) {
        return fleet.couriers.stream()
                .filter(courier -> lastTakenMs(courier) > 0)
                .max(Comparator.comparingLong(SharedLimitIT::lastTakenMs))
                .orElse(null);
    }

    private static long lastTakenMs(final CourierProcess courier) {
        return courier.events("duty_taken").stream()
                .filter(line -> line.path("duty").asText().equals("allocator"))
                .mapToLong(line -> line.path("t_ms").asLong())
                .max()
                .orElse(0);
    }
}
