package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that send invalid input, too much of it, or nothing: each gets an answer or is closed within three seconds.
 */
@Timeout(120)
final class BadClientTest {
    private static final double OWED_S = 3;

    @TempDir
    private Path folder;

    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        rig = new CourierHarness(folder);
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    /** All bytes that a connection sends until it ends. */
    private static String allOf(final Socket socket) throws IOException {
        try {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (final SocketException e) {
            return "reset";
        }
    }

    private String tell(final String raw) throws IOException {
        try (Socket socket = rig.connect()) {
            final long startNs = System.nanoTime();
            socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
            final String said = allOf(socket);
            final double seconds = (System.nanoTime() - startNs) / 1e9;
            assertTrue(seconds < OWED_S, "after " + seconds + " s");
            return said;
        }
    }

    private void assertOnlyGoodOneArrives() throws IOException {
        assertEquals(202, rig.submit("good", "safe").status());
        rig.await("the good one", () -> rig.first.requests.size() == 1);
        assertEquals("good", rig.first.requests.get(0).header("X-Request-ID"));
    }

    @Test
    void aSilentConnectionIsClosed() throws IOException {
        assertEquals("", tell(""));
    }

    @Test
    void anEndlessHeadIsRejected() throws IOException {
        assertTrue(tell("POST /safe HTTP/1.1\r\nHost: x\r\nX-").startsWith("HTTP/1.1 408"));
    }

    @Test
    void anIncompleteBodyIsRejectedOnAUsedConnectionToo() throws IOException {
        final String half = CourierHarness.message("half", "safe").replace("Length: 5", "Length: 50");
        final String said = tell("GET /up HTTP/1.1\r\nHost: x\r\n\r\n" + half);
        assertTrue(said.startsWith("HTTP/1.1 200") && said.contains("HTTP/1.1 408"), said);
        assertOnlyGoodOneArrives();
    }

    @Test
    void aRequestThatMaySmuggleAnotherIsRejectedWithAllAfterIt() throws IOException {
        final String hidden = CourierHarness.message("hidden", "safe");
        final String good = CourierHarness.message("outer", "safe");
        final List<String> bad = List.of(
                good.replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
                good.replace("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5"),
                good.replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"),
                good.replace("Content-Length: 5", "Content-Length: 5, 5"),
                good.replace("Content-Length: 5", "Content-Length: +5"),
                good.replace("Content-Length: 5", "Transfer-Encoding: xchunked"),
                good.replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: identity"),
                good.replace("Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n"),
                good.replace("dest=7", "dest=none"));
        for (final String raw : bad) {
            final String said = tell(raw + hidden);
            assertTrue(said.startsWith("HTTP/1.1 4") && said.indexOf("HTTP/1.1", 1) < 0, said + " for " + raw);
        }
        assertOnlyGoodOneArrives();
    }

    @Test
    void anImproperRequestIsRejectedAndNotSentOn() throws IOException {
        final String good = CourierHarness.message("improper", "safe");
        final List<String> bad = List.of(
                good.replace("HTTP/1.1", "HTTP/9.9"),
                good.replace("HTTP/1.1", "HTTP/1.0"),
                good.replace("POST /safe", "POST xsafe"),
                good.replace("Host: backend.local\r\n", ""),
                good.replace("Host: backend.local\r\n", "Host: a.local\r\nHost: b.local\r\n"));
        for (final String raw : bad) {
            final String said = tell(raw);
            assertTrue(said.startsWith("HTTP/1.1 4"), said + " for " + raw);
        }
        assertOnlyGoodOneArrives();
    }

    @Test
    void aMessageForAnUnknownDestinationIsRefused() throws IOException {
        assertTrue(tell(CourierHarness.message("m1", "safe").replace("dest=7", "dest=8"))
                .startsWith("HTTP/1.1 404"));
        rig.change(42, CourierHarness.host("e8", rig.first, "Ready").replace("\"block\":7", "\"block\":8"));
        rig.await("the new destination", () -> {
            try {
                return rig.send(CourierHarness.message("m" + System.nanoTime(), "safe")
                                        .replace("dest=7", "dest=8"))
                                .status()
                        == 202;
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void hundredsOfSilentConnectionsDoNotPreventARequest() throws IOException {
        final List<Socket> silent = new ArrayList<>();
        for (int count = 0; count < 600; count++) {
            silent.add(rig.connect());
        }
        assertEquals(202, rig.submit("good", "safe").status());
        // The clients' share of 1,024 descriptors: the connections beyond it were closed.
        int closed = 0;
        for (final Socket socket : silent) {
            socket.setSoTimeout(1);
            try {
                closed += socket.getInputStream().read() < 0 ? 1 : 0;
            } catch (final java.net.SocketTimeoutException e) {
                assertTrue(socket.isConnected());
            }
        }
        assertTrue(closed >= 150, "closed at once: " + closed);
        for (final Socket socket : silent) {
            socket.close();
        }
    }

    /**
     * Each request that was read must get its answer (STANDING.md). More than can be queued stay unread until their
     * turn.
     */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        final StringBuilder many = new StringBuilder();
        for (int count = 0; count < 300; count++) {
            many.append(CourierHarness.message("m" + count, "safe"));
        }
        many.append("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        final String said = tell(many.toString());
        final List<String> answers =
                List.of(said.substring("HTTP/1.1 ".length()).split("HTTP/1.1 "));
        assertEquals(301, answers.size(), said);
        assertTrue(answers.subList(0, 300).stream().allMatch(answer -> answer.matches("(?s)(202|429|503) .*")), said);
        assertTrue(answers.get(300).startsWith("200 ") && answers.get(300).contains("connection: close"), said);
    }

    /** A client that has sent its request may close its sending side; it still reads. */
    @Test
    void aClientThatEndsItsSendingSideIsAnswered() throws IOException {
        for (int count = 0; count < 20; count++) {
            try (Socket socket = rig.connect()) {
                socket.getOutputStream()
                        .write(CourierHarness.message("m" + count, "safe").getBytes(StandardCharsets.ISO_8859_1));
                socket.shutdownOutput();
                final String said = allOf(socket);
                assertTrue(said.startsWith("HTTP/1.1 202") || said.startsWith("HTTP/1.1 503"), "said: " + said);
            }
        }
    }

    /** A message's time runs from its sending: one that waited unread still ends in time. */
    @Test
    void theDeadlineAllowsForTimeAMessageWaitedUnread() {
        assertEquals(4_800_000, ClientRequest.deliveryTimeUs(5000, 12_000_000));
        assertEquals(11_800_000, ClientRequest.deliveryTimeUs(99_000, 12_000_000), "no longer than its class may take");
        assertEquals(
                300_000, ClientRequest.deliveryTimeUs(400, 12_000_000), "a short time is not used up by the margin");
        assertEquals(0, ClientRequest.deliveryTimeUs(0, 12_000_000));
    }

    @Test
    void aBodyFarTooLargeIsRejectedByItsHead() throws IOException {
        final String head = CourierHarness.message("m1", "safe")
                .replace("Length: 5", "Length: 60000000")
                .replace("hello", "");
        assertTrue(tell(head).startsWith("HTTP/1.1 413"));
    }

    /**
     * Too many connections, all stopped in the middle of a request: one that is still sending is not among those
     * closed.
     */
    @Test
    void stalledRequestsDoNotDisplaceASlowOne() throws IOException, InterruptedException {
        rig.kill();
        rig.sockets = 100;
        rig.start();
        final byte[] message = CourierHarness.message("slow", "safe").getBytes(StandardCharsets.ISO_8859_1);
        final List<Socket> crowd = new ArrayList<>();
        try (Socket slow = rig.connect()) {
            for (int sent = 0; sent < message.length; sent++) {
                slow.getOutputStream().write(message[sent]);
                final Socket stopped = rig.connect();
                crowd.add(stopped);
                stopped.getOutputStream().write("POST /safe HTT".getBytes(StandardCharsets.ISO_8859_1));
                // Its answer shows that the event loop has read what was written before.
                assertEquals(
                        200,
                        rig.send("GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                                .status());
            }
            assertEquals(202, CourierHarness.read(slow.getInputStream()).status());
        } finally {
            for (final Socket socket : crowd) {
                socket.close();
            }
        }
    }
}
