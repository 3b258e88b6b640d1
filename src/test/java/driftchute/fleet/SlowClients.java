package driftchute.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A crowd of clients that each send the beginning of something and then stop, slowly or at once. One that is closed
 * connects again. They read nothing.
 */
final class SlowClients implements AutoCloseable {
    private static final int HEAD_BYTES = 8000;
    private static final int BODY_BYTES = 65_536;
    private static final long PAUSE_MS = 10;

    /** What each of them sends, and how many bytes at a time. */
    enum Kind {
        /** A head of very many short fields that does not end. */
        SHORT_FIELDS(request("", shortFields()), HEAD_BYTES),
        /** As many bytes in few long fields. */
        LONG_FIELDS(request("", ("a:" + "x".repeat(1500) + "\r\n").repeat(5)), HEAD_BYTES),
        /** A field that does not end. */
        UNFINISHED_FIELD(request("", "a:" + "x".repeat(7000)), HEAD_BYTES),
        /** A head of very many short fields with its end, and a body that does not come. */
        SHORT_FIELDS_BEFORE_A_BODY(request("Content-Length: 5\r\n", shortFields() + "\r\n"), HEAD_BYTES),
        /** A chunked body with very many short trailer fields that do not end. */
        SHORT_TRAILERS(request("Transfer-Encoding: chunked\r\n", "\r\n1\r\nx\r\n0\r\n" + shortFields()), HEAD_BYTES),
        /** Nearly all of the largest body, and no more. */
        MOST_OF_A_BODY(
                request("Content-Length: " + BODY_BYTES + "\r\n", "\r\n" + "x".repeat(BODY_BYTES - 1)), BODY_BYTES),
        /** A large body in one-byte chunks. */
        TINY_CHUNKS(
                request("Transfer-Encoding: chunked\r\n", "\r\n" + "1\r\nx\r\n".repeat(BODY_BYTES / 6)), BODY_BYTES),
        /** A large body, some bytes at a time. */
        SLOW_BODY(request("Content-Length: " + BODY_BYTES + "\r\n", "\r\n" + "x".repeat(BODY_BYTES - 1)), 400),
        /** Whole requests with many short fields one behind the other, whose answers stay unread. */
        UNREAD_ANSWERS(("GET /up HTTP/1.1\r\nHost: x\r\n" + "a:\r\n".repeat(40) + "\r\n").repeat(2000), BODY_BYTES);

        private final byte[] bytes;
        private final int bytesPerWrite;

        Kind(final String text, final int bytesPerWrite) {
            this.bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            this.bytesPerWrite = bytesPerWrite;
        }

        private static String request(final String framing, final String rest) {
            return "POST /safe HTTP/1.1\r\nHost: x\r\nX-Priority-Class: safe\r\nX-Timeout-Ms: 6000\r\n" + framing
                    + rest;
        }

        private static String shortFields() {
            return "a:\r\n".repeat((HEAD_BYTES - 200) / 4);
        }
    }

    /** One client: its connection, and what it has not sent yet. */
    private static final class Client {
        private SocketChannel channel;
        private ByteBuffer unsent;
    }

    private final InetSocketAddress address;
    private final Kind kind;
    private final List<Client> clients = new ArrayList<>();
    private final Thread thread = new Thread(this::run, "slow-clients");
    private volatile boolean over;

    SlowClients(final int port, final Kind kind, final int count) {
        this.address = new InetSocketAddress("127.0.0.1", port);
        this.kind = kind;
        for (int number = 0; number < count; number++) {
            clients.add(new Client());
        }
    }

    void start() {
        thread.start();
    }

    private void run() {
        while (!over) {
            clients.forEach(this::step);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MS));
        }
        clients.forEach(SlowClients::disconnect);
    }

    private void step(final Client client) {
        try {
            if (client.channel == null) {
                client.channel = SocketChannel.open(address);
                client.channel.configureBlocking(false);
                client.unsent = ByteBuffer.wrap(kind.bytes);
            }
            if (isEnded(client.channel)) {
                disconnect(client);
                return;
            }
            final int position = client.unsent.position();
            client.unsent.limit(Math.min(kind.bytes.length, position + kind.bytesPerWrite));
            client.channel.write(client.unsent);
        } catch (final IOException e) {
            disconnect(client);
        }
    }

    private boolean isEnded(final SocketChannel channel) throws IOException {
        return kind != Kind.UNREAD_ANSWERS && channel.read(ByteBuffer.allocate(1024)) < 0;
    }

    private static void disconnect(final Client client) {
        try {
            if (client.channel != null) {
                client.channel.close();
            }
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
        client.channel = null;
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
