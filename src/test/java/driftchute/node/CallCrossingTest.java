package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls that cross something: a drain told while they connect. */
@Timeout(120)
final class CallCrossingTest {
    @TempDir
    private Path folder;
    private Rig rig;

    @BeforeEach
    void build() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    private boolean sawAt(final FakeServer server, final String id) {
        return server.requests.stream().anyMatch(request -> request.text().contains(id)
                || id.equals(request.header("X-Request-ID")));
    }

    // ---------------------------------------------------------------- a drain

    /** First the call, then the drain, then the connection: no byte of it may go there any more. */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void aCallThatStillConnectsAsADrainIsToldGoesElsewhere(final String health) throws IOException {
        rig.connectTimeoutUs = 100_000_000;
        rig.first.ignore();
        rig.start();
        rig.await("the watch", () -> !rig.watches.isEmpty());
        assertEquals(202, rig.handIn("m1", "once").status());
        rig.change(43, Rig.host("e1", rig.first, health) + "," + Rig.host("e2", rig.second, "Ready"));
        rig.await("the list", () -> rig.hasLogged("e1 " + health));
        rig.first.listen();
        rig.await("its call", () -> !rig.second.requests.isEmpty() || !rig.first.requests.isEmpty());
        assertTrue(sawAt(rig.second, "m1"), "it goes where it may still go");
        assertTrue(rig.first.requests.isEmpty(), "nothing goes to what wants nothing new");
    }

    /** First the call, whole, then the drain: the endpoint finishes what it holds, and its answer counts. */
    @Test
    void aCallThatIsOutAsADrainIsToldIsFinished() throws IOException {
        rig.first.script((request, connection) -> { });
        rig.start();
        rig.await("the watch", () -> !rig.watches.isEmpty());
        assertEquals(202, rig.handIn("m1", "once").status());
        rig.await("its call", () -> sawAt(rig.first, "m1"));
        rig.change(43, Rig.host("e1", rig.first, "Terminating") + "," + Rig.host("e2", rig.second, "Ready"));
        rig.await("the list", () -> rig.hasLogged("e1 Terminating"));
        rig.first.requests.get(0).connection().answer(200, "");
        rig.await("the end of a connection that serves nothing", () -> rig.first.requests.get(0).connection().ended);
        assertEquals(202, rig.handIn("m2", "once").status());
        rig.await("the next one's call", () -> sawAt(rig.second, "m2"));
        assertEquals(List.of(), rig.notices);
        assertEquals(1, rig.first.requests.size());
    }
}
