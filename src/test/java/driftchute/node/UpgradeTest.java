package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program started again beside itself: to others, the two processes are one courier. */
@Timeout(120)
final class UpgradeTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";

    private static final Pattern ID = Pattern.compile("\"id\":\"[^\"]*\"");

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

    private long calls(final String id) {
        return rig.first.requests.stream()
                .filter(request -> id.equals(request.header("X-Request-ID"))
                        || request.text().contains('"' + id + '"'))
                .count();
    }

    private static void awaitEnd(final Process process) throws InterruptedException {
        assertTrue(process.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
    }

    /** Answers are held back until a certain moment. */
    private AtomicBoolean holdAnswers(final List<FakeServer.Request> held) {
        final AtomicBoolean open = new AtomicBoolean();
        rig.first.script((request, connection) -> {
            if (open.get()) {
                accept(request);
            } else {
                held.add(request);
            }
        });
        return open;
    }

    /** Delivers all messages of a call. */
    private static void accept(final FakeServer.Request request) {
        request.connection()
                .answer(
                        200,
                        "["
                                + ID.matcher(request.text())
                                        .results()
                                        .map(id -> "{" + id.group() + ",\"state\":\"accepted\"}")
                                        .collect(Collectors.joining(","))
                                + "]");
    }

    @Test
    void callsInFlightEndAtTheOldProcessWaitingOnesContinueAtTheNewOneAndNothingIsSentTwice() throws Exception {
        final List<FakeServer.Request> held = new CopyOnWriteArrayList<>();
        final AtomicBoolean open = holdAnswers(held);
        rig.start();
        final Set<String> ids = new TreeSet<>();
        for (int count = 0; count < 12; count++) {
            final String id = "m" + count;
            ids.add(id);
            assertEquals(202, rig.submit(id, count % 2 == 0 ? "once" : "safe").status());
        }
        rig.await("calls out", () -> !held.isEmpty());
        final Process old = rig.startBeside();
        try (Socket kept = rig.connect()) {
            assertEquals(200, CourierHarness.send(kept, UP).status());
            CourierHarness.terminate(old);
            rig.await("the new one listens", () -> rig.hasLogged("the successor listens"));
            final CourierHarness.Answer late = CourierHarness.send(kept, CourierHarness.message("late", "safe"));
            assertEquals(202, late.status(), "an open connection of the old one is still served");
            assertTrue(late.head().contains("connection: close"), late.head());
            ids.add("late");
            assertEquals(202, rig.submit("new", "safe").status());
            ids.add("new");
            open.set(true);
            held.forEach(UpgradeTest::accept);
        }
        rig.await("all", () -> ids.stream().allMatch(id -> calls(id) > 0));
        awaitEnd(old);
        rig.await("the end of the old one to be seen", () -> rig.hasLogged("the predecessor process has ended"));
        ids.forEach(id -> assertEquals(1, calls(id), id));
        assertTrue(rig.notices.isEmpty(), rig.notices.toString());
        assertFalse(Files.exists(folder.resolve("state/journal")), "the old journal is taken up");
    }

    @Test
    void newConnectionsAreServedThroughoutByOneOfTheProcesses() throws Exception {
        rig.start();
        final Process old = rig.startBeside();
        final AtomicBoolean over = new AtomicBoolean();
        final List<String> failures = new CopyOnWriteArrayList<>();
        final List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < 4; client++) {
            final int number = client;
            clients.add(new Thread(() -> {
                for (int count = 0; count < 20_000 && !over.get(); count++) {
                    try {
                        final int status = rig.send(UP).status();
                        if (status != 200) {
                            failures.add("status " + status);
                        }
                    } catch (final IOException e) {
                        failures.add(number + "/" + count + ": " + e);
                    }
                }
            }));
        }
        clients.forEach(Thread::start);
        CourierHarness.terminate(old);
        awaitEnd(old);
        over.set(true);
        for (final Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), failures);
        assertEquals(200, rig.send(UP).status());
    }

    @Test
    void ordersApplyAcrossAnUpgradeWhicheverProcessReceivedThem() throws Exception {
        rig.hosts =
                CourierHarness.host("e1", rig.first, "Ready") + "," + CourierHarness.host("e2", rig.second, "Ready");
        rig.start();
        final int oldMgmt = rig.mgmtPort();
        final Process old = rig.startBeside();
        assertTrue(rig.command("set-down e1").startsWith("OK"), "told to the one that stands by");
        for (int count = 0; count < 10; count++) {
            assertEquals(202, rig.submit("a" + count, "safe").status());
        }
        rig.await(
                "all of them",
                () -> rig.second.requests.stream()
                        .anyMatch(request ->
                                request.text().contains("a9") || "a9".equals(request.header("X-Request-ID"))));
        assertTrue(rig.first.requests.isEmpty(), "heeded by the one that serves");
        assertTrue(CourierHarness.command(oldMgmt, "drain-on").startsWith("OK"));
        CourierHarness.terminate(old);
        awaitEnd(old);
        assertEquals(503, rig.send(UP).status(), "still drained");
        assertEquals(202, rig.submit("b", "safe").status());
        assertTrue(rig.command("drain-off").startsWith("OK"));
        assertEquals(200, rig.send(UP).status());
        rig.await(
                "the message",
                () -> rig.second.requests.stream().anyMatch(request -> "b".equals(request.header("X-Request-ID"))));
        assertTrue(rig.first.requests.isEmpty(), "heeded by the next one");
    }

    @Test
    void ifTheOldProcessIsKilledTheSuccessorResumesItsMessagesAsAfterARestart() throws Exception {
        final List<FakeServer.Request> held = new CopyOnWriteArrayList<>();
        final AtomicBoolean open = holdAnswers(held);
        rig.start();
        assertEquals(202, rig.submit("safe", "safe").status());
        rig.await("its call", () -> calls("safe") == 1);
        assertEquals(202, rig.submit("once", "once").status());
        rig.await("its call", () -> calls("once") == 1);
        final Process old = rig.startBeside();
        open.set(true);
        old.destroyForcibly();
        rig.await("the repeat", () -> calls("safe") == 2);
        rig.await("the notice", () -> rig.noticed("once", "undeliverable"));
        assertEquals(1, calls("once"));
        assertEquals(200, rig.send(UP).status());
    }

    @Test
    void ifTheStandByDiesTheOldProcessServesAndALaterOneMayStandBy() throws Exception {
        rig.start();
        final Process first = rig.startBeside();
        rig.kill();
        assertEquals(202, rig.submit("m1", "safe").status());
        rig.await("its call", () -> calls("m1") == 1);
        // The killed process is not the serving one: the third finds the first.
        rig.resume(first);
        rig.startBeside();
        CourierHarness.terminate(first);
        awaitEnd(first);
        assertEquals(202, rig.submit("m2", "safe").status());
        rig.await("its call", () -> calls("m2") == 1);
    }

    @Test
    void oneUpgradeMayFollowAnotherAtOnce() throws Exception {
        final List<FakeServer.Request> held = new CopyOnWriteArrayList<>();
        final AtomicBoolean open = holdAnswers(held);
        rig.start();
        assertEquals(202, rig.submit("m1", "once").status());
        rig.await("its call", () -> calls("m1") == 1);
        final Process first = rig.startBeside();
        CourierHarness.terminate(first);
        rig.await("the second listens", () -> rig.hasLogged("the successor listens"));
        final Process second = rig.startBeside();
        CourierHarness.terminate(second);
        awaitEnd(second);
        open.set(true);
        held.forEach(UpgradeTest::accept);
        awaitEnd(first);
        assertEquals(202, rig.submit("m2", "safe").status());
        rig.await("its call", () -> calls("m2") == 1);
        assertEquals(1, calls("m1"), "never sent again");
    }
}
