package driftchute.node;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;

/**
 * Tells all processes of a courier that one of them has applied a new configuration, and to which discovery address: the
 * signal reaches only one process of an upgrade. A small file of the state folder. What was published before this object
 * was created does not count, since each process reads the configuration at its start. Runs on the event loop's thread.
 */
final class MovedDiscovery {
    private static final String FILE = "discovery";
    private static final String NEXT_FILE = "discovery.next";

    private final Path folder;
    private final File file;
    private long modifiedMs;
    /** Address that could not be written yet; null if there is none. */
    private InetSocketAddress unpublished;

    MovedDiscovery(final Path folder) {
        this.folder = folder;
        this.file = folder.resolve(FILE).toFile();
        this.modifiedMs = file.lastModified();
    }

    /** Tells the other processes that discovery is at that address. A write that fails is repeated by {@link #poll}. */
    void publish(final InetSocketAddress address) {
        unpublished = address;
        try {
            final Path fresh = folder.resolve(NEXT_FILE);
            final String text = address.getHostString() + ":" + address.getPort();
            Files.write(fresh, text.getBytes(StandardCharsets.US_ASCII));
            // Each version has a different modification time, by which the other processes notice it.
            final long atMs = Math.max(System.currentTimeMillis(), Math.max(modifiedMs, file.lastModified()) + 1);
            Files.setLastModifiedTime(fresh, FileTime.fromMillis(atMs));
            Files.move(fresh, file.toPath(), StandardCopyOption.ATOMIC_MOVE);
            modifiedMs = atMs;
            unpublished = null;
        } catch (final IOException e) {
            Log.info("discovery: cannot tell the courier's other processes of its address: " + e.getMessage());
        }
    }

    /** The address that another process has published since the last call; null if none has. */
    InetSocketAddress poll() {
        if (unpublished != null) {
            publish(unpublished);
        }
        final long atMs = file.lastModified();
        if (atMs == modifiedMs || atMs == 0) {
            return null;
        }
        try {
            final String text = Files.readString(file.toPath(), StandardCharsets.US_ASCII);
            modifiedMs = atMs;
            return Config.remoteAddress(FILE, text);
        } catch (final IOException | IllegalArgumentException e) {
            Log.info("discovery: cannot read the address of the courier's other process: " + e.getMessage());
            return null;
        }
    }
}
