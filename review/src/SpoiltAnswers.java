import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One courier, two destinations with two endpoints each, clients with both classes of message. The endpoints run every
 * call. With trouble, the answers to six licence orders are spoilt: they cannot be read as HTTP/1.1, and their first line
 * does not say 200. No licence order may be called again after such an answer.
 */
public final class SpoiltAnswers {
    private static final int MESSAGES = 120;
    private static final int SPOILT_ONE_IN = 12;
    private static final long TIMEOUT_MS = 6000;
    /** After this no message is sent any more, nor is its notice. */
    private static final long ALL_OVER_MS = TIMEOUT_MS + 1000;

    /** One message and what became of it. */
    private static final class Message {
        final int number;
        final String id;
        final String kind;
        final long dest;
        volatile int status;
        /** The answers that its calls got, in order. */
        final List<String> calls = new CopyOnWriteArrayList<>();

        Message(final int number) {
            this.number = number;
            id = String.format(Locale.ROOT, "%016x", 0x9b1f03aa5c7e0000L + number);
            kind = number % 10 < 7 ? "chart-notice" : "licence-order";
            dest = 7 + number % 2;
        }
    }

    private final Map<String, Message> messages = new ConcurrentHashMap<>();
    private final AtomicInteger spoilt = new AtomicInteger();
    private final boolean trouble;
    private final Stand.Record record;
    private final Stand.Platform platform;

    private SpoiltAnswers(final boolean trouble, final Stand.Record record) throws IOException {
        this.trouble = trouble;
        this.record = record;
        this.platform = new Stand.Platform(record, 40);
    }

    public static void main(final String[] args) throws Exception {
        final Path folder = Path.of(args[0]);
        final Path work = Files.createTempDirectory("review");
        int exit = 2;
        try (Stand.Record record = new Stand.Record(folder.resolve("record.txt"))) {
            exit = new SpoiltAnswers(!"0".equals(System.getenv("TROUBLE")), record).play(work);
            record.line("exit " + exit);
        } catch (final IOException | RuntimeException e) {
            System.out.println("could not run: " + e);
        } finally {
            Stand.Courier.closeAll();
            Stand.delete(work);
        }
        System.exit(exit);
    }

    /** Bytes of an answer that is no HTTP/1.1: another version, or a line in its head that is no header field. */
    private String spoilt(final int count) {
        return count % 2 == 0
                ? "HTTP/2.0 503 X\r\nContent-Length: 0\r\n\r\n"
                : "HTTP/1.1 503 X\r\n#~ 0c1f noise 77 ~#\r\nContent-Length: 0\r\n\r\n";
    }

    private void onCall(final String endpoint, final Stand.Http request, final Stand.Conn conn) throws IOException {
        final String id = request.header("X-Request-ID");
        final Message message = messages.get(id);
        if (message == null) {
            record.line("call " + id + " at " + endpoint + ": never handed in");
            conn.answer(400, "");
            return;
        }
        Stand.sleep(60);
        // The message has run by now.
        final boolean order = message.kind.equals("licence-order");
        final boolean spoils =
                trouble && order && message.calls.isEmpty() && message.number % SPOILT_ONE_IN >= SPOILT_ONE_IN - 2;
        final String answer = spoils ? "spoilt" : "200";
        message.calls.add(answer);
        record.line("run " + id + " " + message.kind + " at " + endpoint + ", call " + message.calls.size() + ", answer "
                + answer);
        if (spoils) {
            conn.raw(spoilt(spoilt.incrementAndGet()));
        } else {
            conn.answer(200, "X-Server-Load: x0=0.9,x1=40\r\n");
        }
    }

    private int play(final Path work) throws IOException {
        Files.createDirectories(work.resolve("state"));
        Files.createDirectories(work.resolve("tmp"));
        for (int dest = 7; dest <= 8; dest++) {
            for (int number = 0; number < 2; number++) {
                final String name = "s-" + dest + "-" + number;
                final Stand.Server server = new Stand.Server((request, conn) -> onCall(name, request, conn));
                platform.set(name, Stand.Platform.host(name, server.address(), "small-partner", dest, "Ready"));
            }
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
            hand(new Message(number), port);
            Stand.sleep(100);
        }
        Stand.sleep(ALL_OVER_MS);
        return judge();
    }

    private void hand(final Message message, final int port) {
        messages.put(message.id, message);
        final byte[] body = ("body of " + message.id).getBytes(StandardCharsets.UTF_8);
        try (Stand.Client client = new Stand.Client(port)) {
            client.write(Stand.Client.message(message.id, message.kind, message.dest, TIMEOUT_MS, body, ""));
            message.status = client.answer(400).status();
        } catch (final IOException e) {
            message.status = 0;
        }
        record.line("client " + message.id + " " + message.kind + " dest=" + message.dest + " answered " + message.status);
    }

    private int judge() {
        final List<String> broken = new ArrayList<>();
        int orders = 0;
        int spoilt = 0;
        for (final Message message : messages.values()) {
            if (message.kind.equals("licence-order")) {
                orders++;
                spoilt += message.calls.contains("spoilt") ? 1 : 0;
                if (message.calls.size() > 1) {
                    broken.add(message.id + " ran " + message.calls.size() + " times, answers " + message.calls);
                }
            }
        }
        return verdict(orders + " licence orders, " + spoilt + " with a spoilt answer", broken, spoilt);
    }

    private int verdict(final String counts, final List<String> broken, final int spoilt) {
        broken.forEach(line -> record.line("BROKEN duplicate: " + line));
        final String text = counts + "; rule duplicate" + (broken.isEmpty() ? " held" : " broken by " + broken.size());
        record.line(text);
        System.out.println(text);
        if (trouble && spoilt == 0) {
            return 2;
        }
        return broken.isEmpty() ? 0 : 1;
    }
}
