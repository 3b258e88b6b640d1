package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import driftchute.Courier;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What outlasts the process, and what a kill during a write leaves of it. */
final class JournalTest {
    private static final long DISK_BYTES = 100_000;

    @TempDir
    private Path folder;

    private static JournaledMessage held(final String id, final int bytes) {
        return new JournaledMessage(id, "keyed", "key-" + id, 7, 5_000_000, new byte[bytes]);
    }

    private List<JournaledMessage> reopened() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            return List.copyOf(journal.openMessages());
        }
    }

    /** A message with only a notice left frees space, and its id does not count twice meanwhile. */
    @Test
    void anOutstandingNoticeUsesNoSpaceForItsBody() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            for (int count = 0; count < 30; count++) {
                final JournaledMessage held = held("m" + count, 10_000);
                assertTrue(journal.accept(held), "message " + count);
                journal.recordNotice(held, new JournaledMessage.Notice(true, 0));
                assertFalse(journal.accept(held("m" + count, 10)), "its id is not free yet");
            }
        }
        assertEquals(30, reopened().size());
        assertTrue(reopened().stream().allMatch(held -> held.notice().failed() && held.body().length == 0));
    }

    /** The disk is full for a moment: what could not be written is written with the next record. */
    @Test
    void whatCouldNotBeWrittenIsWrittenLater() throws IOException {
        final Path blocked = folder.resolve("journal.next");
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final JournaledMessage first = held("first", 10_000);
            final JournaledMessage second = held("second", 10_000);
            assertTrue(journal.accept(first) && journal.accept(second));
            // The next compaction cannot create its file.
            Files.createDirectory(blocked);
            Files.createFile(blocked.resolve("in-the-way"));
            int attempts = 0;
            while (journal.beginAttempt(second, 1000, "zone".repeat(500))) {
                journal.endAttempt(second, true);
                attempts++;
            }
            assertTrue(attempts > 1);
            journal.complete(first);
            Files.delete(blocked.resolve("in-the-way"));
            Files.delete(blocked);
            assertTrue(journal.beginAttempt(second, 2000, "b"));
        }
        assertEquals(List.of("second"), reopened().stream().map(held -> held.id).toList());
    }

    @Test
    void keepsOpenMessagesAndDropsCompletedOnes() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final JournaledMessage sent =
                    new JournaledMessage("sent", "keyed", "k", 7, 5_000_000, new byte[] {1, 2, 3});
            final JournaledMessage over = held("over", 3);
            final JournaledMessage ended = held("ended", 3);
            Stream.of(sent, over, ended).forEach(one -> assertTrue(journal.accept(one)));
            assertTrue(journal.beginAttempt(sent, 1000, "a"));
            journal.endAttempt(sent, true);
            assertTrue(journal.beginAttempt(sent, 2000, "b"));
            journal.complete(over);
            journal.recordNotice(ended, new JournaledMessage.Notice(false, 700));
        }
        final List<JournaledMessage> live = reopened();
        assertEquals(List.of("sent", "ended"), live.stream().map(one -> one.id).toList());
        final JournaledMessage sent = live.get(0);
        assertArrayEquals(new byte[] {1, 2, 3}, sent.body());
        assertEquals("k", sent.idempotencyKey);
        final Clock clock = new Clock();
        final Courier.MessageHistory past = sent.history(clock);
        assertEquals(2, past.attempts());
        assertTrue(past.mayHaveExecuted(), "the attempt that was out may have run");
        assertEquals("b", past.executionZone());
        assertEquals(
                2000, clock.toWallUs(past.firstExecutionUs()), 50_000, "the refused attempt before does not count");
        assertEquals(new JournaledMessage.Notice(false, 700), live.get(1).notice());
    }

    @Test
    void aTornTailIsTruncatedAndThePrecedingRecordsAreKept() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(journal.accept(held("whole", 50)));
            assertTrue(journal.accept(held("torn", 50)));
        }
        final Path file = folder.resolve("journal");
        final byte[] all = Files.readAllBytes(file);
        for (int cut = 1; cut < 60; cut++) {
            Files.write(file, Arrays.copyOf(all, all.length - cut));
            assertEquals(
                    List.of("whole"), reopened().stream().map(one -> one.id).toList());
        }
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(journal.accept(held("next", 50)));
        }
        assertEquals(
                List.of("whole", "next"), reopened().stream().map(one -> one.id).toList());
    }

    @Test
    void aRecordWithAWrongChecksumEndsTheReading() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(journal.accept(held("whole", 50)));
            assertTrue(journal.accept(held("spoilt", 50)));
        }
        final Path file = folder.resolve("journal");
        final byte[] all = Files.readAllBytes(file);
        all[all.length - 30] ^= 1;
        Files.write(file, all);
        assertEquals(List.of("whole"), reopened().stream().map(one -> one.id).toList());
    }

    @Test
    void staysWithinItsDiskLimitHoweverLongItRuns() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final JournaledMessage staying = held("staying", 500);
            assertTrue(journal.accept(staying));
            assertTrue(journal.beginAttempt(staying, 3000, "a"));
            for (int round = 0; round < 2000; round++) {
                final JournaledMessage passing = held("m" + round, 200);
                assertTrue(journal.accept(passing));
                assertTrue(journal.beginAttempt(passing, round, "a"));
                journal.endAttempt(passing, false);
                journal.complete(passing);
                assertTrue(used() < DISK_BYTES / 2, "used: " + used());
            }
        }
        final List<JournaledMessage> live = reopened();
        assertEquals(List.of("staying"), live.stream().map(one -> one.id).toList());
        assertTrue(live.get(0).isInFlight(), "a compaction keeps the attempt that is out");
    }

    @Test
    void acceptsNothingWhenItIsFullButStillRecordsCompletions() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            int taken = 0;
            while (taken < 1000 && journal.accept(held("m" + taken, 1000))) {
                taken++;
            }
            assertTrue(taken > 10 && taken < 100, "taken: " + taken);
            assertFalse(journal.accept(held("late", 1000)));
            for (final JournaledMessage one : List.copyOf(journal.openMessages())) {
                for (int attempt = 0; attempt < 12; attempt++) {
                    assertTrue(journal.beginAttempt(one, attempt, "a"), "room for how messages fare is kept");
                    journal.endAttempt(one, true);
                }
                journal.recordNotice(one, new JournaledMessage.Notice(true, 0));
            }
            assertTrue(journal.accept(held("later", 1000)), "a notice that is owed needs no room for a body");
            assertTrue(used() < DISK_BYTES, "used: " + used());
        }
    }

    @Test
    void anUnfinishedCompactionIsDropped() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(journal.accept(held("kept", 50)));
        }
        Files.write(folder.resolve("journal.next"), new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
        assertEquals(List.of("kept"), reopened().stream().map(one -> one.id).toList());
        assertFalse(Files.exists(folder.resolve("journal.next")));
    }

    /**
     * While the first process finishes its calls, its successor takes over messages without a call in flight, and then
     * the others.
     */
    @Test
    void theSuccessorTakesOverWhatThePredecessorLeaves() throws IOException {
        final JournaledMessage waiting = held("waiting", 10);
        final JournaledMessage out = held("out", 10);
        final JournaledMessage failing = held("failing", 10);
        final Journal old = Journal.open(folder, DISK_BYTES);
        Stream.of(waiting, out, failing).forEach(one -> assertTrue(old.accept(one)));
        assertTrue(old.beginAttempt(out, 1000, "a") && old.beginAttempt(failing, 1000, "a"));
        old.handOver(List.of());
        final Journal next = Journal.open(folder, DISK_BYTES);
        assertEquals(List.of("waiting"), ids(next.pollPredecessors().takenOver()));
        assertEquals(List.of(), ids(next.pollPredecessors().takenOver()), "once");
        old.endAttempt(failing, true);
        assertTrue(old.accept(held("late", 10)));
        assertEquals(List.of("failing", "late"), ids(next.pollPredecessors().takenOver()));
        next.complete("late");
        old.complete(out);
        old.complete(waiting);
        assertEquals(
                List.of("waiting"),
                next.pollPredecessors().completed(),
                "its client went before it heard that it was taken");
        assertTrue(next.hasPredecessors());
        old.close();
        assertEquals(List.of(), ids(next.pollPredecessors().takenOver()), "what has ended here is not taken up again");
        assertFalse(next.hasPredecessors());
        next.close();
    }

    /** The successor dies too while the old file still contains what it completed: nothing completed comes back. */
    @Test
    void completionsOfMessagesTakenOverSurviveBothProcessesAndACompaction() throws IOException {
        final Journal old = Journal.open(folder, DISK_BYTES);
        Stream.of("ended", "owed", "out").forEach(id -> assertTrue(old.accept(held(id, 100))));
        assertTrue(old.beginAttempt(
                old.openMessages().stream()
                        .filter(one -> one.id.equals("out"))
                        .findFirst()
                        .orElseThrow(),
                5,
                "a"));
        old.handOver(List.of());
        final Journal next = Journal.open(folder, DISK_BYTES);
        final List<JournaledMessage> mine = next.pollPredecessors().takenOver();
        assertEquals(List.of("ended", "owed"), ids(mine));
        assertTrue(next.beginAttempt(mine.get(0), 7, "b") && next.beginAttempt(mine.get(1), 7, "b"));
        next.complete(mine.get(0));
        for (int round = 0; round < 500; round++) {
            final JournaledMessage passing = held("m" + round, 200);
            assertTrue(next.accept(passing));
            next.complete(passing);
        }
        next.close();
        old.close();
        try (Journal third = Journal.open(folder, DISK_BYTES)) {
            third.pollPredecessors().completed().forEach(third::complete);
            assertEquals(
                    List.of("out", "owed"),
                    third.openMessages().stream().map(one -> one.id).sorted().toList());
            assertTrue(
                    third.openMessages().stream().allMatch(JournaledMessage::isInFlight),
                    "calls that were out at either may have run");
            assertFalse(third.hasPredecessors());
        }
        assertEquals(2, reopened().size());
    }

    @Test
    void destinationStatesAreReadByTheSuccessor() throws IOException {
        final Courier.DestinationState memory = new Courier.DestinationState(
                7, 3, Courier.CircuitState.SLOW_START, 1, 2, 3, 4, 5.5, 6, 7, 8, 9, 0.5, 11, 12);
        try (Journal old = Journal.open(folder, DISK_BYTES)) {
            old.handOver(List.of(memory));
            try (Journal next = Journal.open(folder, DISK_BYTES)) {
                assertEquals(List.of(memory), next.pollPredecessors().states());
                assertEquals(List.of(), next.pollPredecessors().states());
            }
        }
    }

    private static List<String> ids(final List<JournaledMessage> some) {
        return some.stream().map(one -> one.id).toList();
    }

    private long used() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }
}
