import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One courier, two partners, sound clients and, with trouble, a few peers whose request is no proper HTTP/1.1 request.
 * Every such peer is owed an error or a close within 3 s, and none of their requests may reach an endpoint.
 */
public final class BadPeers {
    private static final int MESSAGES = 60;
    private static final int ONE_BAD_IN = 15;
    private static final long TIMEOUT_MS = 6000;
    private static final int OWED_MS = 3050;

    /** Requests by id, proper or not, and what reached an endpoint. */
    private final Map<String, String> sentByClients = new ConcurrentHashMap<>();

    private final Map<String, String> sentByPeers = new ConcurrentHashMap<>();
    private final Map<String, String> reached = new ConcurrentHashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Stand.Record record;
    private final Stand.Platform platform;

    private BadPeers(final Stand.Record record) throws IOException {
        this.record = record;
        this.platform = new Stand.Platform(record, 40);
    }

    public static void main(final String[] args) throws Exception {
        final Path folder = Path.of(args[0]);
        final Path work = Files.createTempDirectory("review");
        int exit = 2;
        try (Stand.Record record = new Stand.Record(folder.resolve("record.txt"))) {
            exit = new BadPeers(record).play(!"0".equals(System.getenv("TROUBLE")), work);
            record.line("exit " + exit);
        } catch (final IOException | RuntimeException e) {
            System.out.println("could not run: " + e);
        } finally {
            Stand.Courier.closeAll();
            Stand.delete(work);
        }
        System.exit(exit);
    }

    /** Improper requests: what is wrong, and the request with that fault. */
    private static Map<String, String> improper(final String id) {
        final String proper = new String(
                Stand.Client.message(
                        id, "licence-order", 7, TIMEOUT_MS, ("bad " + id).getBytes(StandardCharsets.UTF_8), ""),
                StandardCharsets.ISO_8859_1);
        final Map<String, String> all = new LinkedHashMap<>();
        all.put("no HTTP/1.1 but HTTP/9.9", proper.replace("HTTP/1.1", "HTTP/9.9"));
        all.put("a target that is no path", proper.replace("POST /licence-order", "POST xlicence-order"));
        all.put("no Host", proper.replace("Host: backend.local\r\n", ""));
        all.put("two Hosts", proper.replace("Host: backend.local\r\n", "Host: a.local\r\nHost: b.local\r\n"));
        return all;
    }

    private void onCall(final Stand.Http request, final Stand.Conn conn) throws IOException {
        final String id = request.header("X-Request-ID");
        reached.put(id, request.text());
        record.line("run " + id);
        Stand.sleep(60);
        conn.answer(200, "");
    }

    private int play(final boolean trouble, final Path work) throws IOException {
        Files.createDirectories(work.resolve("state"));
        Files.createDirectories(work.resolve("tmp"));
        for (int dest = 7; dest <= 8; dest++) {
            final Stand.Server server = new Stand.Server(this::onCall);
            platform.set("s-" + dest, Stand.Platform.host("s-" + dest, server.address(), "small-partner", dest, "Ready"));
        }
        final int port = Stand.freePort();
        final Path config = work.resolve("config.json");
        Files.writeString(
                config,
                Stand.config("n0", port, 0, platform.server.address(), platform.whole(), false, Stand.CLASSES));
        new Stand.Courier(
                Path.of("").toAbsolutePath(),
                work,
                config,
                Map.of(
                        "PROXY_NAME", "n0",
                        "PROXY_LISTEN", "127.0.0.1:" + port,
                        "PROXY_DISCOVERY", platform.server.address()),
                work.resolve("log.txt"),
                0);
        if (!Stand.Courier.awaitUp(port, 30_000)) {
            throw new IOException("the courier did not become ready");
        }
        Stand.sleep(500);
        for (int number = 0; number < MESSAGES; number++) {
            final String id = String.format(Locale.ROOT, "%016x", 0x9b1f03aa5c7e0000L + number);
            if (trouble && number % ONE_BAD_IN == ONE_BAD_IN - 1) {
                final var fault = List.copyOf(improper(id).entrySet()).get(number / ONE_BAD_IN);
                peer(port, id, fault.getKey(), fault.getValue());
            } else {
                client(port, id, number);
            }
            Stand.sleep(100);
        }
        Stand.sleep(3000);
        for (final String id : reached.keySet()) {
            if (!sentByClients.containsKey(id)) {
                broken.add("a request that no client sent ran at an endpoint: " + id + " (" + sentByPeers.get(id) + ")");
            } else if (!reached.get(id).equals(sentByClients.get(id))) {
                broken.add("another body than its client sent: " + id);
            }
        }
        broken.forEach(line -> record.line("BROKEN " + line));
        final String text = sentByClients.size() + " messages of clients, " + sentByPeers.size() + " improper requests, "
                + reached.size() + " run; rule " + (broken.isEmpty() ? "held" : "broken by " + broken.size() + " requests");
        record.line(text);
        System.out.println(text);
        return broken.isEmpty() ? 0 : 1;
    }

    private void client(final int port, final String id, final int number) {
        final String body = "body of " + id;
        sentByClients.put(id, body);
        try (Stand.Client client = new Stand.Client(port)) {
            client.write(Stand.Client.message(
                    id,
                    number % 10 < 7 ? "chart-notice" : "licence-order",
                    7 + number % 2,
                    TIMEOUT_MS,
                    body.getBytes(StandardCharsets.UTF_8),
                    ""));
            record.line("client " + id + " answered " + client.answer(400).status());
        } catch (final IOException e) {
            record.line("client " + id + " got no answer: " + e);
        }
    }

    private void peer(final int port, final String id, final String fault, final String request) {
        sentByPeers.put(id, fault);
        try (Stand.Client peer = new Stand.Client(port)) {
            peer.write(request.getBytes(StandardCharsets.ISO_8859_1));
            record.line("peer " + id + " (" + fault + ") answered " + peer.answer(OWED_MS).first());
        } catch (final IOException e) {
            record.line("peer " + id + " (" + fault + ") closed: " + e);
        }
    }
}
