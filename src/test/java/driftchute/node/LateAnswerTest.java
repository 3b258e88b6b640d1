package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The answer to a call of several messages follows the first one's deadline, both in one turn of the loop. */
@Timeout(60)
final class LateAnswerTest {
    /** Enough to share a call, given the expected duration. */
    private static final long SHORT_US = 7_000_000;

    /**
     * A turn reads its sockets first. The answer is too late for the call and so for each of its messages, as if the
     * call had ended in the turn before ({@link CallCrossingTest} has that order, and an answer before the deadline).
     */
    @Test
    void anAnswerToSeveralIsIgnoredAfterTheDeadlineOfOne(@TempDir final Path folder) throws Exception {
        try (ServiceOnLoop courier = new ServiceOnLoop(folder)) {
            courier.rig.first.script((request, connection) -> {});
            courier.start();
            final long endUs = courier.onLoop(() -> {
                courier.offer("m1", "once", SHORT_US, new byte[] {1});
                courier.offer("m2", "once");
                return courier.clock.nowUs() + SHORT_US;
            });
            assertEquals("POST /inbox/bulk HTTP/1.1", courier.call(0).line());
            final FakeServer.Connection connection = courier.call(0).connection();
            courier.onLoop(() -> {
                ServiceOnLoop.block(() -> courier.clock.nowUs() > endUs);
                connection.answer(
                        200, "[{\"id\":\"m1\",\"state\":\"accepted\"},{\"id\":\"m2\",\"state\":\"accepted\"}]");
                ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("an answer", courier.rig.first, connection));
                return null;
            });
            courier.rig.await(
                    "their ends",
                    () -> courier.rig.noticed("m1", "undeliverable") && courier.rig.noticed("m2", "undeliverable"));
            assertEquals(1, courier.rig.first.requests.size());
        }
    }
}
