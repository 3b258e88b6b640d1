package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
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
 * Calls that coincide with another event: a drain while they connect, a message's deadline before the call's, or no
 * free descriptor.
 */
@Timeout(120)
final class CallCrossingTest {
    private static final String SHORT = "X-Timeout-Ms: 9000";
    private static final String LONG = "X-Timeout-Ms: 20000";

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

    private boolean sawAt(final FakeServer server, final String id) {
        return server.requests.stream()
                .anyMatch(request -> request.text().contains(id) || id.equals(request.header("X-Request-ID")));
    }

    private long callsWith(final String id) {
        return rig.first.requests.stream()
                .filter(request -> request.text().contains(id) || id.equals(request.header("X-Request-ID")))
                .count();
    }

    // ---------------------------------------------------------------- a drain

    /** The call, then the drain, then the connection: no byte of the call may go there any more. */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void aCallConnectingWhenADrainIsAnnouncedGoesElsewhere(final String health) throws IOException {
        rig.connectTimeoutUs = 100_000_000;
        rig.first.ignore();
        rig.start();
        rig.await("the watch", () -> !rig.watches.isEmpty());
        assertEquals(202, rig.submit("m1", "once").status());
        rig.change(
                43,
                CourierHarness.host("e1", rig.first, health) + "," + CourierHarness.host("e2", rig.second, "Ready"));
        rig.await("the list", () -> rig.hasLogged("e1 " + health));
        rig.first.listen();
        rig.await("its call", () -> !rig.second.requests.isEmpty() || !rig.first.requests.isEmpty());
        assertTrue(sawAt(rig.second, "m1"), "it goes where it may still go");
        assertTrue(rig.first.requests.isEmpty(), "nothing goes to what wants nothing new");
    }

    /** The call is written completely, then the drain: the endpoint finishes the call, and its answer counts. */
    @Test
    void aCallInFlightWhenADrainIsAnnouncedIsFinished() throws IOException {
        rig.first.script((request, connection) -> {});
        rig.start();
        rig.await("the watch", () -> !rig.watches.isEmpty());
        assertEquals(202, rig.submit("m1", "once").status());
        rig.await("its call", () -> sawAt(rig.first, "m1"));
        rig.change(
                43,
                CourierHarness.host("e1", rig.first, "Terminating") + ","
                        + CourierHarness.host("e2", rig.second, "Ready"));
        rig.await("the list", () -> rig.hasLogged("e1 Terminating"));
        rig.first.requests.get(0).connection().answer(200, "");
        rig.await(
                "the end of a connection that serves nothing",
                () -> rig.first.requests.get(0).connection().ended);
        assertEquals(202, rig.submit("m2", "once").status());
        rig.await("the next one's call", () -> sawAt(rig.second, "m2"));
        assertEquals(List.of(), rig.notices);
        assertEquals(1, rig.first.requests.size());
    }

    // ---------------------------------------------------------------- deadlines of a message and of its call

    /**
     * Submits two messages that wait for an endpoint, and so share a call; the first one's deadline is much earlier.
     */
    private FakeServer.Connection shareACall(final String kind) throws IOException {
        rig.hosts = CourierHarness.host("e1", rig.first, "Terminating");
        rig.first.script((request, connection) -> {});
        rig.start();
        rig.await("the watch", () -> !rig.watches.isEmpty());
        assertEquals(
                202,
                rig.send(CourierHarness.message("m1", kind).replace(LONG, SHORT))
                        .status());
        assertEquals(202, rig.submit("m2", kind).status());
        rig.change(43, CourierHarness.host("e1", rig.first, "Ready"));
        rig.await("the call", () -> !rig.first.requests.isEmpty());
        assertEquals("POST /inbox/bulk HTTP/1.1", rig.first.requests.get(0).line());
        return rig.first.requests.get(0).connection();
    }

    private static String states(final String first, final String second) {
        return "[{\"id\":\"m1\",\"state\":\"" + first + "\"},{\"id\":\"m2\",\"state\":\"" + second + "\"}]";
    }

    /**
     * One message's deadline passes before the answer: the answer is too late for the call, and so for both messages.
     */
    @Test
    void aCallEndsAtItsEarliestDeadlineAndItsLaterAnswerIsIgnored() throws IOException {
        final FakeServer.Connection connection = shareACall("once");
        rig.await("the first one's end", () -> rig.noticed("m1", "undeliverable"));
        connection.answer(200, states("accepted", "accepted"));
        rig.await("the other one's end", () -> rig.noticed("m2", "undeliverable"));
        assertEquals(1, rig.first.requests.size());
    }

    /** Messages that may be sent again are, after the first one's deadline has ended the call. */
    @Test
    void theOtherMessageOfAnEndedCallIsSentAgainIfThatIsSafe() throws IOException {
        final FakeServer.Connection connection = shareACall("safe");
        rig.first.script((request, late) -> late.answer(200, ""));
        rig.await("the first one's end", () -> rig.noticed("m1", "deferred"));
        connection.answer(200, states("accepted", "accepted"));
        rig.await("the other one's next call", () -> callsWith("m2") == 2);
        assertEquals(1, callsWith("m1"));
    }

    /** The answer precedes the deadline: each message has the state in the answer. */
    @Test
    void theStatesCountIfTheAnswerComesFirst() throws IOException {
        final FakeServer.Connection connection = shareACall("once");
        rig.first.script((request, again) -> again.answer(200, ""));
        connection.answer(200, states("accepted", "deferred"));
        rig.await("the other one's next call", () -> callsWith("m2") == 2);
        assertEquals(1, callsWith("m1"));
        assertEquals(List.of(), rig.notices);
    }

    /** For several messages only the complete answer tells. */
    @Test
    void aStatusLineDeliversNoneOfSeveralMessages() throws IOException {
        final FakeServer.Connection connection = shareACall("once");
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n[{\"id\":\"m2\",");
        connection.reset();
        rig.await("the first one's end", () -> rig.noticed("m1", "undeliverable"));
        rig.await("the other one's end", () -> rig.noticed("m2", "undeliverable"));
    }

    /** An answer that is not a complete list says nothing about any message: each may have been executed. */
    @ParameterizedTest
    @ValueSource(strings = {"%s]", "%s[]", "{\"a\":%s}", "[%1$s,%1$s]", "[%s"})
    void anInvalidAnswerToSeveralDeliversNone(final String form) throws IOException {
        shareACall("once").answer(200, String.format(form, states("accepted", "accepted")));
        rig.await("their end", () -> rig.noticed("m1", "undeliverable") && rig.noticed("m2", "undeliverable"));
    }

    /**
     * A list in another form than the protocol's proves nothing, so no message in it counts as never executed and is
     * sent again.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":{\"id\":\"m1\",\"state\":\"deferred\"},\"b\":{\"id\":\"m2\",\"state\":\"deferred\"}}",
                "[{\"id\":\"m1\",\"state\":\"fault\",\"state\":\"deferred\"},{\"id\":\"m2\",\"state\":\"deferred\"}]",
                "[{\"id\":\"m1\",\"state\":\"deferred\"},{\"id\":\"m2\",\"state\":\"deferred\"},{\"id\":\"m0\",\"state\":\"deferred\"}]",
                "[{\"id\":\"m1\",\"state\":\"deferred\"},{\"id\":\"m2\",\"state\":\"deferred\"},7]",
                "[{\"id\":\"m1\",\"state\":\"no_more\"},{\"id\":\"m2\",\"state\":\"expired\"}]{}"
            })
    void anInvalidAnswerToSeveralIsNoRefusal(final String body) throws IOException {
        shareACall("once").answer(200, body);
        rig.await(
                "their ends, or another call",
                () -> rig.noticed("m1", "undeliverable") && rig.noticed("m2", "undeliverable")
                        || rig.first.requests.size() > 1);
        assertEquals(1, rig.first.requests.size(), "they may have been executed, so they are not sent again");
    }

    /**
     * PROTOCOL-irishead.md has no 410 or 504 to several messages. Either may hide that a message was executed, and 410
     * would end all of them without a notice.
     */
    @ParameterizedTest
    @ValueSource(ints = {410, 504, 404})
    void aStatusThatAnswersSingleMessagesOnlyMeansThatSeveralMayHaveBeenExecuted(final int status) throws IOException {
        shareACall("once").answer(status, "");
        rig.await(
                "their ends, or another call",
                () -> rig.noticed("m1", "undeliverable") && rig.noticed("m2", "undeliverable")
                        || rig.first.requests.size() > 1);
        assertEquals(1, rig.first.requests.size(), "they may have been executed, so they are not sent again");
    }

    /** A list that names a message twice with different states says nothing about it. */
    @Test
    void twoStatesOfOneMessageSayNothingAboutIt() throws IOException {
        shareACall("once")
                .answer(
                        200,
                        "[{\"id\":\"m1\",\"state\":\"fault\"},"
                                + states("accepted", "accepted").substring(1));
        rig.await("its end", () -> rig.noticed("m1", "undeliverable"));
        assertEquals(1, rig.notices.size(), rig.notices.toString());
    }

    // ---------------------------------------------------------------- no descriptor

    /** A resource that a call needs is missing for a while: its message loses neither its attempts nor its outcome. */
    @Test
    void aCallWithoutADescriptorIsSentOnceThereIsOne() throws Exception {
        rig.first.script((request, connection) -> connection.answer(200, "", "Connection: close"));
        rig.start();
        try (Socket client = rig.connect()) {
            // Two calls in a row: what the end of a call needs is loaded from files when the second one ends.
            for (int calls = 1; calls <= 2; calls++) {
                final int made = calls;
                assertEquals(
                        202,
                        CourierHarness.send(client, CourierHarness.message("before" + made, "once"))
                                .status());
                rig.await(
                        "its end",
                        () -> rig.first.connections.size() == made && rig.first.connections.get(made - 1).ended);
            }
            final long courier = ProcessHandle.current()
                    .children()
                    .filter(ProcessHandle::isAlive)
                    .mapToLong(ProcessHandle::pid)
                    .max()
                    .orElseThrow();
            final int used = Path.of("/proc/" + courier + "/fd").toFile().list().length;
            limit(courier, Integer.toString(used));
            assertEquals(
                    202,
                    CourierHarness.send(client, CourierHarness.message("m1", "once"))
                            .status());
            // Its answer comes in a pass after the one that began the first message's call.
            assertEquals(
                    202,
                    CourierHarness.send(client, CourierHarness.message("m2", "once"))
                            .status());
            limit(courier, "4096");
            rig.await("the calls", () -> sawAt(rig.first, "m1") && sawAt(rig.first, "m2"));
            assertEquals(4, rig.first.requests.size());
            assertEquals(List.of(), rig.notices);
        }
    }

    private static void limit(final long process, final String descriptors) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("prlimit", "--pid", Long.toString(process), "--nofile=" + descriptors + ":")
                        .start()
                        .waitFor());
    }
}
