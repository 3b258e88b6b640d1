package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The commands of the management address and their effects. */
@Timeout(120)
final class ManagementTest {
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

    private static void assertOk(final String answer) {
        assertTrue(answer.startsWith("OK") && answer.endsWith("\n"), answer);
    }

    private static void assertErr(final String answer) {
        assertTrue(answer.startsWith("ERR ") && answer.indexOf('\n') == answer.length() - 1, answer);
    }

    private CourierHarness.Answer up() throws IOException {
        return rig.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    @Test
    void impossibleCommandsAreAnsweredWithAReason() throws IOException {
        rig.start();
        assertOk(rig.command("check"));
        assertOk(rig.command("check\r"));
        for (final String bad : List.of(
                "",
                "chick",
                "check now",
                "set-down",
                "set-up",
                "set-down a b",
                "set-down nobody",
                "set-up nobody",
                "drain-on now",
                "CHECK",
                "x".repeat(100_000))) {
            assertErr(rig.command(bad));
        }
        try (Socket half = rig.connectToMgmt()) {
            half.getOutputStream().write("che".getBytes(StandardCharsets.UTF_8));
            half.shutdownOutput();
            assertErr(new String(half.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        }
        assertTrue(rig.isRunning());
    }

    @Test
    void callersWithoutACompleteCommandDelayNoOther() throws IOException {
        rig.start();
        final List<Socket> silent = new ArrayList<>();
        try {
            for (int count = 0; count < 200; count++) {
                final Socket socket = rig.connectToMgmt();
                silent.add(socket);
                if (count % 2 == 0) {
                    socket.getOutputStream().write("set-do".getBytes(StandardCharsets.UTF_8));
                }
            }
            assertOk(rig.command("check"));
        } finally {
            for (final Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test
    void aDisabledEndpointGetsNothingUntilItIsEnabled() throws Exception {
        rig.hosts =
                CourierHarness.host("e1", rig.first, "Ready") + "," + CourierHarness.host("e2", rig.second, "Ready");
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
        assertOk(rig.command("set-down e1"));
        assertOk(rig.command("set-down e1"));
        rig.change(42, CourierHarness.host("e1", rig.first, "Gone"));
        rig.change(43, CourierHarness.host("e1", rig.first, "Ready"));
        deliver("a", 20);
        rig.killAndRestart();
        deliver("b", 20);
        assertTrue(rig.first.requests.isEmpty(), "the ban holds for the next process too");
        assertOk(rig.command("set-up e1"));
        rig.second.script((request, connection) -> connection.answer(503, ""));
        for (int count = 0; rig.first.requests.isEmpty(); count++) {
            assertTrue(count < 1000, "never used again");
            deliver("c" + count, 1);
        }
        rig.killAndRestart();
        assertFalse(Files.readString(folder.resolve("state/orders")).contains("e1"));
    }

    /** A message that waits because its only endpoint is disabled is sent as soon as that is enabled again. */
    @Test
    void waitingMessagesAreSentWhenTheOnlyEndpointIsEnabledAgain() throws IOException {
        rig.start();
        assertOk(rig.command("set-down e1"));
        assertEquals(202, rig.submit("m1", "safe").status());
        assertTrue(rig.first.requests.isEmpty());
        assertOk(rig.command("set-up e1"));
        rig.await("the call", () -> rig.first.requests.size() == 1);
    }

    @Test
    void anOrderThatCannotBeStoredIsRefused() throws IOException {
        rig.start();
        final Path blocked = folder.resolve("state/orders.next");
        Files.createDirectory(blocked);
        assertErr(rig.command("set-down e1"));
        assertErr(rig.command("drain-on"));
        assertEquals(200, up().status(), "what was refused is not in force");
        Files.delete(blocked);
        assertOk(rig.command("set-down e1"));
    }

    @Test
    void aDrainSendsClientsElsewhereLosesNothingAndEndsWithoutARestart() throws IOException {
        rig.start();
        try (Socket busy = rig.connect();
                Socket idle = rig.connect()) {
            assertEquals(
                    202,
                    CourierHarness.send(busy, CourierHarness.message("before", "safe"))
                            .status());
            assertEquals(
                    200,
                    CourierHarness.send(idle, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                            .status());
            assertOk(rig.command("drain-on"));
            assertEquals(503, up().status(), "at once");
            final CourierHarness.Answer late = CourierHarness.send(busy, CourierHarness.message("late", "safe"));
            assertEquals(202, late.status(), "what has been sent already is taken on");
            assertTrue(late.head().contains("connection: close"), late.head());
            assertEquals(-1, busy.getInputStream().read());
            assertEquals(-1, idle.getInputStream().read(), "an idle connection is closed in the end");
        }
        rig.await("both", () -> rig.first.requests.size() == 2);
        assertOk(rig.command("check"));
        assertOk(rig.command("drain-off"));
        assertEquals(200, up().status());
        final CourierHarness.Answer after = rig.submit("after", "safe");
        assertFalse(after.head().contains("connection: close"), after.head());
    }

    @Test
    void aRestartEndsADrain() throws Exception {
        rig.start();
        assertOk(rig.command("drain-on"));
        rig.killAndRestart();
        assertEquals(200, up().status());
    }

    private void deliver(final String prefix, final int count) throws IOException {
        for (int number = 0; number < count; number++) {
            final String id = prefix + number;
            assertEquals(202, rig.submit(id, "safe").status());
            rig.await(
                    "the call of " + id,
                    () -> java.util.stream.Stream.of(rig.first, rig.second)
                            .anyMatch(at -> at.requests.stream()
                                    .anyMatch(request -> request.header("X-Request-ID") != null
                                            ? id.equals(request.header("X-Request-ID"))
                                            : request.text().contains(id))));
        }
    }
}
