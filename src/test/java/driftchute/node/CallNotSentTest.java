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

/** Calls that wait for a resource, and events that coincide with the wait. */
@Timeout(120)
final class CallNotSentTest {
    private static final long NEVER_US = 100_000_000;
    /** Enough to share a call, given the expected duration. */
    private static final long SHORT_US = 7_000_000;
    /** Many times the delay after which a call that may not be written is decided again. */
    private static final long FAULT_US = 300_000;

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

    private int calls() {
        return rig.first.requests.size() + rig.second.requests.size();
    }

    /**
     * The state folder cannot be written for a while: a message that was not executed loses neither its attempts nor
     * its outcome.
     */
    @Test
    void aCallThatCannotBeRecordedIsSentOnceItCan() throws Exception {
        rig.connectTimeoutUs = NEVER_US;
        rig.hosts = CourierHarness.host("e1", rig.first, "Terminating");
        courier.start();
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        // The file is gone, and a folder is in the place of the file that replaces it.
        final Path blocked = courier.state.resolve("journal.next");
        courier.onLoop(() -> {
            Files.createDirectory(blocked);
            courier.journal.close();
            return null;
        });
        rig.change(43, CourierHarness.host("e1", rig.first, "Ready"));
        rig.await("the call's connection", () -> !rig.first.connections.isEmpty());
        final CountDownLatch mended = new CountDownLatch(1);
        courier.at(courier.clock.nowUs() + FAULT_US, mended::countDown);
        assertTrue(mended.await(CourierHarness.PATIENCE_S, TimeUnit.SECONDS));
        assertEquals(0, rig.first.requests.size());
        Files.delete(blocked);
        rig.await("its delivery", () -> courier.isOver("m1") || !rig.notices.isEmpty());
        assertEquals(List.of(), rig.notices);
        assertEquals(1, rig.first.requests.size());
    }

    /** A call waits for the rest of a kept connection when a drain is announced: it goes elsewhere. */
    @Test
    void aCallWaitingForAConnectionsRestWhenADrainIsAnnouncedGoesElsewhere() throws Exception {
        rig.first.script((request, connection) -> {});
        courier.start(text -> text.replace("\"calls_out\":12", "\"calls_out\":1"));
        courier.offerSoon("m0", "once", ServiceOnLoop.LIFE_US);
        final FakeServer.Connection connection = courier.call(0).connection();
        courier.onLoop(() -> {
            // It waits for the only slot, and so is sent in the pass after that answer.
            courier.offer("m1", "once");
            connection.answer(200, "");
            ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("an answer", rig.first, connection));
            courier.at(courier.clock.nowUs(), () -> {
                assertTrue(courier.host.endpoints().hasCallsInFlight());
                rig.change(
                        43,
                        CourierHarness.host("e1", rig.first, "Terminating") + ","
                                + CourierHarness.host("e2", rig.second, "Ready"));
                ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("the list", rig.platform, rig.watches.get(0)));
                courier.blockForRest();
            });
            return null;
        });
        rig.await("its call", () -> calls() == 2);
        assertEquals(1, rig.second.requests.size());
        rig.await("its delivery", () -> courier.isOver("m1"));
        assertEquals(List.of(), rig.notices);
    }

    /** A call waits for a descriptor. If a drain is announced meanwhile, it goes elsewhere once there is one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCallWaitingForADescriptorWhenADrainIsAnnouncedGoesElsewhere(final boolean drained) throws Exception {
        rig.connectTimeoutUs = NEVER_US;
        // Permits one connection to endpoints.
        rig.sockets = 2;
        rig.first.script((request, connection) -> {});
        courier.start();
        courier.offerSoon("m0", "once", ServiceOnLoop.LIFE_US);
        final FakeServer.Connection connection = courier.call(0).connection();
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        // The decisions space the calls to a destination, so this one does not begin at once.
        rig.await(
                "its call",
                () -> courier.isOnLoop(() -> courier.host.endpoints().callsInFlight() == 2));
        rig.change(
                43,
                CourierHarness.host("e1", rig.first, drained ? "Terminating" : "Ready") + ","
                        + CourierHarness.host("e2", rig.second, "Ready"));
        rig.await("the list", () -> courier.host.hasListed("e2"));
        assertEquals(1, calls());
        rig.first.script((request, another) -> another.answer(200, ""));
        connection.answer(200, "");
        rig.await("its delivery", () -> courier.isOver("m1"));
        assertEquals(drained ? 1 : 0, rig.second.requests.size());
        assertEquals(2, calls());
        assertEquals(List.of(), rig.notices);
    }

    /**
     * The deadline of one message passes while its call's connection comes up: only the others are sent, in another
     * call.
     */
    @Test
    void aMessageThatEndsWhileItsCallConnectsIsNotSent() throws Exception {
        rig.connectTimeoutUs = NEVER_US;
        courier.start();
        rig.first.ignore();
        courier.onLoop(() -> {
            courier.offer("m1", "once", SHORT_US, new byte[] {1});
            courier.offer("m2", "once");
            return null;
        });
        rig.await("their connect", () -> ServiceOnLoop.connecting(rig.first) == 1);
        rig.await("the first one's end", () -> rig.noticed("m1", "deferred"));
        rig.first.listen();
        rig.await("the other one's delivery", () -> courier.isOver("m2"));
        assertEquals(1, rig.first.requests.size());
        assertEquals("m2", rig.first.requests.get(0).header("X-Request-ID"));
        assertEquals(1, rig.notices.size());
    }

    /**
     * A client leaves as its message is delivered, in either order: nothing is outstanding, and nothing is called
     * twice.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aClientThatLeavesAsItsMessageIsDelivered(final boolean first) throws Exception {
        rig.first.script((request, connection) -> {});
        courier.start();
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        final FakeServer.Connection connection = courier.call(0).connection();
        courier.onLoop(() -> {
            connection.answer(200, "");
            ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived("an answer", rig.first, connection));
            if (first) {
                courier.host.withdraw("m1");
            } else {
                courier.at(courier.clock.nowUs(), () -> courier.host.withdraw("m1"));
            }
            return null;
        });
        rig.await("its end", () -> courier.isOver("m1") && !courier.isCalling());
        rig.first.script((request, another) -> another.answer(200, ""));
        courier.offerSoon("m2", "once", ServiceOnLoop.LIFE_US);
        rig.await("the next one's delivery", () -> courier.isOver("m2"));
        assertEquals(2, calls());
        assertEquals(List.of(), rig.notices);
    }
}
