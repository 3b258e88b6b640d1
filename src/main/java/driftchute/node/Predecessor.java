package driftchute.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The journal of an earlier process of this courier, which may still be writing it: it is read as it grows, until that
 * process is gone.
 */
final class Predecessor {
    private final Path path;
    private final Lock lock;
    private final FileChannel file;
    private final JournalReader reader;
    private boolean gone;

    Predecessor(final Path path, final Lock lock) throws IOException {
        this.path = path;
        this.lock = lock;
        this.file = FileChannel.open(path, StandardOpenOption.READ);
        this.reader = new JournalReader(file);
    }

    /** Reads on; true if there is news, its process's end included. */
    boolean poll() throws IOException {
        // The lock first: what is read once its process is gone is all that there will ever be.
        final boolean ended = !gone && lock.take();
        gone |= ended;
        return reader.read() || ended;
    }

    /** True once its process is gone and all is read. */
    boolean isGone() {
        return gone;
    }

    JournalReader reader() {
        return reader;
    }

    /** Nothing in it is owed any more. */
    void remove() throws IOException {
        file.close();
        Files.deleteIfExists(path);
        lock.close();
    }
}
