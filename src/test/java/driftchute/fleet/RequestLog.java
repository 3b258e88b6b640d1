package driftchute.fleet;

import driftchute.node.FakeServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The clients' view: each submitted request, its courier, and how it ended. */
final class RequestLog {
    /** One request; {@code status} is 0 if the connection ended without an answer. */
    record Seen(String id, String kind, String courier, int status, long sentNs, long endNs) {
        boolean takenOn() {
            return status == 200 || status == 202;
        }
    }

    final List<Seen> seen = new CopyOnWriteArrayList<>();

    /**
     * Submits one message on its own connection, as in PROTOCOL-irishead.md, section Clients to couriers. If the
     * courier refuses the connection, the status is -1: nothing was sent.
     */
    Seen submit(final CourierProcess courier, final String id, final String kind) {
        final long sentNs = System.nanoTime();
        int status;
        try (Socket socket = new Socket("127.0.0.1", courier.port)) {
            socket.setSoTimeout((int) java.util.concurrent.TimeUnit.SECONDS.toMillis(Fleet.PATIENCE_S));
            write(socket, id, kind);
            status = statusOf(FakeServer.line(socket.getInputStream()));
        } catch (final java.net.ConnectException e) {
            status = -1;
        } catch (final IOException e) {
            status = 0;
        }
        final Seen one = new Seen(id, kind, courier.name, status, sentNs, System.nanoTime());
        seen.add(one);
        return one;
    }

    /** Writes one message to an open connection. */
    static void write(final Socket socket, final String id, final String kind) throws IOException {
        final String body = "body of " + id;
        socket.getOutputStream()
                .write(("POST /" + kind + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id
                                + "\r\nX-Priority-Class: " + kind + "\r\nX-Timeout-Ms: 6000\r\nX-Consignee: dest="
                                + Fleet.BLOCK
                                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The status of an answer's status line; 0 if there is none. */
    static int statusOf(final String line) {
        final String[] words = line.split(" ");
        return words.length > 1 && line.startsWith("HTTP/1.1") ? Integer.parseInt(words[1]) : 0;
    }
}
