package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A courier under a random series of signals, in some runs beside a crowd of bad clients. Clients use their connections
 * until these end, and SIGKILL comes as early as the protocol allows. The system properties {@code soak.first} and {@code
 * soak.seeds} choose the seeds.
 */
final class SoakIT {
    private static final int CLIENTS = 12;
    private static final int CROWD = 300;
    private static final int SIGNALS = 4;
    private static final int MEMORY_MB = 192;
    private static final int BYTES_PER_MB = 1 << 20;
    /** PROTOCOL-irishead.md, Figures: new connections after SIGTERM, SIGKILL after SIGTERM, the next start after it. */
    private static final long NEW_CONNECTIONS_MS = 300;

    private static final long KILL_MS = 3700;
    private static final long RESTART_MS = 600;

    private final RequestLog ledger = new RequestLog();
    private final List<RuleChecker.Death> deaths = new CopyOnWriteArrayList<>();
    private volatile boolean isFronted = true;
    private volatile boolean isOver;
    private Fleet fleet;
    private CourierProcess serving;
    private Random random;
    private long peakBytes;

    static LongStream seeds() {
        final long first = Long.getLong("soak.first", 1);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 4));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noSeriesOfSignalsBreaksARule(final long seed) throws Exception {
        random = new Random(seed);
        final Path folder = Files.createTempDirectory("soak");
        fleet = new Fleet(folder, 1, 2, seed, 5000);
        final List<AutoCloseable> crowd = new ArrayList<>();
        final List<String> series = new ArrayList<>();
        try {
            serving = fleet.couriers.get(0);
            fleet.startAll();
            final List<KeptClient> clients =
                    IntStream.range(0, CLIENTS).mapToObj(this::client).toList();
            clients.forEach(Thread::start);
            startCrowd(crowd, series);
            for (int signal = 0; signal < SIGNALS; signal++) {
                pause(200 + random.nextInt(1000));
                series.add(act());
            }
            pause(500);
            isOver = true;
            for (final KeptClient client : clients) {
                client.join(TimeUnit.SECONDS.toMillis(Fleet.PATIENCE_S));
            }
            check(seed, series);
        } finally {
            isOver = true;
            for (final AutoCloseable part : crowd) {
                part.close();
            }
            serving.close();
            fleet.close();
        }
    }

    private KeptClient client(final int number) {
        return new KeptClient(
                "client-" + number,
                fleet.couriers.get(0),
                ledger,
                number % 2 == 0 ? "safe" : "once",
                number % 4 == 0 ? 400 : 60,
                () -> isFronted,
                () -> isOver);
    }

    /** Bad clients in two of three runs. */
    private void startCrowd(final List<AutoCloseable> crowd, final List<String> series) {
        if (random.nextInt(3) == 0) {
            final SlowClients.Kind kind = SlowClients.Kind.values()[random.nextInt(SlowClients.Kind.values().length)];
            final SlowClients slow = new SlowClients(serving.port, kind, CROWD);
            slow.start();
            crowd.add(slow);
            series.add("crowd " + kind);
        } else if (random.nextInt(2) == 0) {
            final FloodingClient.Kind kind =
                    FloodingClient.Kind.values()[random.nextInt(FloodingClient.Kind.values().length)];
            final FloodingClient flood = new FloodingClient(serving.port, kind);
            flood.start();
            crowd.add(flood);
            series.add("flood " + kind);
        }
    }

    private String act() throws Exception {
        switch (random.nextInt(5)) {
            case 0 -> kill();
            case 1 -> restart(false);
            case 2 -> restart(true);
            case 3 -> upgrade();
            default -> {
                for (int count = 0; count < 3; count++) {
                    serving.signal("HUP");
                    pause(random.nextInt(50));
                }
                serving.signal("STOP");
                pause(150);
                serving.signal("CONT");
                return "hangups and a stop";
            }
        }
        return serving.name + " anew, pid " + serving.pid();
    }

    private void kill() throws Exception {
        measure();
        final long signalNs = System.nanoTime();
        serving.kill();
        pause(RESTART_MS);
        // Until here there was no process that could read what clients sent on connections they thought open.
        deaths.add(new RuleChecker.Death(signalNs, System.nanoTime()));
        startAnew();
    }

    /** SIGTERM, or several, then SIGKILL at the earliest time if the process is still there. */
    private void restart(final boolean repeatedly) throws Exception {
        final long termNs = System.nanoTime();
        serving.signal("TERM");
        pause(NEW_CONNECTIONS_MS);
        isFronted = false;
        if (repeatedly && serving.isAlive()) {
            serving.signal("TERM");
            serving.signal("HUP");
        }
        endBy(serving, termNs);
        pause(RESTART_MS);
        startAnew();
        isFronted = true;
    }

    /** Starts the next process beside the serving one, which is then told to end. */
    private void upgrade() throws Exception {
        final CourierProcess old = serving;
        final CourierProcess next = old.beside();
        next.start(fleet.discovery());
        Fleet.await("standing by", () -> !next.events("stands_by").isEmpty(), next::state);
        final long termNs = System.nanoTime();
        old.signal("TERM");
        serving = next;
        endBy(old, termNs);
        Fleet.await("serving", () -> !next.events("ready").isEmpty(), next::state);
    }

    private void endBy(final CourierProcess ending, final long termNs) throws Exception {
        while (ending.isAlive() && System.nanoTime() - termNs < TimeUnit.MILLISECONDS.toNanos(KILL_MS)) {
            pause(5);
        }
        if (ending.isAlive()) {
            final long signalNs = System.nanoTime();
            ending.kill();
            deaths.add(new RuleChecker.Death(signalNs, System.nanoTime()));
        }
    }

    private void startAnew() throws IOException {
        serving.start(fleet.discovery());
        Fleet.await("up again", serving::isUp, serving::state);
    }

    private void measure() {
        peakBytes = Math.max(peakBytes, serving.peakMemoryBytes());
    }

    private static void pause(final long ms) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    private void check(final long seed, final List<String> series) {
        measure();
        Fleet.await(
                "every message over: " + RuleChecker.owed(fleet, ledger) + " after " + series,
                () -> RuleChecker.owed(fleet, ledger).isEmpty(),
                serving::state);
        System.out.printf(
                "{\"event\":\"soak\",\"seed\":%d,\"requests\":%d,\"accepted\":%d,\"peak_mb\":%d,\"series\":\"%s\"}%n",
                seed,
                ledger.seen.size(),
                ledger.seen.stream().filter(RequestLog.Seen::takenOn).count(),
                peakBytes / BYTES_PER_MB,
                series);
        assertTrue(serving.isAlive(), serving::state);
        assertTrue(peakBytes <= (long) MEMORY_MB * BYTES_PER_MB, peakBytes + " bytes");
        assertEquals(
                List.of(),
                RuleChecker.violations(fleet, ledger, Map.of(fleet.couriers.get(0).name, deaths)),
                () -> "seed " + seed + ", " + series + ", " + serving.state());
        assertEquals(List.of(), serving.events("failure"), serving::state);
    }
}
