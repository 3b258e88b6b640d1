package driftchute.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Decides which of a courier's processes serves and which stands by, by two file locks. A lock ends with its process,
 * so that a process that dies at any moment blocks nobody.
 */
final class Handover {
    private final Lock serving;
    private final Lock standby;

    Handover(final Path folder) throws IOException {
        Files.createDirectories(folder);
        this.serving = new Lock(folder.resolve("serving.lock"));
        this.standby = new Lock(folder.resolve("standby.lock"));
    }

    /** Becomes the serving process if there is none. */
    boolean serve() throws IOException {
        return serving.take();
    }

    /** Becomes the stand-by process if there is none. */
    boolean standBy() throws IOException {
        return standby.take();
    }

    /** This process listens and sends now, so its predecessor may stop listening. */
    void served() throws IOException {
        standby.release();
    }

    /** True if another process stands by. */
    boolean hasNext() throws IOException {
        return standby.isTaken();
    }

    /** This process records and sends nothing more, so its successor may. */
    void letGo() throws IOException {
        serving.release();
    }

    /** This process ends before it has served, so another may serve or stand by. */
    void withdraw() throws IOException {
        serving.release();
        standby.release();
    }

    /** True once the successor serves and listens. */
    boolean isDone() throws IOException {
        return !standby.isTaken() && serving.isTaken();
    }
}
