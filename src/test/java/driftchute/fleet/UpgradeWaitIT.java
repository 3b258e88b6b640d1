package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import driftchute.node.FakeServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A wait that the old process of an upgrade is asked for binds the new one (PROTOCOL-irishead.md, The rules on sockets;
 * docs/upgrade-waits.md): two processes of the run line, and an endpoint that answers the old one's last call with 429.
 * The wait is ten minutes, so any later call violates it, however slow the machine.
 */
@Timeout(180)
final class UpgradeWaitIT {
    private static final int PROBES = 40;
    private static final double CALLS_PER_SECOND = 500;

    @TempDir
    private Path folder;

    private final RequestLog ledger = new RequestLog();
    /** Calls that the endpoint has not answered. */
    private final List<FakeServer.Request> held = new CopyOnWriteArrayList<>();

    private Fleet fleet;
    private FakeServer endpoint;
    private CourierProcess old;
    private CourierProcess next;

    /** One message's call is in flight at the old process; the new one serves. */
    @BeforeEach
    void upgradeWithACallOut() throws Exception {
        fleet = new Fleet(folder, 1, 1, 1, CALLS_PER_SECOND);
        endpoint = fleet.endpoints.get(0);
        endpoint.script((request, connection) -> {
            if (id(request).equals("out")) {
                held.add(request);
            } else {
                connection.answer(200, "");
            }
        });
        old = fleet.couriers.get(0);
        fleet.startAll();
        next = old.beside();
        next.start(fleet.discovery());
        Fleet.await("standing by", () -> !next.events("stands_by").isEmpty());
        Fleet.await(
                "the second address", () -> next.log.stream().anyMatch(line -> line.contains("the second address is")));
        assertTrue(ledger.submit(old, "out", "safe").takenOn());
        Fleet.await("its call", () -> held.size() == 1);
        old.signal("TERM");
        Fleet.await("the new one's listener", () -> !next.events("ready").isEmpty());
        // Until then the system distributes connections over both.
        Fleet.await(
                "the end of the old one's", () -> !old.events("listener_closed").isEmpty());
    }

    @AfterEach
    void end() throws IOException {
        next.close();
        fleet.close();
    }

    private static String id(final FakeServer.Request request) {
        return String.valueOf(request.header("X-Request-ID"));
    }

    private void answerWithAWait() {
        held.get(0).connection().answer(429, "", "Retry-After: 600");
    }

    private long calls(final String message) {
        return endpoint.requests.stream()
                .filter(request -> id(request).equals(message))
                .count();
    }

    /** Both the refused message and a new one are ended by a notice, and neither is sent. */
    private void assertBound() {
        assertTrue(ledger.submit(next, "late", "safe").takenOn());
        Fleet.await("the ends of both", () -> fleet.noticed("late") && fleet.noticed("out"));
        assertEquals(0, calls("late"), "a request inside the wait: " + next.log);
        assertEquals(1, calls("out"), "a request inside the wait: " + next.log);
    }

    /**
     * Waits until the new process logs that it does not hear the old one; bounded, because a process that never logs it
     * is tested too.
     */
    private void awaitSilence() {
        for (int probe = 0; probe < PROBES && next.events("earlier_silent").isEmpty(); probe++) {
            assertTrue(ledger.submit(next, "probe" + probe, "safe").takenOn());
        }
        Fleet.await(
                "the word of silence",
                () -> !next.events("earlier_silent").isEmpty() || calls("probe" + (PROBES - 1)) > 0);
    }

    @Test
    void aWaitOfThePredecessorAppliesToTheSuccessor() {
        answerWithAWait();
        Fleet.await("the wait", () -> !next.events("wait_taken_over").isEmpty());
        assertBound();
    }

    @Test
    void disablingTheEndpointNeitherEndsNorOverridesTheDrain() throws IOException {
        answerWithAWait();
        Fleet.await("the wait", () -> !next.events("wait_taken_over").isEmpty());
        assertTrue(next.call("set-down e0").startsWith("OK"));
        assertTrue(next.call("set-up e0").startsWith("OK"));
        assertBound();
    }

    @Test
    void aWaitThatAStoppedProcessHasNotReadStillApplies() throws Exception {
        old.signal("STOP");
        awaitSilence();
        final int before = endpoint.requests.size();
        answerWithAWait();
        // Decided when it is accepted: it has been sent by then, or waits.
        assertTrue(ledger.submit(next, "meanwhile", "safe").takenOn());
        old.signal("CONT");
        Fleet.await("the wait", () -> !next.events("wait_taken_over").isEmpty() || calls("meanwhile") > 0);
        assertEquals(before, endpoint.requests.size(), "sent while the old one was not heard: " + next.log);
        assertBound();
    }

    /**
     * Answers that a killed process had not read are unknown; then the courier continues as after a restart, and
     * nothing is lost.
     */
    @Test
    void ifTheOldProcessIsKilledUnheardTheNewOneContinues() throws Exception {
        old.signal("STOP");
        awaitSilence();
        final int before = endpoint.requests.size();
        assertTrue(ledger.submit(next, "meanwhile", "safe").takenOn());
        assertEquals(before, endpoint.requests.size(), "sent while the old one was not heard: " + next.log);
        endpoint.script((request, connection) -> connection.answer(200, ""));
        old.kill();
        Fleet.await("its message", () -> calls("out") == 2);
        Fleet.await("the new one", () -> calls("meanwhile") == 1);
    }
}
