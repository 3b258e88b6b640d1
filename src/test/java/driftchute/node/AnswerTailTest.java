package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;

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

/**
 * A good answer with bytes behind it, a second copy or noise: the answer counts, and the bytes answer no other call.
 */
@Timeout(120)
final class AnswerTailTest {
    private static final String DELIVERED = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
    private static final String REFUSED = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    private static final String HALF = "HTTP/1.1 200 X\r\nX-Half: ";
    private static final String NOISE = "#~ 0c1f noise 77 ~#\r\n\r\n";
    /** Enough calls on one connection that the system no longer acknowledges each answer at once. */
    private static final int CALLS = 8;

    @TempDir
    private Path folder;

    private ServiceOnLoop courier;
    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        courier = new ServiceOnLoop(folder);
        rig = courier.rig;
    }

    @AfterEach
    void end() throws IOException {
        courier.close();
    }

    private void deliver(final String id) throws Exception {
        courier.offerSoon(id, "once", ServiceOnLoop.LIFE_US);
        rig.await("the end of " + id, () -> courier.isOver(id));
    }

    /** Its connection is reset instead of an answer, so it can only end as possibly executed. */
    private void assertTheNextCallHasNoAnswer(final String id) throws Exception {
        courier.offerSoon(id, "once", ServiceOnLoop.LIFE_US);
        rig.await("its end", () -> courier.isOver(id));
        rig.await("its notice", () -> rig.noticed(id, "undeliverable"));
        assertEquals(1, rig.notices.size(), rig.notices.toString());
    }

    /** The bytes arrive in the same read as the answer. */
    @ParameterizedTest
    @ValueSource(strings = {DELIVERED, REFUSED, HALF, NOISE, "\r\n", "\u0000"})
    void aDeliveryCountsAndItsTailEndsTheConnection(final String tail) throws Exception {
        rig.first.script((request, connection) -> {
            if (rig.first.requests.size() == 1) {
                connection.write(DELIVERED + tail);
            } else {
                connection.reset();
            }
        });
        courier.start();
        deliver("m1");
        assertTheNextCallHasNoAnswer("m2");
        assertEquals(2, rig.first.requests.size());
        assertNotSame(courier.call(0).connection(), courier.call(1).connection());
        rig.await("the end of the first connection", () -> rig.first.connections.get(0).ended);
    }

    /** The message was never executed, so it is sent again; the copy refuses no other call. */
    @ParameterizedTest
    @ValueSource(strings = {DELIVERED, REFUSED, HALF, NOISE})
    void aRefusalCountsAndItsTailAnswersNoOtherCall(final String tail) throws Exception {
        rig.first.script((request, connection) -> {
            if (rig.first.requests.size() == 1) {
                connection.write(REFUSED + tail);
            } else {
                connection.reset();
            }
        });
        courier.start();
        assertTheNextCallHasNoAnswer("m1");
        assertEquals(2, rig.first.requests.size());
        assertNotSame(courier.call(0).connection(), courier.call(1).connection());
    }

    /** The states of several messages count, whatever follows the answer that names them. */
    @ParameterizedTest
    @ValueSource(strings = {"copy", HALF, NOISE})
    void theStatesOfSeveralMessagesCountWithATail(final String tail) throws Exception {
        final String states = "[{\"id\":\"m1\",\"state\":\"accepted\"},{\"id\":\"m2\",\"state\":\"accepted\"}]";
        final String answer = "HTTP/1.1 200 X\r\nContent-Length: " + states.length() + "\r\n\r\n" + states;
        rig.first.script((request, connection) -> {
            if (rig.first.requests.size() == 1) {
                connection.write(answer + (tail.equals("copy") ? answer : tail));
            } else {
                connection.reset();
            }
        });
        courier.start();
        courier.onLoop(() -> {
            courier.offer("m1", "once");
            courier.offer("m2", "once");
            return null;
        });
        assertEquals("POST /inbox/bulk HTTP/1.1", courier.call(0).line());
        rig.await("their ends", () -> courier.isOver("m1") && courier.isOver("m2"));
        assertEquals(List.of(), rig.notices);
        assertTheNextCallHasNoAnswer("m3");
        assertEquals(2, rig.first.requests.size());
    }

    /**
     * The endpoint writes the bytes by themselves, and its system holds them back until the answer is acknowledged. If
     * the next call were the acknowledgement, they would arrive as its answer.
     */
    @ParameterizedTest
    @ValueSource(strings = {DELIVERED, REFUSED, HALF, NOISE})
    void aTailThatTheSystemHoldsBackAnswersNoOtherCall(final String tail) throws Exception {
        rig.first.script((request, connection) -> {
            if (rig.first.requests.size() <= CALLS) {
                connection.write(DELIVERED);
            }
            if (rig.first.requests.size() == CALLS) {
                connection.write(tail);
            } else if (rig.first.requests.size() > CALLS) {
                connection.reset();
            }
        });
        courier.start();
        for (int number = 1; number <= CALLS; number++) {
            deliver("m" + number);
        }
        assertTheNextCallHasNoAnswer("last");
        assertEquals(CALLS + 1, rig.first.requests.size());
    }

    /** The connections of answers without a tail are used again. */
    @Test
    void anAnswerWithoutATailKeepsItsConnection() throws Exception {
        rig.first.script((request, connection) -> connection.write(DELIVERED));
        courier.start();
        for (int number = 1; number <= CALLS; number++) {
            deliver("m" + number);
        }
        assertEquals(1, rig.first.connections.size());
    }
}
