package driftchute.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file lock shared by the processes of one courier. It ends with its process. Its empty file remains, because a
 * removed file could be locked twice under one name. Thread-safe.
 */
final class ProcessLock implements AutoCloseable {
    private final FileChannel channel;
    private FileLock lock;

    ProcessLock(final Path file) throws IOException {
        this.channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Takes the lock if it is free. True while this object holds it. */
    synchronized boolean tryLock() throws IOException {
        try {
            lock = lock == null ? channel.tryLock() : lock;
        } catch (final OverlappingFileLockException e) {
            // It is held by this very process, but by another object.
            return false;
        }
        return lock != null;
    }

    /** True while this object holds the lock. */
    synchronized boolean isHeld() {
        return lock != null;
    }

    synchronized void release() throws IOException {
        if (lock != null) {
            lock.release();
            lock = null;
        }
    }

    /** True if another holder has the lock at this moment. */
    synchronized boolean isHeldByOther() throws IOException {
        final boolean mine = lock != null;
        final boolean free = tryLock();
        if (!mine) {
            release();
        }
        return !free;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
