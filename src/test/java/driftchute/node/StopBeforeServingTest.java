package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * SIGTERM to a process that is starting or standing by: however long it takes to end, it takes nothing over any more.
 */
@Timeout(120)
final class StopBeforeServingTest {
    @TempDir
    private Path folder;

    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        rig = new CourierHarness(folder);
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    private long ready() {
        return rig.log.stream().filter(line -> line.contains("is ready at")).count();
    }

    /** Starts a stand-by process and tells it to end, which it has not done yet. */
    private Process startAndEndTheNextSlowly() throws Exception {
        rig.start();
        rig.program = "driftchute.node.SlowExitMain";
        final Process old = rig.startBeside();
        rig.program = "driftchute.node.Main";
        CourierHarness.terminate(rig.newest());
        rig.await("its end", () -> SlowExitMain.isEnding(rig) && !isTaken("standby.lock"));
        return old;
    }

    @Test
    void anotherProcessMayStandByAfterTheFirstStandByEnds() throws Exception {
        final Process old = startAndEndTheNextSlowly();
        rig.launch();
        rig.await(
                "a third that stands by",
                () -> rig.log.stream()
                                .filter(line -> line.contains("stands by"))
                                .count()
                        == 2);
        CourierHarness.terminate(old);
        assertTrue(old.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        rig.await("the third", () -> ready() == 2);
    }

    @Test
    void theServingProcessDrainsIfTheStandByEnds() throws Exception {
        final Process old = startAndEndTheNextSlowly();
        CourierHarness.terminate(old);
        assertTrue(old.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        assertFalse(rig.hasLogged("handing over to another process"), rig.log.toString());
        assertEquals(1, ready(), "one that ends takes nothing up: " + rig.log);
    }

    /** The start waits for a lock when SIGTERM arrives, and continues while the process ends. */
    @Test
    void aStartThatIsStoppedSendsNothing() throws Exception {
        rig.first.script((request, connection) -> {});
        rig.start();
        assertEquals(202, rig.submit("m1", "safe").status());
        rig.await("its call", () -> rig.first.requests.size() == 1);
        rig.kill();
        rig.program = "driftchute.node.SlowExitMain";
        try (FileChannel orders = FileChannel.open(folder.resolve("state/orders.lock"), StandardOpenOption.WRITE)) {
            final Process next;
            try (FileLock held = orders.lock()) {
                assertTrue(held.isValid());
                next = rig.launch();
                // Without trying the locks, which could interfere with the process's own attempt.
                rig.await("its wait for the lock", () -> hasOpen(next, "orders.lock"));
                CourierHarness.terminate(next);
                rig.await("its end", () -> SlowExitMain.isEnding(rig) && !isTaken("serving.lock"));
            }
            // Its place is free, and the message is sent once more by the process that takes it.
            rig.program = "driftchute.node.Main";
            rig.start();
            rig.await("the repeat", () -> rig.first.requests.size() == 2);
            SlowExitMain.allow(folder.resolve("state"));
            assertTrue(next.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    private static boolean hasOpen(final Process process, final String name) {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return open.anyMatch(one -> {
                try {
                    return Files.readSymbolicLink(one).endsWith(name);
                } catch (final IOException e) {
                    return false;
                }
            });
        } catch (final IOException e) {
            return false;
        }
    }

    private boolean isTaken(final String name) {
        try (ProcessLock lock = new ProcessLock(folder.resolve("state").resolve(name))) {
            return lock.isHeldByOther();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
