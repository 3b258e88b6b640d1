package driftchute.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Five couriers and a destination that hangs: which of them learn of it, and how often it is probed meanwhile. */
final class SharedVerdictIT {
    private static final int COURIERS = 5;
    private static final double LIMIT = 40;
    private static final String BLOCK = "{\"lease_ms\":1000,\"ration_ms\":600,\"probe_ms\":300}";
    private static final long HANG_NS = TimeUnit.SECONDS.toNanos(10);
    /**
     * Calls that arrive while no courier can know yet are no probes: each courier's first calls must time out first.
     */
    private static final long UNKNOWN_NS = TimeUnit.SECONDS.toNanos(3);

    /** Calls that arrived while it hung, after the first ones had timed out. */
    private static long trials(final Path folder, final String block) throws IOException, InterruptedException {
        try (Fleet fleet = new Fleet(folder, COURIERS, 1, 1, LIMIT, block)) {
            final FakeDestination destination = new FakeDestination(fleet, LIMIT, COURIERS);
            fleet.startAll();
            if (block != null) {
                SharedLimitIT.allocator(fleet);
            }
            try (LoadGenerator load = new LoadGenerator(fleet, 4, 4, 4, 4, 4)) {
                Fleet.await("calls", () -> destination.came().size() > 40);
                destination.hangs(true);
                final long fromNs = System.nanoTime();
                load.run("the hang's time", HANG_NS);
                final long healNs = System.nanoTime();
                destination.hangs(false);
                Fleet.await("served again", () -> destination.count(healNs, Long.MAX_VALUE) > 20);
                if (block != null) {
                    Fleet.await(
                            "a verdict at each courier",
                            () -> fleet.couriers.stream()
                                    .allMatch(courier -> courier.events("verdict").stream()
                                            .anyMatch(line ->
                                                    line.path("to").asText().equals("OUT"))));
                    Fleet.await(
                            "its end at each courier",
                            () -> fleet.couriers.stream()
                                    .allMatch(courier -> courier.events("verdict").stream()
                                            .anyMatch(line ->
                                                    line.path("to").asText().equals("BACK"))));
                }
                return destination.count(fromNs + UNKNOWN_NS, healNs);
            }
        }
    }

    @Test
    void aHangingDestinationIsProbedByOneCourierAtATime(@TempDir final Path folder)
            throws IOException, InterruptedException {
        final long shared = trials(folder.resolve("shared"), BLOCK);
        final long alone = trials(folder.resolve("alone"), null);
        System.out.printf(
                Locale.ROOT,
                "{\"event\":\"fleet_figures\",\"scenario\":\"trials\",\"shared\":%d,\"alone\":%d}%n",
                shared,
                alone);
        assertThat(2 * shared).as("trials of all couriers together, twice").isLessThanOrEqualTo(alone);
    }

    @Test
    void withoutTheBlockThereIsNoThreadAndNoSocketMore(@TempDir final Path folder) throws IOException {
        try (Fleet fleet = new Fleet(folder.resolve("off"), 1, 1, 1, LIMIT, "");
                Fleet with = new Fleet(folder.resolve("on"), 1, 1, 1, LIMIT, BLOCK)) {
            fleet.startAll();
            with.startAll();
            final long off = fleet.couriers.get(0).pid();
            final long on = with.couriers.get(0).pid();
            Fleet.await(
                    "the control thread, with the block",
                    () -> threads(on).stream().anyMatch(name -> name.startsWith("fleet")));
            Fleet.await("the peers' socket, with the block", () -> datagramSockets(on) == 1);
            assertThat(threads(off)).noneMatch(name -> name.startsWith("fleet"));
            assertThat(datagramSockets(off)).isZero();
        }
    }

    private static List<String> threads(final long pid) {
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
            return tasks.map(task -> read(task.resolve("comm")).trim()).toList();
        } catch (final IOException e) {
            return List.of();
        }
    }

    /** Number of a process's descriptors that are UDP sockets, of either address family. */
    private static long datagramSockets(final long pid) {
        final String known = read(Path.of("/proc/net/udp")) + read(Path.of("/proc/net/udp6"));
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return descriptors
                    .map(SharedVerdictIT::target)
                    .filter(target -> target.startsWith("socket:["))
                    .map(target -> target.replaceAll("\\D", ""))
                    .filter(inode -> known.contains(" " + inode + " "))
                    .count();
        } catch (final IOException e) {
            return -1;
        }
    }

    private static String target(final Path link) {
        try {
            return Files.readSymbolicLink(link).toString();
        } catch (final IOException e) {
            return "";
        }
    }

    private static String read(final Path file) {
        try {
            return Files.readString(file);
        } catch (final IOException e) {
            return "";
        }
    }
}
