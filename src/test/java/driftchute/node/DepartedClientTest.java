package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send messages and leave, and ids that come again after that. */
@Timeout(120)
final class DepartedClientTest {
    private static final String WITHOUT_BODY =
            "POST /once HTTP/1.1\r\nHost: x\r\nX-Request-ID: $ID\r\nX-Priority-Class: once\r\n"
                    + "X-Timeout-Ms: 20000\r\nX-Consignee: dest=7\r\nContent-Length: 0\r\n\r\n";

    /** Column of the inode in the system's table of sockets: 0 if no process has the socket. */
    private static final int INODE_COLUMN = 9;

    private static final Pattern ID = Pattern.compile("\"id\":\"([^\"]*)\"");

    @TempDir
    private Path folder;

    /** The id of each message that the endpoint has run, once for each time. */
    private final List<String> executed = new CopyOnWriteArrayList<>();

    private CourierHarness rig;
    /** The port of the client that has left. */
    private int leftPort;

    @BeforeEach
    void build() throws IOException {
        rig = new CourierHarness(folder);
        rig.maxOpen = 5000;
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
        rig.first.script(this::run);
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    /** Runs the message or messages of a call. */
    private void run(final FakeServer.Request request, final FakeServer.Connection connection) {
        if (request.header("X-Request-ID") != null) {
            executed.add(request.header("X-Request-ID"));
            connection.answer(200, "");
            return;
        }
        final List<String> ids = ID.matcher(request.text())
                .results()
                .map(found -> found.group(1))
                .toList();
        executed.addAll(ids);
        connection.answer(
                200,
                ids.stream()
                        .map(id -> "{\"id\":\"" + id + "\",\"state\":\"accepted\"}")
                        .collect(Collectors.joining(",", "[", "]")));
    }

    private long calls(final String prefix) {
        return executed.stream().filter(id -> id.startsWith(prefix)).count();
    }

    private static String messages(final int count) {
        final StringBuilder text = new StringBuilder();
        for (int number = 0; number < count; number++) {
            text.append(WITHOUT_BODY.replace("$ID", "gone" + number));
        }
        return text.toString();
    }

    /** Sends what the system takes to a courier that does not read yet, and leaves. */
    private void sendAndLeave(final String text, final boolean byReset) throws Exception {
        final long pid = rig.newest().pid();
        signal(pid, "STOP");
        try (SocketChannel client = SocketChannel.open()) {
            client.connect(new InetSocketAddress("127.0.0.1", rig.port()));
            client.configureBlocking(false);
            final ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
            while (client.write(bytes) > 0) {
                continue;
            }
            client.socket().setSoLinger(byReset, 0);
            leftPort = client.socket().getLocalPort();
        }
        signal(pid, "CONT");
    }

    private static void signal(final long pid, final String signal) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signal, Long.toString(pid))
                        .start()
                        .waitFor());
    }

    /** Waits until the courier has handled all that came before, and the call of a later message. */
    private void awaitLaterMessage(final String id) throws IOException {
        rig.await("the end of the client's connection", () -> !isConnected(leftPort));
        assertEquals(202, rig.submit(id, "once").status());
        rig.await("a later call", () -> calls(id) == 1);
    }

    /** True while the courier has a socket for that client's connection. */
    private boolean isConnected(final int clientPort) {
        return Stream.of("/proc/net/tcp", "/proc/net/tcp6")
                .flatMap(DepartedClientTest::lines)
                .map(line -> line.trim().split("\\s+"))
                .anyMatch(columns -> columns[1].endsWith(":%04X".formatted(rig.port()))
                        && columns[2].endsWith(":%04X".formatted(clientPort))
                        && !columns[INODE_COLUMN].equals("0"));
    }

    private static Stream<String> lines(final String file) {
        try {
            return Files.readAllLines(Path.of(file)).stream();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 16, 200, 2000, 20_000})
    void requestsThatWereUnreadWhenTheirClientClosedAreNotSentOn(final int count) throws Exception {
        sendAndLeave(messages(count), false);
        awaitLaterMessage("later");
        assertEquals(0, calls("gone"), () -> "log: " + rig.log);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 16, 200, 2000, 20_000})
    void requestsThatWereUnreadWhenTheirClientResetAreNotSentOn(final int count) throws Exception {
        sendAndLeave(messages(count), true);
        awaitLaterMessage("later");
        assertEquals(0, calls("gone"), () -> "log: " + rig.log);
    }

    @Test
    void anIdThatComesAgainAfterAKillIsNotRunTwice() throws Exception {
        assertEquals(202, rig.submit("m1", "once").status());
        rig.await("its call", () -> calls("m1") == 1);
        assertEquals(202, rig.submit("m2", "once").status());
        rig.await("a call after its end", () -> calls("m2") == 1);
        rig.killAndRestart();
        assertNotEquals(202, rig.submit("m1", "once").status());
        assertEquals(202, rig.submit("m3", "once").status());
        rig.await("another call", () -> calls("m3") == 1);
        assertEquals(1, calls("m1"));
    }

    @Test
    void anIdThatComesAgainAtTheNextProcessOfAnUpgradeIsNotRunTwice() throws Exception {
        assertEquals(202, rig.submit("m1", "once").status());
        rig.await("its call", () -> calls("m1") == 1);
        upgrade();
        assertNotEquals(202, rig.submit("m1", "once").status());
        assertEquals(202, rig.submit("m3", "once").status());
        rig.await("another call", () -> calls("m3") == 1);
        assertEquals(1, calls("m1"));
    }

    @Test
    void anIdThatTheEndingProcessAcceptedIsNotRunTwiceAtTheNextOne() throws Exception {
        try (Socket kept = rig.connect()) {
            assertEquals(
                    202,
                    CourierHarness.send(kept, CourierHarness.message("m0", "once"))
                            .status());
            upgrade();
            assertEquals(
                    202,
                    CourierHarness.send(kept, CourierHarness.message("m1", "once"))
                            .status());
        }
        rig.await("its call", () -> calls("m1") == 1);
        rig.await("the end of the old process", () -> rig.hasLogged("the predecessor process has ended"));
        assertNotEquals(202, rig.submit("m1", "once").status());
        assertEquals(202, rig.submit("m3", "once").status());
        rig.await("another call", () -> calls("m3") == 1);
        assertEquals(1, calls("m1"));
    }

    /** Hands over to another process, which then listens alone. */
    private void upgrade() throws Exception {
        final Process old = rig.startBeside();
        CourierHarness.terminate(old);
        rig.await("the handover", () -> rig.hasLogged("listener_closed"));
    }
}
