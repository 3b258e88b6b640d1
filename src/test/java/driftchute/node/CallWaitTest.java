package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

/**
 * An answer asks for a wait while another call to that destination is being decided, is connecting, or is about to be
 * written.
 */
@Timeout(120)
final class CallWaitTest {
    private static final long NEVER_US = 100_000_000;
    private static final long SHORT_US = 2_000_000;
    /**
     * A call may arrive for 100 ms after the answer that asks for a wait (PROTOCOL-irishead.md, The rules on sockets).
     */
    private static final long GRACE_US = 100_000;

    private static final String WAIT = "Retry-After: 600";
    private static final String REFUSAL = "HTTP/1.1 429 X\r\n" + WAIT + "\r\nContent-Length: 0\r\n\r\n";

    @TempDir
    private Path folder;

    private ServiceOnLoop courier;
    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        courier = new ServiceOnLoop(folder);
        rig = courier.rig;
        rig.first.script((request, connection) -> {});
    }

    @AfterEach
    void end() throws IOException {
        courier.close();
    }

    /** One message per call, so that two submitted together make two calls. */
    private static String alone(final String text) {
        return text.replace("\"per_call\":[5]", "\"per_call\":[1]");
    }

    /** Makes a call to an endpoint that accepts no further connection, and another that waits for such a connection. */
    private FakeServer.Connection callBesideOneThatConnects(final long lifeUs) throws Exception {
        rig.connectTimeoutUs = NEVER_US;
        courier.start(CallWaitTest::alone);
        courier.offerSoon("m1", "once", lifeUs);
        final FakeServer.Connection connection = courier.call(0).connection();
        rig.first.ignore();
        courier.offerSoon("m2", "once", ServiceOnLoop.LIFE_US);
        rig.await("the other one's connect", () -> ServiceOnLoop.connecting(rig.first) == 1);
        return connection;
    }

    /**
     * The head of a delivery with a wait arrives, then the message's deadline passes: the wait applies to the
     * connecting call.
     */
    @Test
    void theWaitOfADeliveryCutOffByADeadlineAppliesToConnectingCalls() throws Exception {
        final FakeServer.Connection connection = callBesideOneThatConnects(2 * SHORT_US);
        final long endUs = courier.clock.nowUs() + 2 * SHORT_US;
        courier.onLoop(() -> {
            ServiceOnLoop.block(() -> courier.clock.nowUs() >= endUs);
            connection.write("HTTP/1.1 200 OK\r\n" + WAIT + "\r\nContent-Length: 5\r\n\r\nab");
            ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("an answer", rig.first, connection));
            return null;
        });
        rig.await("its delivery", () -> courier.isOver("m1"));
        assertFalse(courier.isCalling(), "the other one's connect ends as the wait is told");
        assertEquals(List.of(), rig.notices);
    }

    /**
     * An endpoint with a separate route is delisted and listed again while its call is in flight: it is the same
     * endpoint.
     */
    @Test
    void aWaitAppliesToCallsConnectingToAnEndpointThatWasListedAgain() throws Exception {
        rig.connectTimeoutUs = NEVER_US;
        courier.start(text -> alone(text).replace("\"routes_apart\":[false]", "\"routes_apart\":[true]"));
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        final FakeServer.Connection connection = courier.call(0).connection();
        rig.first.ignore();
        rig.change(43, CourierHarness.host("e1", rig.first, "Gone"));
        courier.announceChange(44, "back", CourierHarness.host("e1", rig.first, "Ready"));
        courier.offerSoon("m2", "once", ServiceOnLoop.LIFE_US);
        rig.await("the other one's connect", () -> ServiceOnLoop.connecting(rig.first) == 1);
        connection.write(REFUSAL);
        rig.await(
                "the refusal",
                () -> courier.isOnLoop(() -> !courier.journaled("m1").isInFlight()));
        assertFalse(courier.isCalling(), "the other one's connect ends as the wait is told");
    }

    /**
     * The answer arrives before the end of its call, in one turn and before the event loop has read it: the answer
     * counts. A turn reads first and then runs due timers one after the other.
     */
    @ParameterizedTest
    @ValueSource(strings = {REFUSAL, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"})
    void anUnreadAnswerCountsWhenItsCallIsEnded(final String answer) throws Exception {
        courier.start(CallWaitTest::alone);
        final long endUs = courier.onLoop(() -> {
            courier.offer("m1", "once", SHORT_US, new byte[] {1});
            return courier.clock.nowUs() + SHORT_US;
        });
        final FakeServer.Connection connection = courier.call(0).connection();
        // The next turn begins with both due, this and the call's end, in this order.
        courier.at(endUs - 60_000, () -> ServiceOnLoop.block(() -> courier.clock.nowUs() > endUs));
        courier.at(endUs - 30_000, () -> {
            connection.write(answer);
            ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("an answer", rig.first, connection));
        });
        rig.await("its end", () -> courier.isOver("m1") || !rig.notices.isEmpty());
        if (answer.equals(REFUSAL)) {
            rig.await("its notice", () -> rig.noticed("m1", "deferred") || rig.noticed("m1", "undeliverable"));
            assertTrue(rig.noticed("m1", "deferred"), "it was turned away, and has not run: " + rig.notices);
            courier.offerSoon("m2", "safe", SHORT_US);
            rig.await("its end without a call", () -> rig.noticed("m2", "deferred"));
            assertEquals(1, rig.first.requests.size());
        } else {
            assertEquals(List.of(), rig.notices);
        }
    }

    /**
     * An answer asks for a wait; later than the grace period and before it is read, a call is due on a kept connection.
     */
    @Test
    void anUnreadWaitHoldsBackACallOnAKeptConnection() throws Exception {
        courier.start(CallWaitTest::alone);
        courier.onLoop(() -> {
            courier.offer("a", "safe");
            courier.offer("b", "safe");
            return null;
        });
        courier.call(1);
        rig.first.requests.forEach(request -> request.connection().answer(200, ""));
        rig.await("their delivery", () -> courier.isOver("a") && courier.isOver("b"));
        courier.onLoop(() -> {
            courier.blockForRest();
            courier.offer("m1", "once");
            return null;
        });
        final FakeServer.Connection connection = courier.call(2).connection();
        courier.onLoop(() -> {
            connection.write(REFUSAL);
            ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("an answer", rig.first, connection));
            courier.holdFor(GRACE_US);
            courier.offer("m2", "once");
            return null;
        });
        assertThatTheOtherOneIsHeldBack();
    }

    /** The same for a call whose connection has come up in that turn. The system decides which is handled first. */
    @Test
    void anUnreadWaitHoldsBackACallOnANewConnection() throws Exception {
        courier.start(CallWaitTest::alone);
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        final FakeServer.Connection connection = courier.call(0).connection();
        courier.onLoop(() -> {
            // Two calls to one endpoint are some ms apart.
            courier.blockForRest();
            courier.offer("m2", "once");
            courier.then(() -> {
                ServiceOnLoop.block(() -> rig.first.connections.size() == 2);
                connection.write(REFUSAL);
                ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("an answer", rig.first, connection));
                courier.holdFor(GRACE_US);
            });
            return null;
        });
        assertThatTheOtherOneIsHeldBack();
    }

    private void assertThatTheOtherOneIsHeldBack() {
        rig.await(
                "the refusal",
                () -> courier.isOnLoop(() -> !courier.journaled("m1").isInFlight()));
        assertTrue(
                courier.isOnLoop(() -> courier.journaled("m2").attempts() == 0),
                "a call was begun more than the grace after the wait was told");
    }
}
