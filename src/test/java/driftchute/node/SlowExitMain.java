package driftchute.node;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** The program in a process that takes as long to end as a test wants. */
public final class SlowExitMain {
    private static final String MAY_END = "may-end";
    private static final String ENDS = "ends";

    private SlowExitMain() {}

    /** Starts the program. */
    public static void main(final String[] args) {
        final Path state = Path.of(System.getenv("PROXY_STATE"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            System.out.println(ENDS);
            while (!Files.exists(state.resolve(MAY_END))) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
            }
        }));
        Main.main(args);
    }

    /** Lets the processes of a folder end. */
    static void allow(final Path state) throws java.io.IOException {
        Files.createFile(state.resolve(MAY_END));
    }

    /** True if one of them was told to end. */
    static boolean isEnding(final CourierHarness rig) {
        return rig.log.contains(ENDS);
    }
}
