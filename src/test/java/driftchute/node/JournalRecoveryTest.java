package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** A kill after any byte of a journal's writes, or a record damaged in the middle: what a start recovers. */
final class JournalRecoveryTest {
    private static final long DISK_BYTES = 100_000;

    @TempDir
    private Path folder;

    /** A short history: messages accepted, tried, ended, with a notice, and completed. */
    private byte[] history() throws IOException {
        final Path at = folder.resolve("history");
        try (Journal journal = Journal.open(at, DISK_BYTES)) {
            for (int n = 0; n < 4; n++) {
                final JournaledMessage held =
                        new JournaledMessage("m" + n, "keyed", "key-" + n, 7, 5_000_000, new byte[20 + n]);
                journal.accept(held);
                journal.beginAttempt(held, 1_000 + n, "a");
                journal.endAttempt(held, n % 2 == 0);
                if (n == 1) {
                    journal.recordNotice(held, new JournaledMessage.Notice(true, 0));
                }
                if (n == 2) {
                    journal.complete(held);
                }
            }
        }
        return Files.readAllBytes(at.resolve("journal"));
    }

    /** The end of each complete record, by the lengths before them. */
    private static List<Integer> boundaries(final byte[] bytes) {
        final List<Integer> ends = new ArrayList<>(List.of(0));
        for (int at = 0; at + 8 <= bytes.length; ) {
            at += 8 + ByteBuffer.wrap(bytes, at, 4).getInt();
            ends.add(at);
        }
        return ends;
    }

    private String stateAfter(final String name, final byte[] bytes) throws IOException {
        final Path at = Files.createDirectories(folder.resolve(name));
        Files.write(at.resolve("journal"), bytes);
        try (Journal journal = Journal.open(at, DISK_BYTES)) {
            return journal.openMessages().stream()
                    .map(held -> held.id + "/" + held.attempts() + "/" + held.isInFlight() + "/" + held.notice())
                    .collect(Collectors.joining(","));
        }
    }

    @Test
    void aKillAfterAnyByteGivesExactlyTheStateOfTheLastWholeRecord() throws IOException {
        final byte[] all = history();
        final List<Integer> ends = boundaries(all);
        assertEquals(all.length, ends.get(ends.size() - 1), "the records fill the file");
        for (int cut = 0; cut <= all.length; cut++) {
            final int whole = cut;
            final int last = ends.stream()
                    .filter(end -> end <= whole)
                    .reduce((a, b) -> b)
                    .orElseThrow();
            final byte[] kept = java.util.Arrays.copyOf(all, cut);
            assertEquals(
                    stateAfter("w" + cut, java.util.Arrays.copyOf(all, last)),
                    stateAfter("c" + cut, kept),
                    "cut after byte " + cut);
            assertEquals(
                    last == 0 ? ends.get(1) : last,
                    Files.size(folder.resolve("c" + cut).resolve("journal")),
                    "truncated to the last whole record, or begun anew with a header");
        }
    }

    @Test
    void aDamagedRecordEndsRecoveryThereAndIsCopiedForInspection() throws IOException {
        final byte[] all = history();
        final List<Integer> ends = boundaries(all);
        final int middle = ends.get(ends.size() / 2);
        final byte[] spoilt = all.clone();
        spoilt[middle + 9] ^= 0x5a;
        final Path check = Files.createDirectories(folder.resolve("check"));
        Files.write(check.resolve("journal"), spoilt);
        assertEquals(1, new CommandLine(new JournalCheck()).execute(check.toString()), "check finds it corrupt");
        assertEquals(stateAfter("before", java.util.Arrays.copyOf(all, middle)), stateAfter("spoilt", spoilt));
        final byte[] copy = Files.readAllBytes(folder.resolve("spoilt").resolve("journal.bad"));
        assertEquals(all.length - middle, copy.length);
        assertEquals(spoilt[middle + 9], copy[9], "the copy holds the spoilt bytes");
        assertEquals(
                0,
                new CommandLine(new JournalCheck())
                        .execute(folder.resolve("spoilt").toString()),
                "after the start the folder is whole again");
        assertTrue(new CommandLine(new JournalCheck())
                        .execute(folder.resolve("none").toString())
                == 2);
    }

    /** Format 1 is format 2 without its header record: files of the previous release are read unchanged. */
    @Test
    void aFileOfThePreviousReleaseIsReadAndOneOfALaterFormatIsSetAside() throws IOException {
        final byte[] all = history();
        final int header = boundaries(all).get(1);
        final byte[] before = java.util.Arrays.copyOfRange(all, header, all.length);
        assertEquals(stateAfter("now", all), stateAfter("before", before));
        final byte[] later = all.clone();
        later[header - 1] = 9;
        final java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(later, 8, header - 8);
        ByteBuffer.wrap(later).putInt(4, (int) crc.getValue());
        assertEquals("", stateAfter("later", later), "nothing of a later format is acted on");
        assertEquals(all.length, Files.size(folder.resolve("later").resolve("journal.bad")), "it is kept whole");
        assertEquals(header, Files.size(folder.resolve("later").resolve("journal")), "a header of its own");
    }
}
