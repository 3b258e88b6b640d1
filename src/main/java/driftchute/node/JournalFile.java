package driftchute.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Iterator;

/**
 * The file that a process writes its journal to: records are appended, and a compaction replaces the file atomically.
 * Nothing is synced to disk ({@link Journal}).
 */
final class JournalFile implements AutoCloseable {
    private static final String NEXT_SUFFIX = ".next";

    private final Path path;
    private FileChannel channel;
    /**
     * A spare descriptor for the file of a compaction: clients and calls may be using all others, and what cannot be
     * recorded can be neither accepted nor tried. It holds the folder open; null if none was available.
     */
    private FileChannel spareDescriptor;

    private long size;

    /**
     * Opens or creates a file. What a killed compaction left beside it is removed; the file itself is complete.
     *
     * @throws IOException if it cannot be opened
     */
    JournalFile(final Path path) throws IOException {
        this.path = path;
        Files.deleteIfExists(nextOf(path));
        this.channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        reserveDescriptor();
    }

    /** The file that a compaction of that journal writes. */
    static Path nextOf(final Path journal) {
        return journal.resolveSibling(journal.getFileName() + NEXT_SUFFIX);
    }

    Path path() {
        return path;
    }

    /** The file's content, to read it. */
    FileChannel channel() {
        return channel;
    }

    /** End of the complete records, bytes. */
    long size() {
        return size;
    }

    /** Sets the end of the complete records, after which the next one is written. */
    void truncate(final long bytes) throws IOException {
        channel.truncate(bytes);
        size = bytes;
    }

    /**
     * Appends a record.
     *
     * @throws IOException if it was not written whole; the next one is written over it
     */
    void append(final ByteBuffer record) throws IOException {
        write(channel, record, size);
        size += record.capacity();
    }

    /**
     * Writes these records to a new file, which replaces this one atomically.
     *
     * @throws IOException if that failed; this file is unchanged
     */
    void replace(final Iterator<ByteBuffer> records) throws IOException {
        releaseDescriptor();
        try {
            rewrite(records);
        } finally {
            reserveDescriptor();
        }
    }

    private void rewrite(final Iterator<ByteBuffer> records) throws IOException {
        final Path next = nextOf(path);
        final FileChannel fresh = FileChannel.open(
                next,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        long written = 0;
        try {
            while (records.hasNext()) {
                final ByteBuffer record = records.next();
                write(fresh, record, written);
                written += record.capacity();
            }
            Files.move(next, path, StandardCopyOption.ATOMIC_MOVE);
        } catch (final IOException e) {
            fresh.close();
            Files.deleteIfExists(next);
            throw e;
        }
        channel.close();
        channel = fresh;
        size = written;
    }

    private static void write(final FileChannel to, final ByteBuffer record, final long at) throws IOException {
        long position = at;
        while (record.hasRemaining()) {
            position += to.write(record, position);
        }
    }

    private void reserveDescriptor() {
        try {
            spareDescriptor = FileChannel.open(path.toAbsolutePath().getParent(), StandardOpenOption.READ);
        } catch (final IOException e) {
            // The next compaction has no spare descriptor, and its failure is logged.
            spareDescriptor = null;
        }
    }

    private void releaseDescriptor() throws IOException {
        if (spareDescriptor != null) {
            spareDescriptor.close();
            spareDescriptor = null;
        }
    }

    @Override
    public void close() throws IOException {
        releaseDescriptor();
        channel.close();
    }
}
