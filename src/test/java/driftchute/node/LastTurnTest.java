package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** SIGTERM together with a busy event loop, a second SIGTERM, or a half-received request. */
@Timeout(120)
final class LastTurnTest {
    /** Time after SIGTERM by which all steps of a process's end are past. */
    private static final long PAST_MS = 3250;

    private static final int TERMINATED = 143;
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

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

    private static void write(final Socket to, final String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** All but the last byte. */
    private static String most(final String message) {
        return message.substring(0, message.length() - 1);
    }

    private static void assertEnded(final Process process) throws InterruptedException {
        assertTrue(process.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(TERMINATED, process.exitValue());
    }

    /** The signal arrives long before the event loop handles it: the deadlines count from the signal on. */
    @Test
    void aLateEventLoopStillAnswersBeforeTheExit() throws Exception {
        rig.program = "driftchute.node.BlockedLoopMain";
        rig.start();
        try (Socket half = rig.connect()) {
            assertEquals(200, CourierHarness.send(half, UP).status());
            rig.sendHangup();
            rig.await("a loop that is held", () -> rig.hasLogged(BlockedLoopMain.HELD_AT));
            final Process process = rig.newest();
            CourierHarness.terminate(process);
            final long termNs = System.nanoTime();
            try (Socket queued = rig.connect()) {
                write(half, most(CourierHarness.message("half", "safe")));
                write(queued, CourierHarness.message("queued", "safe"));
                rig.await("its time", () -> System.nanoTime() - termNs > TimeUnit.MILLISECONDS.toNanos(PAST_MS));
                BlockedLoopMain.release(folder.resolve("state"));
                final CourierHarness.Answer last = CourierHarness.read(half.getInputStream());
                assertEquals(503, last.status(), "half a request: refused, " + rig.log);
                assertTrue(last.head().contains("connection: close"), last.head());
                assertEquals(-1, half.getInputStream().read(), "the end, not a reset");
                assertTrue(
                        CourierHarness.read(queued.getInputStream()).status() > 0,
                        "what stood in the queue is answered");
            }
            assertEnded(process);
            rig.await("its last lines", () -> rig.hasLogged("listener_closed") && rig.hasLogged("hung_up"));
            assertFalse(rig.hasLogged("did not stop in time"), rig.log.toString());
        }
    }

    /**
     * A second signal changes nothing: what arrives completely meanwhile is accepted, and called once, by whichever
     * process.
     */
    @Test
    void aSecondSignalInTheMiddleOfARequestChangesNothing() throws Exception {
        rig.start();
        try (Socket half = rig.connect()) {
            final String message = CourierHarness.message("half", "once");
            write(half, most(message));
            CourierHarness.terminate(rig.newest());
            rig.await("the drain", () -> {
                try {
                    return rig.send(UP).status() == 503;
                } catch (final IOException e) {
                    return false;
                }
            });
            CourierHarness.terminate(rig.newest());
            write(half, message.substring(message.length() - 1));
            final CourierHarness.Answer last = CourierHarness.read(half.getInputStream());
            assertEquals(202, last.status());
            assertTrue(last.head().contains("connection: close"), last.head());
            assertEquals(-1, half.getInputStream().read(), "the end, not a reset");
        }
        assertEnded(rig.newest());
        assertFalse(rig.hasLogged("did not stop in time"), rig.log.toString());
        rig.start();
        rig.await("its call", () -> !rig.first.requests.isEmpty());
        assertEquals(202, rig.submit("next", "once").status());
        rig.await("the next one's", () -> rig.first.requests.size() >= 2);
        assertEquals(
                List.of("half", "next"),
                rig.first.requests.stream()
                        .map(call -> call.header("X-Request-ID"))
                        .toList());
        assertEquals(List.of(), rig.notices);
    }

    /**
     * Several messages share a call in flight at the end: each may have been executed, and is sent again only where
     * that is safe.
     */
    @ParameterizedTest
    @CsvSource({"once,true", "once,false", "safe,true", "safe,false"})
    void theMessagesOfACallInFlightAreSentAgainOnlyWhereThatIsSafe(final String kind, final boolean isKill)
            throws Exception {
        rig.hosts = CourierHarness.host("e1", rig.first, "Terminating");
        rig.first.script((request, connection) -> {});
        rig.start();
        rig.await("the watch", () -> !rig.watches.isEmpty());
        assertEquals(202, rig.submit("m1", kind).status());
        assertEquals(202, rig.submit("m2", kind).status());
        rig.change(43, CourierHarness.host("e1", rig.first, "Ready"));
        rig.await("the call", () -> !rig.first.requests.isEmpty());
        assertEquals("POST /inbox/bulk HTTP/1.1", rig.first.requests.get(0).line());
        rig.first.script((request, connection) -> connection.answer(
                200, "[{\"id\":\"m1\",\"state\":\"accepted\"}," + "{\"id\":\"m2\",\"state\":\"accepted\"}]"));
        if (isKill) {
            rig.kill();
        } else {
            assertEnded(rig.terminate());
        }
        rig.hosts = CourierHarness.host("e1", rig.first, "Ready");
        rig.start();
        final boolean mayRepeat = kind.equals("safe");
        for (final String id : List.of("m1", "m2")) {
            rig.await("its end", () -> mayRepeat ? called(id) == 2 : rig.noticed(id, "undeliverable"));
            assertEquals(mayRepeat ? 2 : 1, called(id));
        }
        assertEquals(mayRepeat, rig.notices.isEmpty(), rig.notices.toString());
    }

    private long called(final String id) {
        return rig.first.requests.stream()
                .filter(call ->
                        id.equals(call.header("X-Request-ID")) || call.text().contains('"' + id + '"'))
                .count();
    }
}
