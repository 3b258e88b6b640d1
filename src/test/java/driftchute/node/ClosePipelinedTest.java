package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Clients that pipeline many requests: each request that is read has its own answer, however the connection ends. */
@Timeout(120)
final class ClosePipelinedTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    /** Consecutive rounds without progress after which a connection counts as one that takes no more. */
    private static final int FULL_ROUNDS = 5;

    @TempDir
    private Path folder;

    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        rig = new CourierHarness(folder);
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    private static void write(final Socket socket, final String raw) throws IOException {
        socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static int status(final Socket socket) throws IOException {
        return CourierHarness.read(socket.getInputStream()).status();
    }

    /** All statuses up to the connection's end, which has to be an orderly one. */
    private static List<Integer> statuses(final Socket socket) throws IOException {
        final List<Integer> statuses = new ArrayList<>();
        for (int status = status(socket); status > 0; status = status(socket)) {
            statuses.add(status);
        }
        return statuses;
    }

    private static String messages(final String... ids) {
        final StringBuilder many = new StringBuilder();
        for (final String id : ids) {
            many.append(CourierHarness.message(id, "safe"));
        }
        return many.toString();
    }

    @Test
    void requestsAfterAnUnservableOneAreEachRefused() throws IOException {
        try (Socket socket = rig.connect()) {
            write(socket, messages("a") + messages("no").replace("dest=7", "dest=8") + messages("b", "c"));
            assertEquals(List.of(202, 404, 503, 503), statuses(socket));
        }
        assertEquals(202, rig.submit("good", "safe").status());
        rig.await("the good ones", () -> rig.first.requests.size() == 2);
        assertTrue(rig.first.requests.stream().noneMatch(request -> "bc".contains(request.header("X-Request-ID"))));
    }

    /** The client's end of input follows its requests, before they are answered or, with the last piece, after. */
    @Test
    void aClientThatEndsItsSendingSideGetsEachAnswer() throws IOException {
        for (int round = 0; round < 10; round++) {
            try (Socket socket = rig.connect()) {
                write(socket, messages("a" + round, "b" + round, "c" + round));
                if (round % 2 == 1) {
                    assertEquals(202, status(socket));
                }
                socket.shutdownOutput();
                final List<Integer> statuses = statuses(socket);
                assertEquals(3 - round % 2, statuses.size());
                assertTrue(statuses.stream().allMatch(status -> status == 202 || status == 503), statuses::toString);
            }
        }
    }

    /** A request's first bytes come with the previous request, and no further byte follows. */
    @Test
    void anIncompleteRequestThatBeginsWithThePreviousOneIsRejected() throws IOException {
        try (Socket socket = rig.connect()) {
            write(socket, UP + "POST /safe HTT");
            assertEquals(List.of(200, 408), statuses(socket));
        }
    }

    @Test
    void emptyLinesAfterARequestAreNoRequest() throws IOException {
        try (Socket socket = rig.connect()) {
            write(socket, UP + "\r\n\r\n");
            assertEquals(200, status(socket));
            write(socket, "\r\n");
            write(socket, UP.replace("Host: x", "Host: x\r\nConnection: close") + "\r\n");
            assertEquals(List.of(200), statuses(socket));
        }
    }

    /**
     * In a drain, a request is half read when the previous one is answered: it is answered too, and ends the
     * connection.
     */
    @Test
    void aRequestThatIsHalfReadInADrainIsAnswered() throws Exception {
        final String second = CourierHarness.message("second", "safe");
        try (Socket socket = rig.connect();
                Socket whole = rig.connect()) {
            write(socket, UP);
            write(whole, UP);
            assertEquals(200, status(socket));
            assertEquals(200, status(whole));
            rig.terminate();
            rig.await("the drain", () -> {
                try {
                    return rig.send(UP).status() == 503;
                } catch (final IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            write(socket, messages("first") + second.substring(0, 40));
            assertEquals(202, status(socket));
            write(socket, second.substring(40));
            assertEquals(List.of(202), statuses(socket));
            write(whole, messages("third", "fourth"));
            assertEquals(List.of(202, 202), statuses(whole));
        }
    }

    /**
     * A client with a small receive buffer, so that its unread answers pile up at the courier; and with a small send
     * buffer, so that it finishes writing soon: one that does not read for 2 s is closed.
     */
    private SocketChannel narrow() throws IOException {
        final SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_RCVBUF, 1024);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, 1024);
        try (Socket any = rig.connect()) {
            channel.connect(new InetSocketAddress("127.0.0.1", any.getPort()));
        }
        channel.configureBlocking(false);
        return channel;
    }

    /** Writes until everything is written, or nothing more can be and the courier has read all that it will read. */
    private static void flood(final SocketChannel channel, final ByteBuffer bytes) throws IOException {
        String before;
        String unread = "";
        do {
            before = unread;
            writeUntilFull(channel, bytes);
            unread = unreadBy(channel);
        } while (!unread.equals(before));
    }

    private static void writeUntilFull(final SocketChannel channel, final ByteBuffer bytes) throws IOException {
        int fullRounds = 0;
        while (fullRounds < FULL_ROUNDS) {
            final boolean hasWritten = bytes.hasRemaining() && channel.write(bytes) > 0;
            fullRounds = hasWritten ? 0 : fullRounds + 1;
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /** The bytes that the courier has not read yet, according to the system; empty once the connection is gone. */
    private static String unreadBy(final SocketChannel channel) throws IOException {
        final String here = ":%04X".formatted(((InetSocketAddress) channel.getLocalAddress()).getPort());
        final String there = ":%04X".formatted(((InetSocketAddress) channel.getRemoteAddress()).getPort());
        return Stream.of("/proc/net/tcp", "/proc/net/tcp6")
                .flatMap(ClosePipelinedTest::lines)
                .map(line -> line.trim().split("\\s+"))
                .filter(line -> line[1].endsWith(there) && line[2].endsWith(here))
                .map(line -> line[4].replaceFirst(".*:", ""))
                .findFirst()
                .orElse("");
    }

    private static Stream<String> lines(final String file) {
        try {
            return Files.readAllLines(Path.of(file)).stream();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** All bytes received up to the connection's end, while the rest is written. */
    private static String readAll(final SocketChannel channel, final ByteBuffer rest) throws IOException {
        final ByteArrayOutputStream said = new ByteArrayOutputStream();
        final ByteBuffer some = ByteBuffer.allocate(1 << 16);
        while (channel.read(some) >= 0) {
            said.write(some.array(), 0, some.position());
            some.clear();
            if (rest.hasRemaining()) {
                channel.write(rest);
            }
        }
        return said.toString(StandardCharsets.ISO_8859_1);
    }

    private static int count(final String said) {
        return said.split("HTTP/1.1 ", -1).length - 1;
    }

    private static ByteBuffer bytes(final String raw) {
        return ByteBuffer.wrap(raw.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A client sends without reading until the courier reads no more; then it reads, and gets every answer. */
    @Test
    void aClientThatReadsLateGetsEachAnswer() throws IOException {
        final int count = 200_000;
        final ByteBuffer requests = bytes(UP.repeat(count) + UP.replace("Host: x", "Host: x\r\nConnection: close"));
        try (SocketChannel channel = narrow()) {
            flood(channel, requests);
            assertTrue(requests.hasRemaining() || !unreadBy(channel).equals("00000000"), "all is read");
            assertEquals(count + 1, count(readAll(channel, requests)));
        }
    }

    /** A client never reads: it is closed, and the others are served. */
    @Test
    void aClientThatReadsNothingIsClosed() throws IOException {
        try (SocketChannel channel = narrow()) {
            flood(channel, bytes(UP.repeat(200_000)));
            rig.await("its end", () -> {
                try {
                    channel.write(bytes(UP));
                    return false;
                } catch (final IOException e) {
                    return true;
                }
            });
        }
        assertEquals(202, rig.submit("good", "safe").status());
    }
}
