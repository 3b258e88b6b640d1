package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A change of the list that only the predecessor received: discovery does not answer the successor. The two are one
 * courier, so the successor must know what the predecessor knows.
 */
@Timeout(120)
final class ListHandoverTest {
    @TempDir
    private Path folder;

    private final ScheduledExecutorService speaking = Executors.newSingleThreadScheduledExecutor();
    private CourierHarness rig;

    /** The old process knows version 42 and its watch stays active; no further request is answered. */
    @BeforeEach
    void startAndGoSilentToOthers() throws IOException {
        rig = new CourierHarness(folder);
        rig.start();
        rig.await("the watch", () -> !rig.watches.isEmpty());
        rig.change(42, CourierHarness.host("e1", rig.first, "Ready"));
        rig.await("the change", () -> rig.hasLogged("\"seq\":42"));
        rig.platform.script((request, connection) -> {
            if (request.line().startsWith("POST")) {
                rig.notices.addAll(request.text().lines().toList());
                connection.answer(204, "");
            }
        });
        speaking.scheduleAtFixedRate(
                () -> rig.watches.forEach(watch -> speak(watch, "\n")), 0, 200, TimeUnit.MILLISECONDS);
    }

    private static void speak(final FakeServer.Connection watch, final String text) {
        synchronized (watch) {
            watch.chunk(text);
        }
    }

    @AfterEach
    void end() throws IOException {
        speaking.shutdownNow();
        rig.close();
    }

    /** The endpoint called by the old process drains, and another one replaces it. */
    private void change() {
        final int from = rig.log.size();
        final String entries = CourierHarness.host("e1", rig.first, "Terminating") + ","
                + CourierHarness.host("e2", rig.second, "Ready");
        rig.watches.forEach(watch -> speak(watch, "{\"seq\":43,\"whole\":false,\"hosts\":[" + entries + "]}\n"));
        rig.await("the change", () -> rig.log.stream().skip(from).anyMatch(line -> line.contains("\"seq\":43")));
    }

    private void assertGoesByTheChange() throws IOException {
        assertEquals(202, rig.submit("m", "safe").status());
        rig.await("its call", () -> rig.first.requests.size() + rig.second.requests.size() > 0);
        assertEquals(0, rig.first.requests.size(), "a call to what drains");
    }

    private static void awaitEnd(final Process process) throws InterruptedException {
        assertTrue(process.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
    }

    @Test
    void aChangeBeforeTheSuccessorStandsByIsKnownToIt() throws Exception {
        change();
        final Process old = rig.startBeside();
        CourierHarness.terminate(old);
        awaitEnd(old);
        assertGoesByTheChange();
    }

    @Test
    void aChangeAfterTheSuccessorStandsByIsKnownToIt() throws Exception {
        final Process old = rig.startBeside();
        change();
        CourierHarness.terminate(old);
        awaitEnd(old);
        assertGoesByTheChange();
    }

    @Test
    void aChangeIsKnownToTheStandByWhenTheOldProcessIsKilled() throws Exception {
        final Process old = rig.startBeside();
        change();
        old.destroyForcibly();
        awaitEnd(old);
        rig.await(
                "the next",
                () -> rig.log.stream()
                                .filter(line -> line.contains("is ready at"))
                                .count()
                        == 2);
        assertGoesByTheChange();
    }

    @Test
    void aChangeIsKnownToAStartAfterAKill() throws Exception {
        change();
        rig.killAndRestart();
        assertGoesByTheChange();
    }

    /** The other way round: the list that the successor received itself is newer than the stored one. */
    @Test
    void newerListsOfTheSuccessorAreKept() throws Exception {
        rig.platform.script((request, connection) -> {
            if (request.line().contains("after=41")) {
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                connection.chunk(
                        "{\"seq\":43,\"whole\":false,\"hosts\":[" + CourierHarness.host("e1", rig.first, "Terminating")
                                + "," + CourierHarness.host("e2", rig.second, "Ready") + "]}\n");
            }
        });
        // The list as the successor knows it from its configuration.
        Files.deleteIfExists(folder.resolve("state/list"));
        final Process old = rig.startBeside();
        rig.await("the change", () -> rig.hasLogged("\"seq\":43"));
        Files.writeString(
                folder.resolve("state/list"),
                "{\"from\":\"" + rig.platform.address() + "\",\"seq\":42,\"whole\":true,\"hosts\":["
                        + CourierHarness.host("e1", rig.first, "Ready") + "]}");
        CourierHarness.terminate(old);
        awaitEnd(old);
        assertGoesByTheChange();
    }
}
