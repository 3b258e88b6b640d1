package driftchute.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Decides which of a courier's processes serves and which stands by, by two file locks. A lock ends with its process,
 * so that a process that dies at any moment blocks nobody.
 */
final class HandoverLocks {
    private final ProcessLock serving;
    private final ProcessLock standby;

    HandoverLocks(final Path folder) throws IOException {
        Files.createDirectories(folder);
        this.serving = new ProcessLock(folder.resolve("serving.lock"));
        this.standby = new ProcessLock(folder.resolve("standby.lock"));
    }

    /** Becomes the serving process if there is none. */
    boolean tryServe() throws IOException {
        return serving.tryLock();
    }

    /** Becomes the stand-by process if there is none. */
    boolean tryStandBy() throws IOException {
        return standby.tryLock();
    }

    /** This process listens and sends now, so its predecessor may stop listening. */
    void releaseStandBy() throws IOException {
        standby.release();
    }

    /** True if another process stands by. */
    boolean hasSuccessor() throws IOException {
        return standby.isHeldByOther();
    }

    /** This process records and sends nothing more, so its successor may. */
    void releaseServing() throws IOException {
        serving.release();
    }

    /** This process ends before it has served, so another may serve or stand by. */
    void releaseAll() throws IOException {
        serving.release();
        standby.release();
    }

    /** True once the successor serves and listens. */
    boolean isSuccessorServing() throws IOException {
        return !standby.isHeldByOther() && serving.isHeldByOther();
    }
}
