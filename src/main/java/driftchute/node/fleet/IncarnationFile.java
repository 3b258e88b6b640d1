package driftchute.node.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.CRC32C;

/**
 * Stores the last incarnation number of this courier in its state folder: one line with the number and its CRC32C,
 * replaced atomically. An empty folder (a power loss) or a line that fails its check counts as no number: the peers
 * then report the higher incarnation as a claim about this courier, and it exceeds it.
 */
final class IncarnationFile {
    private static final String FILE = "incarnation";
    private static final String NEXT_FILE = "incarnation.next";
    private static final int HEX = 16;
    private final Path folder;

    IncarnationFile(final Path folder) {
        this.folder = folder;
    }

    /** The stored number, or 0 if there is no valid one. */
    long read() throws IOException {
        final String[] words;
        try {
            words = Files.readString(folder.resolve(FILE), StandardCharsets.ISO_8859_1)
                    .trim()
                    .split(" ");
        } catch (final NoSuchFileException e) {
            return 0;
        }
        try {
            return words.length == 2 && Long.parseLong(words[1], HEX) == check(words[0])
                    ? Math.max(0, Long.parseLong(words[0]))
                    : 0;
        } catch (final NumberFormatException e) {
            return 0;
        }
    }

    /** Stores a number. It is in place when this returns. */
    void write(final long incarnation) throws IOException {
        Files.createDirectories(folder);
        final String number = Long.toString(incarnation);
        final Path next = folder.resolve(NEXT_FILE);
        Files.writeString(next, number + " " + Long.toHexString(check(number)) + "\n", StandardCharsets.ISO_8859_1);
        Files.move(next, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
    }

    private static long check(final String number) {
        final CRC32C crc = new CRC32C();
        crc.update(number.getBytes(StandardCharsets.ISO_8859_1));
        return crc.getValue();
    }
}
