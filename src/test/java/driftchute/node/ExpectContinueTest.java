package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients that send a body only after 100 Continue, before and after an earlier request's answer or the connection's
 * end.
 */
@Timeout(120)
final class ExpectContinueTest {
    private static final String EXPECT = "Expect: 100-continue\r\nContent-Length:";

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

    private static String head(final String id) {
        final String message = CourierHarness.message(id, "safe").replace("Content-Length:", EXPECT);
        return message.substring(0, message.length() - "hello".length());
    }

    private static void write(final Socket socket, final String raw) throws IOException {
        socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static int status(final Socket socket) throws IOException {
        return CourierHarness.read(socket.getInputStream()).status();
    }

    @Test
    void aQueuedRequestGets100ContinueAfterThePreviousAnswer() throws IOException {
        try (Socket socket = rig.connect()) {
            write(socket, CourierHarness.message("first", "safe") + head("second"));
            assertEquals(202, status(socket));
            assertEquals(100, status(socket));
            write(socket, "hello" + head("third"));
            assertEquals(202, status(socket));
            assertEquals(100, status(socket));
            write(socket, "hello");
            assertEquals(202, status(socket));
        }
        rig.await("the calls", () -> rig.first.requests.size() == 3);
    }

    /** The body comes without waiting, which is allowed: then no 100 Continue is needed. */
    @Test
    void aBodyThatDoesNotWaitIsAnsweredInOrder() throws IOException {
        try (Socket socket = rig.connect()) {
            write(socket, CourierHarness.message("first", "safe") + head("second") + "hello");
            assertEquals(202, status(socket));
            assertEquals(202, status(socket));
        }
    }

    @Test
    void aRequestRejectedByItsHeadGetsNo100Continue() throws IOException {
        try (Socket socket = rig.connect()) {
            write(socket, head("large").replace("Length: 5", "Length: 60000000"));
            assertEquals(413, status(socket));
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** It waits for its turn when the request before it ends the connection. */
    @Test
    void aRequestAfterARefusedOneIsRefused() throws IOException {
        try (Socket socket = rig.connect()) {
            write(socket, CourierHarness.message("no", "safe").replace("dest=7", "dest=8") + head("second"));
            assertEquals(404, status(socket));
            assertEquals(100, status(socket));
            write(socket, "hello");
            assertEquals(503, status(socket));
            assertEquals(-1, socket.getInputStream().read());
        }
    }
}
