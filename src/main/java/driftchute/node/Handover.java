package driftchute.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Which of a courier's processes serves, and which stands by to take its place. Two locks say so, which end with their
 * process: so a process that dies at any moment holds nobody up.
 */
final class Handover {
    private final Lock serving;
    private final Lock standby;

    Handover(final Path folder) throws IOException {
        Files.createDirectories(folder);
        this.serving = new Lock(folder.resolve("serving.lock"));
        this.standby = new Lock(folder.resolve("standby.lock"));
    }

    /** Becomes the one that serves, if no other is. */
    boolean serve() throws IOException {
        return serving.take();
    }

    /** Becomes the one that serves next, if no other is. */
    boolean standBy() throws IOException {
        return standby.take();
    }

    /** It listens and sends now, so that the one before may stop listening. */
    void served() throws IOException {
        standby.release();
    }

    /** True if another process waits to take this one's place. */
    boolean hasNext() throws IOException {
        return standby.isTaken();
    }

    /** This process records and sends no more: the next one may. */
    void letGo() throws IOException {
        serving.release();
    }

    /** This process ends before it has served: another may serve, or stand by. */
    void withdraw() throws IOException {
        serving.release();
        standby.release();
    }

    /** True once the next one has taken this one's place and listens. */
    boolean isDone() throws IOException {
        return !standby.isTaken() && serving.isTaken();
    }
}
