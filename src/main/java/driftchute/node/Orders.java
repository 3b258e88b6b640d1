package driftchute.node;

import java.io.File;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

/**
 * The operators' orders: disabled endpoints and a drain. They are kept in a small file of the state folder, which is
 * the only source of truth: every process of the courier checks it before it acts, so that an order applies to all of
 * them once the file is in place. Thread-safe.
 */
final class Orders {
    private static final String FILE = "orders";
    private static final String NEXT_FILE = "orders.next";
    private static final String LOCK_FILE = "orders.lock";
    private static final String OUT = "out ";
    private static final String DRAIN = "drain";

    /** The orders in force. */
    record Standing(Set<String> out, boolean drain) {
        Standing {
            out = Set.copyOf(out);
        }

        Standing with(final String endpoint) {
            final Set<String> more = new TreeSet<>(out);
            more.add(endpoint);
            return new Standing(more, drain);
        }

        Standing without(final String endpoint) {
            final Set<String> fewer = new TreeSet<>(out);
            fewer.remove(endpoint);
            return new Standing(fewer, drain);
        }

        Standing drained(final boolean on) {
            return new Standing(out, on);
        }
    }

    private final Path folder;
    private final File file;
    /**
     * Held by a thread while it changes the orders, also while it waits for another process's file lock. Readers do not
     * wait for it.
     */
    private final Object changing = new Object();

    private long seenMs = -1;
    private Standing standing = new Standing(Set.of(), false);

    Orders(final Path folder) {
        this.folder = folder;
        this.file = folder.resolve(FILE).toFile();
    }

    /** The present orders; the same object as long as nothing has changed. */
    synchronized Standing standing() {
        final long atMs = file.lastModified();
        if (atMs != seenMs) {
            try {
                standing = atMs == 0 ? new Standing(Set.of(), false) : read();
                seenMs = atMs;
            } catch (final IOException e) {
                // The previous orders stay in force; the file is read again the next time.
                Log.info("orders: cannot read the file: " + e.getMessage());
            }
        }
        return standing;
    }

    /**
     * Changes the orders. They are stored and in force when this returns.
     *
     * @throws IOException if they cannot be stored
     */
    void change(final UnaryOperator<Standing> step) throws IOException {
        synchronized (changing) {
            Files.createDirectories(folder);
            try (FileChannel channel = FileChannel.open(
                            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                    FileLock lock = channel.lock()) {
                assert lock.isValid();
                final Standing before = standing();
                final Standing after = step.apply(before);
                if (!after.equals(before)) {
                    write(after);
                }
            }
        }
    }

    private synchronized void write(final Standing next) throws IOException {
        final List<String> lines = new ArrayList<>();
        new TreeSet<>(next.out()).forEach(endpoint -> lines.add(OUT + endpoint));
        if (next.drain()) {
            lines.add(DRAIN);
        }
        final Path fresh = folder.resolve(NEXT_FILE);
        Files.write(fresh, lines, StandardCharsets.UTF_8);
        // Each version has a different modification time, by which the other processes notice it.
        final long atMs = Math.max(System.currentTimeMillis(), Math.max(0, seenMs) + 1);
        Files.setLastModifiedTime(fresh, FileTime.fromMillis(atMs));
        Files.move(fresh, file.toPath(), StandardCopyOption.ATOMIC_MOVE);
        standing = next;
        seenMs = atMs;
    }

    private Standing read() throws IOException {
        final Set<String> out = new TreeSet<>();
        boolean drain = false;
        for (final String line : Files.readAllLines(file.toPath(), StandardCharsets.UTF_8)) {
            if (line.startsWith(OUT)) {
                out.add(line.substring(OUT.length()));
            } else if (line.equals(DRAIN)) {
                drain = true;
            } else {
                Log.info("orders: unknown line: " + line);
            }
        }
        return new Standing(out, drain);
    }
}
