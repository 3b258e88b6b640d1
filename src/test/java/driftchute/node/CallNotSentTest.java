package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls that wait for something, and what may cross them there. */
@Timeout(120)
final class CallNotSentTest {
    private static final long NEVER_US = 100_000_000;
    /** Enough to share a call, by what one is expected to take. */
    private static final long SHORT_US = 7_000_000;
    /** Many times what a call that may not be written takes to be decided again. */
    private static final long FAULT_US = 300_000;

    @TempDir
    private Path folder;
    private HostOnLoop courier;
    private Rig rig;

    @BeforeEach
    void build() throws IOException {
        courier = new HostOnLoop(folder);
        rig = courier.rig;
    }

    @AfterEach
    void end() throws IOException {
        courier.close();
    }

    private int calls() {
        return rig.first.requests.size() + rig.second.requests.size();
    }

    /** The state folder takes nothing for a while: a message that has not run loses neither its attempts nor its end. */
    @Test
    void aCallThatCannotBeRecordedGoesOnceItCan() throws Exception {
        rig.connectTimeoutUs = NEVER_US;
        rig.hosts = Rig.host("e1", rig.first, "Terminating");
        courier.start();
        courier.offerSoon("m1", "once", HostOnLoop.LIFE_US);
        // The file is gone, and a folder stands where the one that takes its place would be.
        final Path blocked = courier.state.resolve("journal.next");
        courier.onLoop(() -> {
            Files.createDirectory(blocked);
            courier.journal.close();
            return null;
        });
        rig.change(43, Rig.host("e1", rig.first, "Ready"));
        rig.await("the call's connection", () -> !rig.first.connections.isEmpty());
        final CountDownLatch mended = new CountDownLatch(1);
        courier.at(courier.clock.nowUs() + FAULT_US, mended::countDown);
        assertTrue(mended.await(Rig.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(0, rig.first.requests.size());
        Files.delete(blocked);
        rig.await("its delivery", () -> courier.isOver("m1") || !rig.notices.isEmpty());
        assertEquals(List.of(), rig.notices);
        assertEquals(1, rig.first.requests.size());
    }

}
