package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Idle clients take all descriptors they can get, while the system limits the process. */
@Timeout(120)
final class CloseForCapacityTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final int SOCKETS = 256;

    @TempDir
    private Path folder;

    private CourierHarness rig;
    private long pid;
    private final List<Socket> crowd = new ArrayList<>();

    @BeforeEach
    void build() throws IOException {
        rig = new CourierHarness(folder);
        rig.sockets = SOCKETS;
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
        pid = ProcessHandle.current()
                .children()
                .filter(ProcessHandle::isAlive)
                .findFirst()
                .orElseThrow()
                .pid();
    }

    @AfterEach
    void end() throws IOException {
        for (final Socket socket : crowd) {
            socket.close();
        }
        rig.close();
    }

    private void limit(final long descriptors) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder(
                                "prlimit", "--pid", Long.toString(pid), "--nofile=" + descriptors + ":" + descriptors)
                        .start()
                        .waitFor());
    }

    private List<Long> descriptors() {
        try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return open.map(one -> Long.parseLong(one.getFileName().toString()))
                    .sorted()
                    .toList();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The limit under which so many more descriptors can be opened: a new one gets the lowest free number. */
    private long limitWith(final int more) {
        final List<Long> open = descriptors();
        long limit = 0;
        for (int free = 0; free < more; limit++) {
            free += open.contains(limit) ? 0 : 1;
        }
        return limit;
    }

    private Socket join(final String raw) throws IOException {
        final Socket socket = rig.connect();
        crowd.add(socket);
        socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private static boolean isOpen(final Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() >= 0;
        } catch (final SocketTimeoutException e) {
            return true;
        }
    }

    @Test
    void discoveryRecoversWhileIdleClientsFillTheDescriptors() throws Exception {
        limit(SOCKETS);
        rig.first.script((request, connection) ->
                connection.answer("bad".equals(request.header("X-Request-ID")) ? 500 : 200, ""));
        rig.platform.refuse();
        rig.platform.connections.forEach(FakeServer.Connection::reset);
        for (int count = 0; count < 2 * SOCKETS; count++) {
            join(List.of("", UP, "POST /safe HTT").get(count % 3));
        }
        assertEquals(202, rig.submit("good", "safe").status());
        assertEquals(202, rig.submit("bad", "once").status());
        rig.await("the calls", () -> rig.first.requests.size() == 2);
        for (int count = 0; count < SOCKETS; count++) {
            join("");
        }
        rig.platform.listen();
        rig.await("the new watch", () -> rig.watches.size() == 2);
        rig.await("the notice", () -> rig.noticed("bad", "undeliverable"));
        System.out.println("descriptors in use: " + descriptors().size() + " of " + SOCKETS);
        assertTrue(rig.log.stream().noneMatch(line -> line.contains("Too many open files")), () -> rig.log.toString());
    }

    /**
     * The process has reached its limit with fewer clients than its own maximum: one of them is closed all the same.
     */
    @Test
    void aNewConnectionAtTheLimitReplacesOneThatNeverSentARequest() throws Exception {
        try (Socket used = rig.connect()) {
            assertEquals(
                    202,
                    CourierHarness.send(used, CourierHarness.message("first", "safe"))
                            .status());
            rig.await("the call", () -> rig.first.requests.size() == 1);
            final int before = descriptors().size();
            limit(limitWith(4));
            final List<Socket> silent = List.of(join(""), join(""), join(""), join(""));
            rig.await("their descriptors", () -> descriptors().size() >= before + 3);
            assertEquals(202, rig.submit("good", "safe").status());
            assertTrue(isOpen(silent.get(2)) && isOpen(silent.get(3)), () -> "closed as well; log: " + rig.log);
        }
    }
}
