package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A drain is announced while a call's connection is coming up: it comes up after the grace period and is not used. */
@Timeout(60)
final class DrainConnectingTest {
    /** The kernel repeats a connection request after 1 s, long after the grace period of 0.25 s. */
    private static final long CONNECT_TIMEOUT_US = 8_000_000;

    private static String list(final long seq, final boolean whole, final String hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}\n";
    }

    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone", "left out of a whole list"})
    void unwrittenCallsGoElsewhere(final String how, @TempDir final Path folder) throws IOException {
        try (CourierHarness rig = new CourierHarness(folder)) {
            rig.connectTimeoutUs = CONNECT_TIMEOUT_US;
            rig.start();
            rig.await("the watch", () -> !rig.watches.isEmpty());
            rig.first.ignore();
            // Its call begins in the turn of the event loop that writes this answer.
            assertEquals(202, rig.submit("m1", "once").status());
            final boolean whole = how.startsWith("left");
            rig.watches
                    .get(rig.watches.size() - 1)
                    .chunk(list(
                            42,
                            whole,
                            CourierHarness.host("e2", rig.second, "Ready")
                                    + (whole ? "" : "," + CourierHarness.host("e1", rig.first, how))));
            rig.await("the list", () -> rig.hasLogged("\"seq\":42"));
            rig.first.listen();
            rig.await("the call", () -> rig.first.requests.size() + rig.second.requests.size() == 1);
            assertTrue(rig.first.requests.isEmpty(), "a call long after the drain was told");
        }
    }
}
