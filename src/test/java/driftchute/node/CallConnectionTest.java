package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A connection to an endpoint between its first packet and the last byte of its call. */
@Timeout(120)
final class CallConnectionTest {
    private static final long NEVER_US = 100_000_000;
    private static final long SHORT_US = 2_000_000;
    /**
     * More than the system buffers for one connection whose peer does not read: up to 4 MB, depending on its settings.
     */
    private static final int MESSAGES = 64;

    private static final int BODY_BYTES = 1 << 16;
    /** The bodies are in Base64. */
    private static final long CALL_BYTES = MESSAGES * (BODY_BYTES * 4L / 3);

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

    // ---------------------------------------------------------------- before a call's first byte

    /**
     * The endpoint acts on a new connection before the call is written: it is not written, not executed, and sent
     * again.
     */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "FIN", "RST"})
    void aNewConnectionIsNotUsedAfterTheEndpointSentBytesOrClosed(final String word) throws Exception {
        courier.start();
        courier.onLoop(() -> {
            courier.offer("m1", "once");
            courier.then(() -> {
                ServiceOnLoop.block(() -> rig.first.connections.size() == 1);
                final FakeServer.Connection fresh = rig.first.connections.get(0);
                switch (word) {
                    case "FIN" -> fresh.finish();
                    case "RST" -> fresh.reset();
                    default -> fresh.write(word);
                }
                ServiceOnLoop.block(() -> ServiceOnLoop.hasArrived(word, rig.first, fresh));
            });
            return null;
        });
        final FakeServer.Connection used = courier.call(0).connection();
        assertNotSame(rig.first.connections.get(0), used);
        rig.await("its delivery", () -> courier.isOver("m1"));
        assertEquals(List.of(), rig.notices);
        assertEquals(1, rig.first.requests.size());
    }

    /** The message's deadline passes, then its connection comes up, in one turn: nothing is written any more. */
    @Test
    void nothingIsWrittenAfterTheDeadline() throws Exception {
        courier.start();
        courier.onLoop(() -> {
            courier.offer("m1", "once", SHORT_US, new byte[] {1});
            final long endUs = courier.clock.nowUs() + SHORT_US;
            courier.then(() ->
                    ServiceOnLoop.block(() -> courier.clock.nowUs() >= endUs && !rig.first.connections.isEmpty()));
            return null;
        });
        rig.await("its end", () -> !rig.notices.isEmpty());
        assertTrue(rig.noticed("m1", "deferred"), "it has surely not run: " + rig.notices);
        rig.await("the end of its connection", () -> rig.first.connections.get(0).ended);
        assertEquals(0, rig.first.requests.size());
    }

    /**
     * The connect time-out passes, then the connection comes up, in one turn: it is not used, and the message is sent
     * once.
     */
    @Test
    void aConnectionThatComesUpAtItsTimeOutIsNotUsed() throws Exception {
        // The system repeats the connection request after a second.
        final long connectTimeoutUs = 800_000;
        rig.connectTimeoutUs = connectTimeoutUs;
        courier.start();
        rig.first.ignore();
        final AtomicLong calledUs = new AtomicLong();
        courier.onLoop(() -> {
            courier.offer("m1", "once");
            courier.then(() -> calledUs.set(courier.clock.nowUs()));
            return null;
        });
        rig.await("the connect", () -> ServiceOnLoop.connecting(rig.first) == 1);
        final long dueUs = calledUs.get() + connectTimeoutUs;
        courier.at(dueUs - 100_000, () -> ServiceOnLoop.block(() -> courier.clock.nowUs() > dueUs));
        courier.at(dueUs - 50_000, () -> ServiceOnLoop.block(() -> !rig.first.connections.isEmpty()));
        rig.first.listen();
        final FakeServer.Connection used = courier.call(0).connection();
        assertNotSame(rig.first.connections.get(0), used);
        rig.await("its delivery", () -> courier.isOver("m1"));
        rig.await("the end of the late one", () -> rig.first.connections.get(0).ended);
        assertEquals(1, rig.first.requests.size());
        assertEquals(List.of(), rig.notices);
    }

    // ---------------------------------------------------------------- changed address

    /** Announces that the first endpoint is now at the second one's address, and waits until that has been read. */
    private void move() {
        courier.announceChange(43, "moved", CourierHarness.host("e1", rig.second, "Ready"));
    }

    /**
     * A call is written completely, then the address changes: its answer counts, and its connection is not used again.
     */
    @Test
    void aConnectionToAFormerAddressIsNotKept() throws Exception {
        rig.first.script((request, connection) -> {});
        courier.start();
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        final FakeServer.Connection connection = courier.call(0).connection();
        move();
        connection.answer(200, "");
        rig.await("its delivery", () -> courier.isOver("m1"));
        courier.onLoop(() -> {
            courier.blockForRest();
            courier.offer("m2", "once");
            return null;
        });
        rig.await("the next call", () -> calls() == 2);
        assertEquals(1, rig.second.requests.size());
        rig.await("the end of the connection", () -> connection.ended);
        assertEquals(List.of(), rig.notices);
    }

    /** A call is connecting when the address changes: it goes to the new address. */
    @Test
    void aCallConnectingToAFormerAddressGoesToTheNewOne() throws Exception {
        rig.connectTimeoutUs = NEVER_US;
        courier.start();
        rig.first.ignore();
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        rig.await("the connect", () -> ServiceOnLoop.connecting(rig.first) == 1);
        move();
        rig.first.listen();
        rig.await("the call", () -> calls() == 1);
        assertEquals(1, rig.second.requests.size());
        rig.await("its delivery", () -> courier.isOver("m1"));
    }

    // ---------------------------------------------------------------- handover

    /**
     * The handover precedes the answer: the answer counts, and the connection is closed because it has no further use.
     */
    @Test
    void aConnectionIsNotKeptAfterTheHandover() throws Exception {
        rig.first.script((request, connection) -> {});
        // Far longer than the test, so that the sweep of idle connections does not end this one.
        courier.start(text -> text.replace("\"idle_close\":10000000", "\"idle_close\":" + NEVER_US));
        courier.offerSoon("m1", "once", ServiceOnLoop.LIFE_US);
        final FakeServer.Connection connection = courier.call(0).connection();
        courier.onLoop(() -> {
            courier.host.handOver();
            return null;
        });
        connection.answer(200, "");
        rig.await("its delivery", () -> courier.isOver("m1"));
        rig.await("the end of its connection", () -> connection.ended);
    }

    // ---------------------------------------------------------------- before a call's last byte

    /** An endpoint that reads only when told to. */
    private ServerSocket lazy() throws Exception {
        final ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(1 << 16);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        server.setSoTimeout((int) TimeUnit.SECONDS.toMillis(CourierHarness.PATIENCE_S));
        rig.hosts = CourierHarness.host("e1", "127.0.0.1:" + server.getLocalPort(), "Ready");
        rig.maxOpen = MESSAGES * 3 / 2;
        rig.diskMb = 30;
        courier.start(text -> text.replace("\"per_call\":[5]", "\"per_call\":[" + MESSAGES + "]"));
        return server;
    }

    /** Submits so much for one call that the system does not take all of it; returns its connection. */
    private Socket writeInPart(final ServerSocket server) throws Exception {
        courier.onLoop(() -> {
            IntStream.range(0, MESSAGES)
                    .forEach(
                            number -> courier.offer("m" + number, "once", ServiceOnLoop.LIFE_US, new byte[BODY_BYTES]));
            return null;
        });
        final Socket connection = server.accept();
        rig.await(
                "the call's first bytes",
                () -> courier.isOnLoop(() -> courier.journaled("m0").isInFlight()));
        assertTrue(
                courier.isOnLoop(() -> courier.journaled("m" + (MESSAGES - 1)).isInFlight()), "one call for all");
        return connection;
    }

    /** None of the messages was executed: each is sent again on the next connection, and none has a notice. */
    private void assertThatNoneHasRun(final ServerSocket server) throws Exception {
        server.accept().close();
        assertTrue(courier.isOnLoop(() -> courier.journal.openMessages().size() == MESSAGES
                && courier.journal.openMessages().stream()
                        .allMatch(held -> held.firstExecutionWallUs() == JournaledMessage.NEVER)));
        assertEquals(List.of(), rig.notices);
    }

    /** A reset arrives before the last byte: whatever the system took before, the call was not executed. */
    @Test
    void aCallResetBeforeItsLastByteWasNotExecuted() throws Exception {
        try (ServerSocket server = lazy()) {
            final Socket connection = writeInPart(server);
            final long taken = ServiceOnLoop.queued(server.getLocalPort());
            assertTrue(taken > 0 && taken < CALL_BYTES, "the system holds " + taken);
            connection.setSoLinger(true, 0);
            connection.close();
            assertThatNoneHasRun(server);
        }
    }

    /** A complete answer arrives before the call's last byte, in one turn: it answers no call, so it delivers none. */
    @Test
    void anAnswerBeforeTheLastByteIsIgnored() throws Exception {
        final String states = IntStream.range(0, MESSAGES)
                .mapToObj(number -> "{\"id\":\"m" + number + "\",\"state\":\"accepted\"}")
                .collect(Collectors.joining(",", "[", "]"));
        final String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + states.length() + "\r\n\r\n" + states;
        try (ServerSocket server = lazy();
                Socket connection = writeInPart(server)) {
            final long taken = courier.onLoop(() -> {
                connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                ServiceOnLoop.block(
                        () -> ServiceOnLoop.hasArrived("an answer", server.getLocalPort(), connection.getPort()));
                long bytes = 0;
                while (ServiceOnLoop.queued(server.getLocalPort()) > 0) {
                    bytes += connection
                            .getInputStream()
                            .readNBytes(connection.getInputStream().available())
                            .length;
                }
                return bytes;
            });
            assertTrue(taken > 0 && taken < CALL_BYTES, "the system held " + taken);
            final Thread reader = new Thread(() -> {
                try {
                    connection.getInputStream().skip(Long.MAX_VALUE);
                } catch (final IOException e) {
                    assertFalse(connection.isClosed(), e.toString());
                }
            });
            reader.setDaemon(true);
            reader.start();
            assertThatNoneHasRun(server);
        }
    }
}
