package driftchute.node;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * The program in a process whose event loop a test can block: its log blocks the thread that reports a SIGHUP, as a
 * full pipe would, until the test releases it. Other threads log normally.
 */
public final class BlockedLoopMain {
    /** The event loop writes this line and is blocked from then on. */
    static final String HELD_AT = "SIGHUP: discovery is at";

    private static final String MAY_GO_ON = "may-go-on";

    private BlockedLoopMain() {}

    /** Starts the program. */
    public static void main(final String[] args) {
        final Path state = Path.of(System.getenv("PROXY_STATE"));
        System.setErr(new PrintStream(new FileOutputStream(FileDescriptor.err), true, StandardCharsets.UTF_8) {
            @Override
            public void println(final String line) {
                super.println(line);
                while (line.contains(HELD_AT) && !Files.exists(state.resolve(MAY_GO_ON))) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
                }
            }
        });
        Main.main(args);
    }

    /** Releases the event loop. */
    static void release(final Path state) throws java.io.IOException {
        Files.createFile(state.resolve(MAY_GO_ON));
    }
}
