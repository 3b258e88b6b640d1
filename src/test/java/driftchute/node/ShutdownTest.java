package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A planned restart during calls: what the journal then contains about each message, and what the next start does. */
@Timeout(120)
final class ShutdownTest {
    private static final List<String> IDS =
            IntStream.range(0, 8).mapToObj(number -> "m" + number).toList();

    /** The idempotency window of the class {@code brief}. */
    private static final long BRIEF_MS = 300;

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

    /** The courier's open messages by its journal, whether its process is running or not. */
    private Collection<JournaledMessage> owed() {
        try (FileChannel file = FileChannel.open(folder.resolve("state/journal"))) {
            final JournalReader reader = new JournalReader(file);
            reader.read();
            return reader.openMessages().values();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void terminate() throws InterruptedException {
        assertTrue(rig.terminate().waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
    }

    private long called() {
        return IDS.stream()
                .filter(id -> rig.first.requests.stream()
                        .anyMatch(call -> id.equals(call.header("X-Request-ID"))
                                || call.text().contains('"' + id + '"')))
                .count();
    }

    private void startWhereCallsOnlyConnect() throws Exception {
        rig.connectTimeoutUs = 100_000_000;
        rig.first.ignore();
        rig.start();
        for (final String id : IDS) {
            assertEquals(202, rig.submit(id, "once").status());
        }
        // The pass that accepted the last message has begun its calls when this is answered.
        assertEquals(200, rig.send("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status());
    }

    /** A call that never had a connection was not executed, and its message loses nothing by the restart. */
    @Test
    void callsWithoutAConnectionAtTheEndAreUntriedAndMadeByTheNextStart() throws Exception {
        startWhereCallsOnlyConnect();
        terminate();
        assertAllAreCalledByTheNextStart();
    }

    /** The same if the process writes nothing at its end. */
    @Test
    void callsWithoutAConnectionAtAKillAreUntriedAndMadeByTheNextStart() throws Exception {
        startWhereCallsOnlyConnect();
        rig.kill();
        assertAllAreCalledByTheNextStart();
    }

    private void assertAllAreCalledByTheNextStart() throws Exception {
        final List<String> tried = owed().stream()
                .filter(one -> one.isInFlight() || one.firstExecutionWallUs() != JournaledMessage.NEVER)
                .map(one -> one.id)
                .toList();
        rig.first.listen();
        rig.first.script((request, connection) -> connection.answer(200, "[" + request.text() + "]"));
        rig.start();
        rig.await(
                "an end to each",
                () -> called() + IDS.stream().filter(id -> rig.noticed(id, "")).count() >= IDS.size());
        assertEquals(IDS.size(), called(), "called, of " + IDS.size() + " resumed; ended with no call: " + rig.notices);
        assertEquals(List.of(), tried, "messages said to be out, or to have run");
    }

    /** The repeat is decided in time, but its connection comes up only when the endpoint has forgotten the key. */
    @Test
    void aRepeatWhoseConnectionComesUpAfterItsWindowIsNotWritten() throws Exception {
        rig.connectTimeoutUs = 100_000_000;
        rig.first.script((request, connection) -> {
            try {
                rig.first.ignore();
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
            rig.first.script((next, other) -> other.answer(200, ""));
            connection.answer(500, "", "Connection: close");
        });
        rig.start();
        assertEquals(202, rig.submit("m0", "brief").status());
        rig.await(
                "the end of the window",
                () -> !rig.first.requests.isEmpty()
                        && System.nanoTime() - rig.first.requests.get(0).atNs()
                                > TimeUnit.MILLISECONDS.toNanos(BRIEF_MS));
        rig.first.listen();
        rig.await("its end", () -> rig.noticed("m0", "deferred") || rig.first.requests.size() > 1);
        assertEquals(1, rig.first.requests.size(), "written after the window");
    }

    /** A call that was written may have been executed. It is recorded as such, so that it is not sent again. */
    @Test
    void callsWrittenAtTheEndMayHaveBeenExecutedAndAreNotRepeated() throws Exception {
        rig.first.script((request, connection) -> {});
        rig.start();
        assertEquals(202, rig.submit("m0", "once").status());
        rig.await("its call", () -> rig.first.requests.size() == 1);
        terminate();
        assertTrue(
                owed().stream()
                                .allMatch(one ->
                                        !one.isInFlight() && one.firstExecutionWallUs() != JournaledMessage.NEVER)
                        || owed().isEmpty() && rig.noticed("m0", "undeliverable"),
                "recorded as what it is");
        rig.start();
        rig.await("its end", () -> rig.noticed("m0", "undeliverable"));
        assertEquals(1, rig.first.requests.size());
    }
}
