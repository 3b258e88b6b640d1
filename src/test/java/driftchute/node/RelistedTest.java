package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A separate route is delisted and listed again while the wait it asked for has not ended. */
@Timeout(60)
final class RelistedTest {
    private static final long WAIT_MS = 3000;

    @Test
    void itsWaitStillApplies(@TempDir final Path folder) throws IOException {
        try (CourierHarness rig = new CourierHarness(folder)) {
            rig.extraSetting = "\"extra\":{\"calls_out\":12,\"per_call\":[1],\"routes_apart\":[true]}";
            final AtomicLong toldNs = new AtomicLong();
            rig.first.script((request, connection) -> {
                if (toldNs.compareAndSet(0, System.nanoTime())) {
                    connection.answer(429, "", "Retry-After: " + WAIT_MS / 1000.0);
                } else {
                    connection.answer(200, "");
                }
            });
            rig.start();
            rig.await("the watch", () -> !rig.watches.isEmpty());
            assertEquals(202, rig.submit("m1", "safe").status());
            rig.await("the told wait", () -> rig.first.requests.size() == 1);
            rig.change(42, CourierHarness.host("e1", rig.first, "Gone"));
            rig.change(43, CourierHarness.host("e1", rig.first, "Ready"));
            rig.await("the next call", () -> rig.first.requests.size() == 2);
            final long afterMs =
                    TimeUnit.NANOSECONDS.toMillis(rig.first.requests.get(1).atNs() - toldNs.get());
            assertTrue(afterMs >= WAIT_MS, "called " + afterMs + " ms after it told to wait " + WAIT_MS);
        }
    }
}
