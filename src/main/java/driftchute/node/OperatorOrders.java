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
final class OperatorOrders {
    private static final String FILE = "orders";
    private static final String NEXT_FILE = "orders.next";
    private static final String LOCK_FILE = "orders.lock";
    private static final String DISABLED_PREFIX = "out ";
    private static final String DRAIN_LINE = "drain";

    /** The orders in force. */
    record State(Set<String> disabledEndpoints, boolean draining) {
        State {
            disabledEndpoints = Set.copyOf(disabledEndpoints);
        }

        State withDisabled(final String endpoint) {
            final Set<String> more = new TreeSet<>(disabledEndpoints);
            more.add(endpoint);
            return new State(more, draining);
        }

        State withEnabled(final String endpoint) {
            final Set<String> fewer = new TreeSet<>(disabledEndpoints);
            fewer.remove(endpoint);
            return new State(fewer, draining);
        }

        State withDraining(final boolean on) {
            return new State(disabledEndpoints, on);
        }
    }

    private final Path folder;
    private final long maxBytes;
    private final File file;
    /**
     * Held by a thread while it changes the orders, also while it waits for another process's file lock. Readers do not
     * wait for it.
     */
    private final Object changeLock = new Object();

    private long modifiedMs = -1;
    private State current = new State(Set.of(), false);

    OperatorOrders(final Path folder, final long diskBytes) {
        this.folder = folder;
        this.maxBytes = new DiskBudget(diskBytes).orders();
        this.file = folder.resolve(FILE).toFile();
    }

    /** The present orders; the same object as long as nothing has changed. */
    synchronized State current() {
        final long atMs = file.lastModified();
        if (atMs != modifiedMs) {
            try {
                current = atMs == 0 ? new State(Set.of(), false) : read();
                modifiedMs = atMs;
            } catch (final IOException e) {
                // The previous orders stay in force; the file is read again the next time.
                Log.info("orders: cannot read the file: " + e.getMessage());
            }
        }
        return current;
    }

    /**
     * Changes the orders. They are stored and in force when this returns.
     *
     * @throws IOException if they cannot be stored
     */
    void change(final UnaryOperator<State> step) throws IOException {
        synchronized (changeLock) {
            Files.createDirectories(folder);
            try (FileChannel channel = FileChannel.open(
                            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                    FileLock lock = channel.lock()) {
                assert lock.isValid();
                final State before = current();
                final State after = step.apply(before);
                if (!after.equals(before)) {
                    write(after);
                }
            }
        }
    }

    private synchronized void write(final State next) throws IOException {
        final List<String> lines = new ArrayList<>();
        new TreeSet<>(next.disabledEndpoints()).forEach(endpoint -> lines.add(DISABLED_PREFIX + endpoint));
        if (next.draining()) {
            lines.add(DRAIN_LINE);
        }
        final byte[] bytes = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
        if (bytes.length > maxBytes && bytes.length > file.length()) {
            throw new IOException(bytes.length + " bytes of orders exceed the maximum of " + maxBytes);
        }
        final Path fresh = folder.resolve(NEXT_FILE);
        Files.write(fresh, bytes);
        // Each version has a different modification time, by which the other processes notice it.
        final long atMs = Math.max(System.currentTimeMillis(), Math.max(0, modifiedMs) + 1);
        Files.setLastModifiedTime(fresh, FileTime.fromMillis(atMs));
        Files.move(fresh, file.toPath(), StandardCopyOption.ATOMIC_MOVE);
        current = next;
        modifiedMs = atMs;
    }

    private State read() throws IOException {
        final Set<String> disabled = new TreeSet<>();
        boolean draining = false;
        for (final String line : Files.readAllLines(file.toPath(), StandardCharsets.UTF_8)) {
            if (line.startsWith(DISABLED_PREFIX)) {
                disabled.add(line.substring(DISABLED_PREFIX.length()));
            } else if (line.equals(DRAIN_LINE)) {
                draining = true;
            } else {
                Log.info("orders: unknown line: " + line);
            }
        }
        return new State(disabled, draining);
    }
}
