package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * An operator's order has to wait because another process of the courier is changing the orders, or was stopped while
 * doing so.
 */
@Timeout(120)
final class OperatorOrdersLockTest {
    @TempDir
    private Path folder;

    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        rig = new CourierHarness(folder);
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    private static long open(final Process process, final String name) {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return open.filter(one -> {
                        try {
                            return Files.readSymbolicLink(one).endsWith(name);
                        } catch (final IOException e) {
                            return false;
                        }
                    })
                    .count();
        } catch (final IOException e) {
            return 0;
        }
    }

    /** Messages are served meanwhile; the order applies once it can be stored. */
    @Test
    void messagesDoNotWaitForAnOrder() throws Exception {
        rig.start();
        try (Socket operator = rig.connectToMgmt();
                FileChannel orders = FileChannel.open(
                        folder.resolve("state/orders.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            try (FileLock held = orders.lock()) {
                assertTrue(held.isValid());
                operator.getOutputStream().write("set-down e1\n".getBytes(StandardCharsets.US_ASCII));
                rig.await("its wait", () -> open(rig.newest(), "orders.lock") == 1);
                assertEquals(202, rig.submit("m1", "once").status());
                rig.await("its call", () -> rig.first.requests.size() == 1);
                assertEquals(
                        200, rig.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
            }
            assertTrue(new String(operator.getInputStream().readAllBytes(), StandardCharsets.UTF_8).startsWith("OK"));
        }
        assertEquals(202, rig.submit("m2", "safe").status());
        assertEquals(200, rig.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
        assertEquals(1, rig.first.requests.size(), "left out");
    }
}
