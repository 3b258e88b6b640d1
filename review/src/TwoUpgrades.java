import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Four rounds with seven partners each, of one endpoint each. Six are at their rate limit: each turns the first call with
 * an order away with 429 and an honest wait, and answers the next one 200 after 2.5 s. The seventh takes 2.9 s for a call.
 * With trouble the courier is upgraded twice in each round, the second time directly after the first. No licence order may
 * be called again while an earlier call is out or after one that was not turned away.
 */
public final class TwoUpgrades {
    /** Partners in a round: six at their limit, and the slow one. */
    private static final int PARTNERS = 7;
    private static final int ROUNDS = 4;
    private static final long TIMEOUT_MS = 12_000;
    private static final String WAIT_S = "0.400";
    private static final long WORK_MS = 2500;
    /** A seventh partner of slower pace, which turns nothing away. */
    private static final long SLOW_WORK_MS = 2900;
    private static final int PATIENCE_MS = 400;
    /** LATER.md, Upgrades: SIGKILL follows SIGTERM after 3.7 s. The second SIGTERM comes within that time. */
    private static final long KILL_AFTER_MS = 3700;

    private static final long SECOND_AFTER_MS = 1000;

    /** Upgrades in a row: two, or one for comparison with UPGRADES=1. */
    private static final boolean TWICE = !"1".equals(System.getenv("UPGRADES"));

    /** One call that reached an endpoint. */
    private record Call(String endpoint, double atMs, boolean turnedAway) {}

    private final Map<String, List<Call>> calls = new ConcurrentHashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Stand.Record record;
    private final Stand.Platform platform;
    private final Path work;
    private final int port = Stand.freePort();

    private TwoUpgrades(final Stand.Record record, final Path work) throws IOException {
        this.record = record;
        this.work = work;
        this.platform = new Stand.Platform(record, 40);
    }

    public static void main(final String[] args) throws Exception {
        final Path folder = Path.of(args[0]);
        final Path work = Files.createTempDirectory("review");
        int exit = 2;
        try (Stand.Record record = new Stand.Record(folder.resolve("record.txt"))) {
            exit = new TwoUpgrades(record, work).play(!"0".equals(System.getenv("TROUBLE")));
            record.line("exit " + exit);
        } catch (final IOException | RuntimeException e) {
            System.out.println("could not run: " + e);
        } finally {
            Stand.Courier.closeAll();
            Stand.delete(work);
        }
        System.exit(exit);
    }

    /** The last partner of each round. */
    private static boolean isSlow(final String endpoint) {
        return Integer.parseInt(endpoint.substring(2)) % PARTNERS == PARTNERS - 1;
    }

    private void onCall(final String endpoint, final Stand.Http request, final Stand.Conn conn) throws IOException {
        final String id = request.header("X-Request-ID");
        final boolean turnsAway;
        synchronized (calls) {
            final List<Call> before = calls.computeIfAbsent(id, unused -> new ArrayList<>());
            turnsAway = before.isEmpty() && !isSlow(endpoint);
            final String text = "call " + (before.size() + 1) + " with " + id + " at " + endpoint;
            record.line(text + (turnsAway ? ", turned away" : ", runs"));
            before.stream()
                    .filter(earlier -> !earlier.turnedAway())
                    .forEach(earlier -> broken.add(String.format(
                            Locale.ROOT, "%s, which runs since %.1f (call at %.1f)", text, earlier.atMs(), Stand.ms())));
            before.add(new Call(endpoint, Stand.ms(), turnsAway));
        }
        if (turnsAway) {
            conn.answer(429, "Retry-After: " + WAIT_S + "\r\n");
            return;
        }
        Stand.sleep(isSlow(endpoint) ? SLOW_WORK_MS : WORK_MS);
        record.line("answer 200 for " + id + " by " + endpoint);
        conn.answer(200, "");
    }

    private Stand.Courier start() throws IOException {
        final int mgmt = Stand.freePort();
        final Path config = work.resolve("config.json");
        Files.writeString(
                config,
                Stand.config("n0", port, 0, platform.server.address(), platform.whole(), false, Stand.CLASSES));
        return new Stand.Courier(
                Path.of("").toAbsolutePath(),
                work,
                config,
                Map.of(
                        "PROXY_NAME", "n0",
                        "PROXY_LISTEN", "127.0.0.1:" + port,
                        "PROXY_MGMT", "127.0.0.1:" + mgmt,
                        "PROXY_DISCOVERY", platform.server.address()),
                work.resolve("log.txt"),
                mgmt);
    }

    private int play(final boolean trouble) throws IOException {
        Files.createDirectories(work.resolve("state"));
        Files.createDirectories(work.resolve("tmp"));
        for (int dest = 0; dest < ROUNDS * PARTNERS; dest++) {
            final String name = "s-" + dest;
            final Stand.Server server = new Stand.Server((request, conn) -> onCall(name, request, conn));
            platform.set(name, Stand.Platform.host(name, server.address(), "small-partner", dest, "Ready"));
        }
        Stand.Courier serving = start();
        if (!Stand.Courier.awaitUp(port, 30_000)) {
            throw new IOException("the courier did not become ready");
        }
        Stand.sleep(500);
        final java.util.Random phases = new java.util.Random(29);
        int handedIn = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Stand.Courier second = null;
            if (trouble) {
                second = start();
                awaitYes(second);
            }
            // Another phase of the courier's steps of one second in each round.
            Stand.sleep(phases.nextInt(1000));
            // Clients with a connection of their own, which they keep.
            final List<Stand.Client> clients = new ArrayList<>();
            for (int partner = 0; partner < PARTNERS; partner++) {
                final Stand.Client client = new Stand.Client(port);
                clients.add(client);
                handIn(client, String.format(Locale.ROOT, "%016x", 0x9b1f03aa5c7e0000L + handedIn), handedIn++);
            }
            Stand.sleep(50);
            if (trouble) {
                record.line("first upgrade of round " + round + ": SIGTERM to the old process");
                serving.signal("TERM");
                final double firstTermMs = Stand.ms();
                Stand.Courier next = second;
                double secondTermMs = 0;
                if (TWICE) {
                    next = start();
                    awaitYes(next);
                    Stand.sleep((long) Math.max(0, firstTermMs + SECOND_AFTER_MS - Stand.ms()));
                    record.line("second upgrade of round " + round + ": SIGTERM to the process of the first");
                    second.signal("TERM");
                    secondTermMs = Stand.ms();
                }
                endWithin(serving, firstTermMs + KILL_AFTER_MS);
                if (TWICE) {
                    endWithin(second, secondTermMs + KILL_AFTER_MS);
                }
                serving = next;
            }
            Stand.sleep(4000);
            clients.forEach(Stand.Client::close);
        }
        synchronized (calls) {
            broken.forEach(line -> record.line("BROKEN duplicate: " + line));
            final String text = handedIn + " licence orders, " + (trouble ? (TWICE ? 2 : 1) * ROUNDS : 0) + " upgrades; rule duplicate "
                    + (broken.isEmpty() ? "held" : "broken by " + broken.size() + " calls");
            record.line(text);
            System.out.println(text);
            return broken.isEmpty() ? 0 : 1;
        }
    }

    /** Kills a process that has not ended in its time. */
    private void endWithin(final Stand.Courier old, final double untilMs) throws IOException {
        if (!old.ends((long) Math.max(1, untilMs - Stand.ms()))) {
            record.line("SIGKILL to the old process");
            old.signal("KILL");
        }
    }

    /** The new process is given 6 s to say yes on its second address. */
    private static void awaitYes(final Stand.Courier started) throws IOException {
        final double untilMs = Stand.ms() + 6000;
        while (Stand.ms() < untilMs) {
            try {
                if (Stand.command(started.mgmt, "check").startsWith("OK")) {
                    return;
                }
            } catch (final IOException e) {
                // It does not listen yet.
            }
            Stand.sleep(20);
        }
        throw new IOException("the new process did not say yes within 6 s");
    }

    private void handIn(final Stand.Client client, final String id, final long dest) throws IOException {
        final byte[] body = ("order " + id).getBytes(StandardCharsets.UTF_8);
        client.write(Stand.Client.message(id, "licence-order", dest, TIMEOUT_MS, body, ""));
        try {
            record.line("client " + id + " dest=" + dest + " answered " + client.answer(PATIENCE_MS).status());
        } catch (final java.net.SocketTimeoutException e) {
            record.line("client " + id + " dest=" + dest + " got no answer in time");
        }
    }
}
