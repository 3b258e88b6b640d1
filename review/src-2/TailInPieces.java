import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some good answers bring a second copy straight after, and the network delivers bytes in pieces: does a copy count as the
 * answer of another message?
 */
final class TailInPieces {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final int MESSAGES = 300;
    private static final long INTERVAL_MS = 40, TIMEOUT_MS = 6000;
    /** Time between two pieces on the way to the courier. */
    private static final long PIECE_MS = 20;
    /** Bytes of a piece. The head of an answer fits. */
    private static final int PIECE_BYTES = ANSWER.length();
    /** Of so many calls one answer has a copy, and the next call ends with an error. */
    private static final int EVERY = 20;

    private static final long WORK_MS = 100;

    private TailInPieces() {}

    public static void main(final String[] args) {
        Rig.main(args, TailInPieces::play);
    }

    private static int play(final Rig rig) throws Exception {
        final AtomicInteger calls = new AtomicInteger();
        final AtomicInteger copies = new AtomicInteger();
        final Rig.Endpoint endpoint = rig.new Endpoint("s-1", 7, (at, socket, call) -> {
            final String id = Rig.ids(call).get(0);
            final int number = calls.incrementAndGet();
            Rig.sleep(WORK_MS);
            if (number % EVERY == 2) {
                rig.note("endpoint: " + id + " error");
                Rig.Server.answer(socket, 500, "", "");
                return;
            }
            final boolean copy = rig.trouble && number % EVERY == 1;
            rig.note("endpoint: " + id + " delivered" + (copy ? ", with a second copy of the answer" : ""));
            copies.addAndGet(copy ? 1 : 0);
            socket.getOutputStream()
                    .write((copy ? ANSWER + ANSWER : ANSWER).getBytes(StandardCharsets.US_ASCII));
            rig.deliveredMs.putIfAbsent(id, rig.nowMs());
        });
        try (Network network = new Network(endpoint.port)) {
            rig.discovery.list(
                    "s-1", Rig.Discovery.entry("s-1", "127.0.0.1:" + network.port, "small-partner", 7, "Ready"));
            rig.configure(rig.discovery.port);
            if (!rig.start("a").awaitUp()) {
                return Rig.CANNOT_RUN;
            }
            Rig.sleep(3000);
            for (int number = 0; number < MESSAGES; number++) {
                final String id = String.format("%016x", 0x50000 + number);
                Rig.run(() -> rig.handIn(id, "chart-notice", 7, TIMEOUT_MS, new byte[200]));
                Rig.sleep(INTERVAL_MS);
            }
            Rig.sleep(TIMEOUT_MS + 1500);
        }
        final List<Rig.Accepted> lost = rig.lost();
        lost.forEach(message -> rig.note("lost: " + message.id() + ", its time was up at " + message.deadlineMs() + " ms"));
        rig.say("taken on " + rig.accepted.size() + ", answers with a copy " + copies + ", delivered "
                + rig.deliveredMs.size() + ", ended by a notice " + rig.noticedMs.size() + ", lost " + lost.size());
        if (rig.accepted.isEmpty()) {
            return Rig.CANNOT_RUN;
        }
        return lost.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    /** The way between the courier and an endpoint: what the endpoint writes arrives in pieces. */
    private static final class Network extends Rig.Server {
        private final int to;

        Network(final int to) throws IOException {
            super("127.0.0.1");
            this.to = to;
            begin();
        }

        @Override
        void handle(final Socket socket, final InputStream in) throws IOException {
            try (Socket endpoint = new Socket(InetAddress.getLoopbackAddress(), to)) {
                endpoint.setTcpNoDelay(true);
                Rig.run(() -> forward(endpoint, socket));
                in.transferTo(endpoint.getOutputStream());
            }
        }

        private static void forward(final Socket from, final Socket to) {
            final byte[] buffer = new byte[1 << 16];
            try (from;
                    to) {
                final OutputStream out = to.getOutputStream();
                for (int length = from.getInputStream().read(buffer);
                        length >= 0;
                        length = from.getInputStream().read(buffer)) {
                    final ByteArrayOutputStream rest = new ByteArrayOutputStream();
                    rest.write(buffer, 0, length);
                    final byte[] bytes = rest.toByteArray();
                    for (int at = 0; at < bytes.length; at += PIECE_BYTES) {
                        if (at > 0) {
                            Rig.sleep(PIECE_MS);
                        }
                        out.write(bytes, at, Math.min(PIECE_BYTES, bytes.length - at));
                    }
                }
            } catch (final IOException e) {
                // One of the two sides has ended.
                return;
            }
        }
    }
}
