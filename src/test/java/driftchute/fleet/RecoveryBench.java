package driftchute.fleet;

import driftchute.node.JournalFiller;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The time from a courier's start to {@code GET /up} 200 with an empty folder and with a journal filled to its limit
 * (disk_mb 3), ten starts each. A benchmark: {@code mvn -B verify -Pbench}; it prints, and checks nothing.
 */
final class RecoveryBench {
    private static final int STARTS = 10;

    @Test
    void startToUp(@TempDir final Path folder) throws IOException, InterruptedException {
        for (final boolean full : new boolean[] {false, true}) {
            final Histogram us = new Histogram(TimeUnit.MINUTES.toMicros(1), 3);
            final Histogram toResumedMs = new Histogram(TimeUnit.MINUTES.toMillis(1), 3);
            final Histogram toReadyMs = new Histogram(TimeUnit.MINUTES.toMillis(1), 3);
            int held = 0;
            long bytes = 0;
            for (int start = 0; start < STARTS; start++) {
                try (Fleet fleet = new Fleet(folder.resolve((full ? "full" : "empty") + start), 1, 1, start)) {
                    final CourierProcess courier = fleet.couriers.get(0);
                    final Path state =
                            folder.resolve((full ? "full" : "empty") + start).resolve("c0/state");
                    if (full) {
                        held = JournalFiller.fill(state, 3L << 20, 512);
                        bytes = Files.size(state.resolve("journal"));
                    }
                    fleet.relays.get(0).set(driftchute.drill.Fault.parse("blackhole"));
                    final long fromNs = System.nanoTime();
                    final long fromMs = System.currentTimeMillis();
                    courier.start(fleet.discovery());
                    Fleet.await("up", courier::isUp);
                    us.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - fromNs));
                    final long readyMs =
                            courier.events("ready").get(0).path("t_ms").asLong();
                    // With an empty folder nothing is resumed or logged.
                    final long resumedMs =
                            full ? courier.events("resumed").get(0).path("t_ms").asLong() : readyMs;
                    toResumedMs.recordValue(resumedMs - fromMs);
                    toReadyMs.recordValue(readyMs - resumedMs);
                }
            }
            System.out.printf(
                    Locale.ROOT,
                    "{\"event\":\"bench\",\"what\":\"start_to_up\",\"folder\":\"%s\","
                            + "\"messages\":%d,\"journal_bytes\":%d,\"p50_ms\":%.1f,\"max_ms\":%.1f,\"starts\":%d,"
                            + "\"to_resumed_p50_ms\":%d,\"resumed_to_ready_p50_ms\":%d}%n",
                    full ? "full" : "empty",
                    held,
                    bytes,
                    us.getValueAtPercentile(50) / 1e3,
                    us.getMaxValue() / 1e3,
                    us.getTotalCount(),
                    toResumedMs.getValueAtPercentile(50),
                    toReadyMs.getValueAtPercentile(50));
        }
    }
}
