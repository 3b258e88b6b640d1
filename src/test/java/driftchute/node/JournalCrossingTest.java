package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Events that coincide with a journal's writes: a kill during compaction, the descriptor limit, a repeated id, a check.
 */
final class JournalCrossingTest {
    private static final long DISK_BYTES = 100_000;
    private static final String NEXT = ".next";

    @TempDir
    private Path folder;

    private static JournaledMessage held(final String id, final int bytes) {
        return new JournaledMessage(id, "keyed", "key-" + id, 7, 5_000_000, new byte[bytes]);
    }

    private static List<String> ids(final Journal journal) {
        return journal.openMessages().stream().map(one -> one.id).toList();
    }

    private List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> !name.endsWith(".lock"))
                    .sorted()
                    .toList();
        }
    }

    /** Bytes on disk as the platform counts them (DEPLOY-irishead.md). */
    private long used() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512)
                    .sum();
        }
    }

    @Test
    void aMessageThatTheSecondOfThreeProcessesHasInFlightIsNotTakenOverFromTheFirst() throws IOException {
        try (Journal first = Journal.open(folder, DISK_BYTES)) {
            assertTrue(first.accept(held("m1", 50)) && first.accept(held("m2", 50)));
            first.handOver(List.of());
            try (Journal second = Journal.open(folder, DISK_BYTES)) {
                final List<JournaledMessage> taken = second.pollPredecessors().takenOver();
                assertEquals(2, taken.size());
                taken.forEach(message -> assertTrue(second.beginAttempt(message, 1000, "a")));
                second.handOver(List.of());
                try (Journal third = Journal.open(folder, DISK_BYTES)) {
                    assertEquals(List.of(), third.pollPredecessors().takenOver());
                    second.complete(taken.get(0));
                    second.endAttempt(taken.get(1), true);
                    assertEquals(
                            List.of("m2"),
                            third.pollPredecessors().takenOver().stream()
                                    .map(message -> message.id)
                                    .toList());
                    assertEquals(List.of("m2"), ids(third));
                }
            }
        }
    }

    // ---------------------------------------------------------------- a kill in a compaction

    /**
     * An earlier process was killed while rewriting its file, and its successor beside it too; both files are still
     * needed.
     */
    @Test
    void anyKilledCompactionsFileIsRemovedWithItsJournal() throws IOException {
        try (Journal old = Journal.open(folder, DISK_BYTES);
                Journal next = Journal.open(folder, DISK_BYTES)) {
            assertTrue(old.accept(held("first", 50)) && next.accept(held("second", 50)));
        }
        Files.write(folder.resolve("journal" + NEXT), new byte[20_000]);
        Files.write(folder.resolve("journal.1" + NEXT), new byte[20_000]);
        try (Journal third = Journal.open(folder, DISK_BYTES)) {
            assertEquals(
                    List.of("second"),
                    third.pollPredecessors().takenOver().stream()
                            .map(one -> one.id)
                            .toList());
            assertFalse(third.hasPredecessors());
            assertEquals(List.of("first", "second"), ids(third));
            assertEquals(List.of("journal"), names());
        }
    }

    /** The same if the previous release has already removed the journal and left this file. */
    @Test
    void aKilledCompactionsFileWithoutAJournalIsRemovedAtTheStart() throws IOException {
        Files.write(folder.resolve("journal.2" + NEXT), new byte[20_000]);
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertFalse(journal.hasPredecessors());
            assertEquals(List.of("journal"), names());
        }
    }

    /** The other order: the successor starts while the earlier process lives and has rewritten its file before. */
    @Test
    void aJournalThatIsInUseIsLeftAsItIs() throws IOException {
        try (Journal old = Journal.open(folder, DISK_BYTES)) {
            assertTrue(old.accept(held("out", 50)));
            assertTrue(old.beginAttempt(old.openMessages().iterator().next(), 1000, "a"));
            old.handOver(List.of());
            try (Journal next = Journal.open(folder, DISK_BYTES)) {
                next.pollPredecessors();
                assertEquals(List.of("journal", "journal.1"), names());
                assertTrue(next.hasPredecessors());
            }
        }
    }

    /** A failed compaction leaves no file. */
    @Test
    void theFileOfAFailedCompactionIsRemoved() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            final JournaledMessage staying = held("staying", 20_000);
            assertTrue(journal.accept(staying));
            final Path file = folder.resolve("journal");
            final Path aside = Files.move(file, folder.resolve("aside"));
            Files.createDirectories(file.resolve("in-the-way"));
            while (journal.beginAttempt(staying, 1000, "zone".repeat(500))) {
                journal.endAttempt(staying, true);
            }
            assertEquals(List.of("aside", "journal"), names(), "with its file in no one's place");
            Files.delete(file.resolve("in-the-way"));
            Files.delete(file);
            Files.move(aside, file);
            assertTrue(journal.beginAttempt(staying, 2000, "b"), "made up for with the next record");
        }
        try (Journal next = Journal.open(folder, DISK_BYTES)) {
            assertTrue(next.openMessages().iterator().next().isInFlight());
        }
    }

    // ---------------------------------------------------------------- the limit of descriptors

    /**
     * Idle clients have every descriptor when the file has to be rewritten: messages are accepted and tried as usual.
     */
    @Test
    void withoutAFreeDescriptorTheFileIsStillRewritten() throws IOException {
        final List<FileInputStream> taken = new ArrayList<>();
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            // Once with descriptors, so that all classes are loaded.
            turnOver(journal, "before");
            try {
                takeAll(taken);
                turnOver(journal, "without");
            } finally {
                for (final FileInputStream one : taken) {
                    one.close();
                }
            }
            turnOver(journal, "after");
            assertEquals(List.of(), ids(journal));
        }
    }

    private static void takeAll(final List<FileInputStream> taken) {
        try {
            while (true) {
                taken.add(new FileInputStream("/dev/null"));
            }
        } catch (final IOException e) {
            assertTrue(e.getMessage().contains("Too many open files"), e.getMessage());
        }
    }

    /** Writes more than a file may contain. */
    private static void turnOver(final Journal journal, final String name) {
        for (int round = 0; round < 4 * DISK_BYTES / 1000; round++) {
            final JournaledMessage passing = held(name + round, 1000);
            assertTrue(journal.accept(passing), "taken on: " + passing.id);
            assertTrue(journal.beginAttempt(passing, round, "a"), "tried: " + passing.id);
            journal.endAttempt(passing, true);
            journal.complete(passing);
        }
    }

    // ---------------------------------------------------------------- repeated ids

    /**
     * A message's end, then the same id again, in a file that was not rewritten since: the successor has to deliver it.
     */
    @Test
    void anIdAcceptedAgainAfterItsEndIsOpenForTheSuccessor() throws IOException {
        try (Journal old = Journal.open(folder, DISK_BYTES)) {
            final JournaledMessage first = held("again", 10);
            assertTrue(old.accept(first));
            old.complete(first);
            assertTrue(old.accept(held("again", 20)));
            try (Journal next = Journal.open(folder, DISK_BYTES)) {
                next.pollPredecessors().completed().forEach(next::complete);
                assertEquals(List.of("again"), ids(next));
            }
        }
    }

    /** The same in the file of a process that was killed before it could rewrite it. */
    @Test
    void anIdAcceptedAgainIsOpenAfterAKillOfTwoProcesses() throws IOException {
        try (Journal old = Journal.open(folder, DISK_BYTES);
                Journal next = Journal.open(folder, DISK_BYTES)) {
            assertTrue(old.accept(held("other", 10)));
            final JournaledMessage first = held("again", 10);
            assertTrue(next.accept(first));
            next.complete(first);
            // Until the earlier file is gone it could be its message: it is refused or held, but not forgotten.
            final boolean isTaken = next.accept(held("again", 20));
            turnOver(next, "compact");
            try (Journal reader = Journal.open(folder, DISK_BYTES)) {
                reader.pollPredecessors().completed().forEach(reader::complete);
                assertEquals(isTaken, ids(reader).contains("again"));
            }
        }
    }

    // ---------------------------------------------------------------- disk space

    /**
     * The earlier process has its share in calls in flight and the successor fills its own: together they stay within
     * the limit.
     */
    @Test
    void twoProcessesWithFullStoresStayWithinTheirDiskLimit() throws IOException {
        long most = 0;
        try (Journal old = Journal.open(folder, DISK_BYTES)) {
            for (int count = 0; old.accept(held("old" + count, 1000)); count++) {
                assertTrue(old.beginAttempt(List.copyOf(old.openMessages()).get(count), 1000, "a"));
            }
            old.handOver(List.of());
            try (Journal next = Journal.open(folder, DISK_BYTES)) {
                next.pollPredecessors();
                for (int count = 0; next.accept(held("new" + count, 1000)); count++) {
                    most = Math.max(most, used());
                }
                // Its calls end one by one, and the successor takes over each message, tries it and is asked to wait.
                for (final JournaledMessage one : old.openMessages()) {
                    old.endAttempt(one, true);
                    for (final JournaledMessage mine : next.pollPredecessors().takenOver()) {
                        for (int attempt = 0; attempt < 8; attempt++) {
                            assertTrue(next.beginAttempt(mine, 2000, "a"));
                            next.endAttempt(mine, true);
                            most = Math.max(most, used() + nextBytes());
                        }
                    }
                }
            }
        }
        assertTrue(most <= DISK_BYTES, "used: " + most);
    }

    /** What a compaction would now write beside the existing files: all open messages of the newest file. */
    private long nextBytes() throws IOException {
        try (var file = java.nio.channels.FileChannel.open(folder.resolve("journal.1"))) {
            final JournalReader reader = new JournalReader(file);
            reader.read();
            return reader.openMessages().values().stream()
                    .mapToLong(one -> one.body().length + 50L)
                    .sum();
        }
    }

    // ---------------------------------------------------------------- check during a write

    /** A compaction's file is listed, and has replaced the journal by the time it is read. */
    @Test
    void theCheckSkipsAFileThatIsGoneWhenItIsRead() throws IOException {
        try (Journal journal = Journal.open(folder, DISK_BYTES)) {
            assertTrue(journal.accept(held("kept", 10)));
        }
        Files.createSymbolicLink(folder.resolve("journal" + NEXT), folder.resolve("nowhere"));
        assertEquals(0, new CommandLine(new JournalCheck()).execute(folder.toString()));
    }
}
