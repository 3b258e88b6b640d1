package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A courier with little memory and many descriptors, and hundreds of clients that make it hold requests. */
@Timeout(120)
final class ClientMemoryIT {
    /** The least memory that the pages name, 32 MB (TERMS-irishead.md), and the 64 MB that a JVM may be given more. */
    private static final int MEMORY_MB = 96;

    /** The memory that the configuration of the harness names. */
    private static final int UPGRADE_MEMORY_MB = 192;

    /** Less than the crowd needs. */
    private static final int FEW_BUFFER_BYTES = 1_000_000;

    private static final int CLIENTS = 500;
    private static final int BYTES_PER_MB = 1 << 20;
    private static final long CROWD_NS = TimeUnit.SECONDS.toNanos(6);
    private static final long PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(40);

    @ParameterizedTest
    @EnumSource
    void unfinishedRequestsOfACrowdDoNotExceedTheMemoryLimit(final SlowClients.Kind kind, @TempDir final Path folder)
            throws IOException {
        try (Fleet fleet = new Fleet(folder, 1, 2, 1)) {
            final CourierProcess courier = fleet.couriers.get(0);
            courier.configure("\"memory_mb\":192", "\"memory_mb\":" + MEMORY_MB);
            fleet.startAll();
            final long idleBytes = courier.peakMemoryBytes();
            final RequestLog answers = new RequestLog();
            try (SlowClients crowd = new SlowClients(courier.port, kind, CLIENTS)) {
                crowd.start();
                submitMeanwhile(courier, answers);
            }
            final long peakBytes = courier.peakMemoryBytes();
            System.out.printf(
                    "{\"event\":\"client_memory\",\"kind\":\"%s\",\"idle_mb\":%d,\"peak_mb\":%d,\"sound\":%d,\"accepted\":%d}%n",
                    kind,
                    idleBytes / BYTES_PER_MB,
                    peakBytes / BYTES_PER_MB,
                    answers.seen.size(),
                    answers.seen.stream().filter(RequestLog.Seen::takenOn).count());
            assertTrue(courier.isAlive(), courier::state);
            assertTrue(peakBytes > 0 && peakBytes <= (long) MEMORY_MB * BYTES_PER_MB, peakBytes + " bytes");
            assertEquals(
                    List.of(),
                    answers.seen.stream().filter(seen -> seen.status() == 0).toList(),
                    courier::state);
        }
    }

    @Test
    void buffersThatCannotBeAllocatedEndConnectionsAndNotTheProcess(@TempDir final Path folder) throws IOException {
        try (Fleet fleet = new Fleet(folder, 1, 2, 1)) {
            final CourierProcess courier = fleet.couriers.get(0);
            fleet.startAll(List.of("env", "JAVA_TOOL_OPTIONS=-Dio.netty.maxDirectMemory=" + FEW_BUFFER_BYTES));
            try (SlowClients crowd = new SlowClients(courier.port, SlowClients.Kind.UNFINISHED_FIELD, CLIENTS)) {
                crowd.start();
                submitMeanwhile(courier, new RequestLog());
            }
            assertTrue(courier.isAlive(), courier::state);
            Fleet.await("an answer after it", courier::isUp, courier::state);
        }
    }

    /** Both processes together have the memory of one courier (next/1/LATER.md, Upgrades). */
    @Test
    void twoProcessesOfAnUpgradeInACrowdDoNotExceedTheMemoryLimit(@TempDir final Path folder) throws Exception {
        try (Fleet fleet = new Fleet(folder, 1, 2, 1)) {
            final CourierProcess old = fleet.couriers.get(0);
            fleet.startAll();
            long peakBytes = 0;
            try (CourierProcess next = old.beside();
                    SlowClients crowd = new SlowClients(old.port, SlowClients.Kind.MOST_OF_A_BODY, CLIENTS)) {
                crowd.start();
                next.start(fleet.discovery());
                Fleet.await("standing by", () -> !next.events("stands_by").isEmpty(), next::state);
                peakBytes = peakUntil(old, next, TimeUnit.SECONDS.toNanos(2));
                old.signal("TERM");
                peakBytes = Math.max(peakBytes, peakUntil(old, next, CROWD_NS));
                assertTrue(next.isAlive() && !old.isAlive(), () -> old.state() + next.state());
            }
            System.out.printf("{\"event\":\"upgrade_memory\",\"peak_mb\":%d}%n", peakBytes / BYTES_PER_MB);
            assertTrue(peakBytes <= (long) UPGRADE_MEMORY_MB * BYTES_PER_MB, peakBytes + " bytes");
        }
    }

    /** The peak of both processes' resident memory together. */
    private static long peakUntil(final CourierProcess old, final CourierProcess next, final long lengthNs) {
        final long untilNs = System.nanoTime() + lengthNs;
        long peakBytes = 0;
        while (System.nanoTime() < untilNs) {
            peakBytes = Math.max(peakBytes, old.residentMemoryBytes() + next.residentMemoryBytes());
            LockSupport.parkNanos(PAUSE_NS);
        }
        return peakBytes;
    }

    /** Sound clients' requests while the crowd is there. */
    private static void submitMeanwhile(final CourierProcess courier, final RequestLog answers) {
        final long untilNs = System.nanoTime() + CROWD_NS;
        for (int number = 0; System.nanoTime() < untilNs && courier.isAlive(); number++) {
            answers.submit(courier, "sound" + number, "safe");
            LockSupport.parkNanos(PAUSE_NS);
        }
    }
}
