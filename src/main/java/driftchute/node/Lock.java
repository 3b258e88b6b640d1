package driftchute.node;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A lock in the folder that the processes of one courier share. It ends with its process, however that ends; its file
 * stays, empty, since one that is removed could be locked twice under one name. Any thread may ask.
 */
final class Lock implements AutoCloseable {
    private final FileChannel channel;
    private FileLock lock;

    Lock(final Path file) throws IOException {
        this.channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Takes it, if nobody has it; true while it is this one's. */
    synchronized boolean take() throws IOException {
        try {
            lock = lock == null ? channel.tryLock() : lock;
        } catch (final OverlappingFileLockException e) {
            // Held inside this very process: somebody has it all the same.
            return false;
        }
        return lock != null;
    }

    synchronized void release() throws IOException {
        if (lock != null) {
            lock.release();
            lock = null;
        }
    }

    /** True if somebody else has it at this moment. */
    synchronized boolean isTaken() throws IOException {
        final boolean mine = lock != null;
        final boolean free = take();
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
