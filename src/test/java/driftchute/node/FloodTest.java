package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
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
 * Clients that send far more behind a last answer than is read: they get their answer or are closed, and do not delay
 * the others.
 */
@Timeout(120)
final class FloodTest {
    private static final int LARGE = 60_000_000;
    private static final byte[] SOME = "y".repeat(1 << 16).getBytes(StandardCharsets.ISO_8859_1);

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

    private static byte[] large() {
        return CourierHarness.message("large", "safe")
                .replace("Length: 5", "Length: " + LARGE)
                .replace("hello", "")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends everything unless the connection ends earlier; true if it did. */
    private static boolean isEndedWhileSending(final Socket socket) {
        try {
            final OutputStream out = socket.getOutputStream();
            out.write(large());
            for (int sent = 0; sent < LARGE; sent += SOME.length) {
                out.write(SOME);
            }
            return false;
        } catch (final IOException e) {
            return true;
        }
    }

    @Test
    void aFloodingClientThatReadsIsAnsweredAndThenClosed() throws Exception {
        try (Socket socket = rig.connect()) {
            final Thread sender = new Thread(() -> isEndedWhileSending(socket));
            sender.start();
            assertEquals(413, CourierHarness.read(socket.getInputStream()).status());
            sender.join();
        }
        assertEquals(202, rig.submit("good", "safe").status());
    }

    @Test
    void aFloodingClientThatReadsOnlyAfterwardsIsClosed() throws IOException {
        try (Socket socket = rig.connect()) {
            final boolean ended = isEndedWhileSending(socket);
            try {
                assertEquals(413, CourierHarness.read(socket.getInputStream()).status());
            } catch (final SocketException e) {
                assertTrue(ended);
            }
        }
    }

    @Test
    void floodingClientsDoNotPreventAnotherFromBeingServed() throws IOException {
        final List<Socket> gone = new ArrayList<>();
        for (int count = 0; count < 50; count++) {
            final Socket socket = rig.connect();
            gone.add(socket);
            final OutputStream out = socket.getOutputStream();
            if (count % 2 == 0) {
                out.write(large());
            }
            out.write(SOME);
            socket.setSoLinger(count % 3 == 0, 0);
            socket.close();
        }
        assertEquals(50, gone.size());
        assertEquals(202, rig.submit("good", "safe").status());
        rig.await("the good one", () -> rig.first.requests.size() == 1);
        assertEquals("good", rig.first.requests.get(0).header("X-Request-ID"));
    }
}
