package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Three couriers, two endpoints, a client at each courier; one courier is killed (SIGKILL) under load and restarted on
 * its folder. No accepted message may be lost, no unsafe message executed twice, and every request is answered unless
 * its courier died while it waited.
 */
final class KillRestartIT {
    private static final int COURIERS = 3;
    private static final int MESSAGES = 40;
    /** Time from restart to {@code GET /up} 200, us, over all seeds. */
    private static final Histogram RESTART_US = new Histogram(TimeUnit.SECONDS.toMicros(60), 3);

    private static final Histogram WALL_US = new Histogram(TimeUnit.MINUTES.toMicros(10), 3);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aKilledCourierRestartsOnItsFolderAndNothingIsLost(final long seed, @TempDir final Path folder)
            throws IOException, InterruptedException {
        final long startNs = System.nanoTime();
        final RequestLog ledger = new RequestLog();
        final Map<String, List<RuleChecker.Death>> kills = new ConcurrentHashMap<>();
        try (Fleet fleet = new Fleet(folder, COURIERS, 2, seed)) {
            fleet.startAll();
            final CourierProcess victim = fleet.couriers.get((int) (seed % COURIERS));
            final AtomicInteger victimAnswers = new AtomicInteger();
            final List<Thread> clients = new ArrayList<>();
            final List<Throwable> failures = new CopyOnWriteArrayList<>();
            for (final CourierProcess courier : fleet.couriers) {
                final Thread client = new Thread(
                        () -> {
                            for (int n = 0; n < MESSAGES; n++) {
                                final RequestLog.Seen seen = ledger.submit(
                                        courier,
                                        "s" + seed + "-" + courier.name + "-" + n,
                                        n % 2 == 0 ? "safe" : "once");
                                if (courier == victim && seen.status() > 0) {
                                    victimAnswers.incrementAndGet();
                                }
                            }
                        },
                        "client-" + courier.name);
                client.setUncaughtExceptionHandler((thread, e) -> failures.add(e));
                clients.add(client);
                client.start();
            }
            final int before = 5 + (int) (seed * 3);
            Fleet.await("answers before the kill", () -> victimAnswers.get() >= before);
            final long signalNs = System.nanoTime();
            victim.kill();
            kills.computeIfAbsent(victim.name, name -> new CopyOnWriteArrayList<>())
                    .add(new RuleChecker.Death(signalNs, System.nanoTime()));
            final long restartNs = System.nanoTime();
            victim.start(fleet.discovery());
            Fleet.await(victim.name + " up again", victim::isUp);
            RESTART_US.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - restartNs));
            for (final Thread client : clients) {
                client.join(TimeUnit.SECONDS.toMillis(Fleet.PATIENCE_S * 2));
                assertTrue(!client.isAlive(), client.getName() + " did not finish");
            }
            assertTrue(failures.isEmpty(), failures.toString());
            Fleet.await(
                    "every message taken on over: " + RuleChecker.owed(fleet, ledger),
                    () -> RuleChecker.owed(fleet, ledger).isEmpty());
            final List<String> broken = RuleChecker.violations(fleet, ledger, kills);
            assertEquals(List.of(), broken, "log of " + victim.name + ": " + victim.log);
            assertEquals(COURIERS * MESSAGES, ledger.seen.size());
            assertTrue(
                    ledger.seen.stream().filter(RequestLog.Seen::takenOn).count() > COURIERS * MESSAGES / 2,
                    "most messages are taken on: " + ledger.seen);
            assertEquals(1, victim.events("resumed").size(), "the restarted process says what it resumed");
            assertEquals(1, victim.events("journal_begun").size(), "only the first start finds the folder empty");
        }
        WALL_US.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs));
    }

    @AfterAll
    static void figures() throws IOException {
        final String line = String.format(
                java.util.Locale.ROOT,
                "{\"event\":\"fleet_figures\",\"scenario\":\"kill_restart\",\"seeds\":%d,"
                        + "\"restart_to_up_ms\":{\"p50\":%.1f,\"max\":%.1f},\"wall_s\":{\"p50\":%.2f,\"max\":%.2f}}",
                RESTART_US.getTotalCount(),
                RESTART_US.getValueAtPercentile(50) / 1e3,
                RESTART_US.getMaxValue() / 1e3,
                WALL_US.getValueAtPercentile(50) / 1e6,
                WALL_US.getMaxValue() / 1e6);
        System.out.println(line);
        Files.createDirectories(Path.of("target"));
        Files.writeString(
                Path.of("target/fleet-figures.jsonl"),
                line + "\n",
                java.nio.file.StandardOpenOption.CREATE,
                java.nio.file.StandardOpenOption.APPEND);
    }
}
