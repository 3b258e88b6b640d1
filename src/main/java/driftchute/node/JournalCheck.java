package driftchute.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Checks the journal files of a courier's state folder without changing them. Reports for each file the number of
 * complete, checked records (length and CRC32C), the number of open messages, and what follows: {@code whole}, {@code
 * torn} (a record cut short by a kill, which a start drops), {@code corrupt} or {@code future} (a later format than
 * this code's). One JSON object per line. The exit code is 0 if no file is corrupt or of a later format, 1 if one is,
 * and 2 for a folder that cannot be read or a wrong command line.
 */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks the journal files of a courier's state folder, read only.")
public final class JournalCheck implements Callable<Integer> {
    @Parameters(paramLabel = "FOLDER", description = "the courier's PROXY_STATE")
    private Path folder;

    /** Runs the command line; its exit code is the process's. */
    public static void main(final String[] args) {
        System.exit(new CommandLine(new JournalCheck()).execute(args));
    }

    @Override
    public Integer call() {
        final List<Path> journals;
        try (Stream<Path> files = Files.list(folder)) {
            journals = files.filter(file -> file.getFileName().toString().matches("journal(\\.\\d+)?(\\.next)?"))
                    .sorted()
                    .toList();
        } catch (final IOException e) {
            System.out.println("ERR cannot read " + folder + ": " + e.getMessage());
            return 2;
        }
        boolean bad = false;
        for (final Path journal : journals) {
            try (FileChannel file = FileChannel.open(journal, StandardOpenOption.READ)) {
                final JournalReader reader = new JournalReader(file);
                reader.read();
                bad |= reader.tail() == JournalReader.Tail.CORRUPT || reader.tail() == JournalReader.Tail.FUTURE;
                System.out.printf(
                        Locale.ROOT,
                        "{\"file\":\"%s\",\"version\":%d,\"records\":%d,\"owed\":%d,"
                                + "\"whole_bytes\":%d,\"dropped_bytes\":%d,\"verdict\":\"%s\"}%n",
                        journal.getFileName(),
                        reader.version(),
                        reader.records(),
                        reader.openMessages().size(),
                        reader.position(),
                        file.size() - reader.position(),
                        reader.tail().name().toLowerCase(Locale.ROOT));
            } catch (final NoSuchFileException e) {
                // The courier has rewritten its journal, or has finished an earlier one, since the files were listed.
                System.out.println("gone meanwhile: " + journal.getFileName());
            } catch (final IOException e) {
                System.out.println("ERR cannot read " + journal + ": " + e.getMessage());
                return 2;
            }
        }
        System.out.println(
                bad ? "not ok: a file is corrupt or of a later format" : "ok: " + journals.size() + " files");
        return bad ? 1 : 0;
    }
}
