package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * One client floods a courier that has little memory and half of a core, while others send messages at their own pace.
 */
@Timeout(120)
final class FloodingClientIT {
    /** The least memory that the pages name, 32 MB (TERMS-irishead.md), and the 64 MB that a JVM may be given more. */
    private static final int MEMORY_MB = 96;

    private static final int BYTES_PER_MB = 1 << 20;
    private static final long FLOOD_NS = TimeUnit.SECONDS.toNanos(6);
    private static final long PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** A client waits so long for its answer (PROTOCOL-irishead.md, Clients to couriers). */
    private static final long PATIENCE_NS = TimeUnit.MILLISECONDS.toNanos(400);

    @ParameterizedTest
    @EnumSource
    void oneFloodingClientDelaysNoOtherClientsAnswer(final FloodingClient.Kind kind, @TempDir final Path folder)
            throws IOException {
        try (Fleet fleet = new Fleet(folder, 1, 2, 1, 5000)) {
            final CourierProcess courier = fleet.couriers.get(0);
            courier.configure("\"memory_mb\":192", "\"memory_mb\":" + MEMORY_MB);
            courier.configure("\"max_open\":50", "\"max_open\":400");
            final HalfCore core = new HalfCore();
            fleet.startAll(core.starter());
            final RequestLog answers = new RequestLog();
            final long flooded;
            try (core;
                    FloodingClient flood = new FloodingClient(courier.port, kind)) {
                core.share();
                flood.start();
                submitMeanwhile(courier, answers);
                flooded = flood.sentRequests();
            }
            final long peakBytes = courier.peakMemoryBytes();
            System.out.printf(
                    "{\"event\":\"flooding_client\",\"kind\":\"%s\",\"flooded\":%d,\"peak_mb\":%d,\"sound\":%d,\"accepted\":%d,\"longest_ms\":%d}%n",
                    kind,
                    flooded,
                    peakBytes / BYTES_PER_MB,
                    answers.seen.size(),
                    answers.seen.stream().filter(RequestLog.Seen::takenOn).count(),
                    TimeUnit.NANOSECONDS.toMillis(answers.seen.stream()
                            .mapToLong(seen -> seen.endNs() - seen.sentNs())
                            .max()
                            .orElse(0)));
            assertTrue(courier.isAlive(), courier::state);
            assertTrue(peakBytes > 0 && peakBytes <= (long) MEMORY_MB * BYTES_PER_MB, peakBytes + " bytes");
            assertEquals(
                    List.of(),
                    answers.seen.stream()
                            .filter(seen -> seen.status() == 0 || seen.endNs() - seen.sentNs() > PATIENCE_NS)
                            .toList(),
                    courier::state);
        }
    }

    /** Messages of sound clients, each on a connection of its own. */
    private static void submitMeanwhile(final CourierProcess courier, final RequestLog answers) {
        final long untilNs = System.nanoTime() + FLOOD_NS;
        for (int number = 0; System.nanoTime() < untilNs && courier.isAlive(); number++) {
            answers.submit(courier, "sound" + number, "safe");
            LockSupport.parkNanos(PAUSE_NS);
        }
    }
}
