package driftchute.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that sends requests one behind the other at full speed on one connection, and reads and discards the answers.
 * When the connection ends it opens the next one.
 */
final class FloodingClient implements AutoCloseable {
    private static final int REQUESTS_PER_WRITE = 200;
    private static final int TIMEOUT_MS = (int) TimeUnit.SECONDS.toMillis(2);

    /** What it sends; {@code $N} stands for a number that is never used twice. */
    enum Kind {
        /** The smallest sound request. */
        PROBES("GET /up HTTP/1.1\r\n\r\n"),
        /** A class that does not exist. */
        UNKNOWN_CLASSES("POST /class$N HTTP/1.1\r\nHost: x\r\nX-Request-ID: flood$N\r\nContent-Length: 0\r\n\r\n"),
        /** A header field of a message is missing. */
        MISSING_FIELDS("POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: flood$N\r\nContent-Length: 0\r\n\r\n"),
        /** Destinations that do not exist. */
        UNKNOWN_DESTINATIONS(message("flood$N", "dest=1$N")),
        /** Lines that are no HTTP. */
        NOISE("noise$N\r\n\r\n"),
        /** Small messages, each with a long id that is new. */
        MESSAGES(message("flood$N" + "x".repeat(100), "dest=" + Fleet.BLOCK)),
        /** One message again and again. */
        REPEATED_MESSAGES(message("flood", "dest=" + Fleet.BLOCK)),
        /** Empty lines. */
        EMPTY_LINES("\r\n\r\n\r\n\r\n"),
        /** A body in one-byte chunks that never ends. */
        TINY_CHUNKS("POST /safe HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(2000));

        private final String text;

        Kind(final String text) {
            this.text = text;
        }

        private static String message(final String id, final String destination) {
            return "POST /safe HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                    + "\r\nX-Priority-Class: safe\r\nX-Timeout-Ms: 7900\r\n" + "X-Consignee: " + destination
                    + "\r\nContent-Length: 0\r\n\r\n";
        }
    }

    private final int port;
    private final Kind kind;
    private final AtomicLong sentRequests = new AtomicLong();
    private final Thread thread = new Thread(this::run, "flood");
    private volatile boolean over;

    FloodingClient(final int port, final Kind kind) {
        this.port = port;
        this.kind = kind;
    }

    void start() {
        thread.start();
    }

    long sentRequests() {
        return sentRequests.get();
    }

    private void run() {
        while (!over) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(TIMEOUT_MS);
                final Thread reader = new Thread(() -> discard(socket), "flood-answers");
                reader.start();
                flood(socket);
                reader.join();
            } catch (final IOException e) {
                // Refused or reset: the next connection goes on.
                continue;
            } catch (final InterruptedException e) {
                return;
            }
        }
    }

    private void flood(final Socket socket) {
        try {
            while (!over) {
                final StringBuilder batch = new StringBuilder();
                for (int count = 0; count < REQUESTS_PER_WRITE; count++) {
                    batch.append(kind.text.replace("$N", Long.toString(sentRequests.incrementAndGet())));
                }
                socket.getOutputStream().write(batch.toString().getBytes(StandardCharsets.ISO_8859_1));
            }
            socket.shutdownOutput();
        } catch (final IOException e) {
            // The courier has closed the connection.
            return;
        }
    }

    private static void discard(final Socket socket) {
        final byte[] bytes = new byte[1 << 16];
        try (InputStream in = socket.getInputStream()) {
            while (in.read(bytes) >= 0) {
                continue;
            }
        } catch (final IOException e) {
            // Nothing more comes.
            return;
        }
    }

    @Override
    public void close() {
        over = true;
        try {
            thread.join();
        } catch (final InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
