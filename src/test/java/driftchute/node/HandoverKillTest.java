package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One of the two processes of an upgrade is stopped or killed between two steps: nothing is lost or sent twice. */
@Timeout(120)
final class HandoverKillTest {
    /** The idempotency window of the class {@code brief}. */
    private static final long BRIEF_MS = 300;

    @TempDir
    private Path folder;

    private final List<FakeServer.Request> held = new CopyOnWriteArrayList<>();
    private CourierHarness rig;
    private Process old;
    private Process next;
    private Socket kept;

    /**
     * Two calls are in flight at the old process, a client has an idle connection there, and the successor stands by.
     */
    @BeforeEach
    void upgradeWithCallsOut() throws Exception {
        rig = new CourierHarness(folder);
        rig.first.script((request, connection) -> held.add(request));
        rig.start();
        assertEquals(202, rig.submit("safe", "safe").status());
        rig.await("its call", () -> calls("safe") >= 1);
        assertEquals(202, rig.submit("once", "once").status());
        rig.await("its call", () -> calls("once") == 1);
        old = rig.startBeside();
        next = rig.newest();
        kept = rig.connect();
        assertEquals(
                200,
                CourierHarness.send(kept, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
    }

    /**
     * Submits a message on the idle connection at the old process; true if it is accepted. A process that ends may
     * close such a connection if the machine is slow; then the message is not accepted.
     */
    private boolean isTakenOn(final String id) {
        try {
            return CourierHarness.send(kept, CourierHarness.message(id, "once")).status() == 202;
        } catch (final IOException e) {
            return false;
        }
    }

    /** It is sent once if it was accepted, and never if it was not. */
    private void assertSent(final String id, final boolean taken) throws IOException {
        assertEquals(202, rig.submit("after", "safe").status());
        rig.await("what is taken on later", () -> calls("after") == 1);
        rig.await("its call", () -> !taken || calls(id) == 1);
        assertEquals(taken ? 1 : 0, calls(id));
    }

    @AfterEach
    void end() throws IOException {
        kept.close();
        rig.close();
    }

    private long calls(final String id) {
        return rig.first.requests.stream()
                .filter(request -> id.equals(request.header("X-Request-ID"))
                        || request.text().contains('"' + id + '"'))
                .count();
    }

    private void signal(final Process process, final String signal) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .start()
                        .waitFor());
        if (signal.equals("STOP")) {
            rig.await("its stop", () -> isStopped(process));
        }
    }

    private static boolean isStopped(final Process process) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"))
                    .matches("(?s).*\\) T .*");
        } catch (final IOException e) {
            return false;
        }
    }

    private void kill(final Process process) throws InterruptedException {
        process.destroyForcibly();
        assertTrue(process.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
    }

    private long ready() {
        return rig.log.stream().filter(line -> line.contains("is ready at")).count();
    }

    private void answerAll() {
        rig.first.script((request, connection) -> connection.answer(200, ""));
    }

    /**
     * The old process has released its lock and the successor has not begun; messages submitted meanwhile are the
     * successor's.
     */
    @Test
    void theOldProcessIsKilledBetweenItsRelinquishmentAndTheSuccessorsStart() throws Exception {
        signal(next, "STOP");
        CourierHarness.terminate(old);
        rig.await("the letting go", () -> rig.hasLogged("handing over to another process"));
        final boolean taken = isTakenOn("late");
        kill(old);
        final long safe = calls("safe");
        answerAll();
        signal(next, "CONT");
        rig.await("the next", () -> ready() == 2);
        rig.await("what may be repeated", () -> calls("safe") > safe);
        rig.await("the end of what may not", () -> rig.noticed("once", "undeliverable"));
        assertEquals(1, calls("once"));
        assertSent("late", taken);
    }

    /** The successor is killed there: the old process accepts what still arrives, and a later start sends it. */
    @Test
    void theSuccessorIsKilledBetweenTheRelinquishmentAndItsStart() throws Exception {
        signal(next, "STOP");
        CourierHarness.terminate(old);
        rig.await("the letting go", () -> rig.hasLogged("handing over to another process"));
        kill(next);
        final boolean taken = isTakenOn("late");
        assertTrue(old.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(0, calls("late"), "by one that has let go");
        final long safe = calls("safe");
        answerAll();
        rig.start();
        rig.await("what may be repeated", () -> calls("safe") > safe);
        rig.await("the end of what may not", () -> rig.noticed("once", "undeliverable"));
        assertEquals(1, calls("once"));
        assertSent("late", taken);
    }

    /**
     * The successor is killed while it serves and the old process still finishes its calls: each call stays the old
     * process's.
     */
    @Test
    void theSuccessorIsKilledWhileItServesAndTheOldProcessFinishesItsCalls() throws Exception {
        CourierHarness.terminate(old);
        rig.await("the next listens", () -> rig.hasLogged("the successor listens"));
        kill(next);
        held.forEach(request -> request.connection().answer(200, ""));
        assertTrue(old.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        answerAll();
        rig.start();
        assertEquals(202, rig.submit("after", "safe").status());
        rig.await("its call", () -> calls("after") == 1);
        assertEquals(1, calls("once"), "the old one's");
    }

    /** Stopped while the successor serves, and continued: it records the answers it gets, and sends nothing itself. */
    @Test
    void theOldProcessIsStoppedWhileTheSuccessorServesAndThenOnlyRecords() throws Exception {
        CourierHarness.terminate(old);
        rig.await("the next listens", () -> rig.hasLogged("the successor listens"));
        rig.await("the old one's listener", () -> rig.hasLogged("listener_closed"));
        signal(old, "STOP");
        write("late");
        final CourierHarness.Answer other = rig.submit("new", "safe");
        assertEquals(202, other.status());
        held.forEach(request -> request.connection().answer(200, ""));
        answerAll();
        signal(old, "CONT");
        final boolean taken = isAnswered();
        rig.await("the new one's", () -> calls("new") == 1);
        assertTrue(old.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        rig.await("its end to be seen", () -> rig.hasLogged("the predecessor process has ended"));
        assertEquals(1, calls("once"));
        assertSent("late", taken);
    }

    private void write(final String id) {
        try {
            kept.getOutputStream().write(CourierHarness.message(id, "once").getBytes(StandardCharsets.ISO_8859_1));
        } catch (final IOException e) {
            assertTrue(kept.isConnected());
        }
    }

    private boolean isAnswered() {
        try {
            return CourierHarness.read(kept.getInputStream()).status() == 202;
        } catch (final IOException e) {
            return false;
        }
    }

    /** The idempotency window of one message has passed when the next process begins, that of the other has not. */
    @Test
    void onlyMessagesWithinTheirWindowAreSentAgainByTheSuccessor() throws Exception {
        // The initial window permits two calls.
        held.forEach(request -> request.connection().answer(200, ""));
        assertEquals(202, rig.submit("brief", "brief").status());
        rig.await("its call", () -> calls("brief") >= 1);
        final long calledNs = System.nanoTime();
        assertEquals(202, rig.submit("keyed", "keyed").status());
        rig.await("its call", () -> calls("keyed") >= 1);
        signal(next, "STOP");
        kill(old);
        final long before = calls("brief");
        final long keyed = calls("keyed");
        rig.await(
                "the end of the window", () -> System.nanoTime() - calledNs > TimeUnit.MILLISECONDS.toNanos(BRIEF_MS));
        answerAll();
        signal(next, "CONT");
        rig.await("the repeat", () -> calls("keyed") > keyed);
        rig.await("an end by notice", () -> rig.noticed("brief", ""));
        assertEquals(before, calls("brief"), "sent after its window");
    }
}
