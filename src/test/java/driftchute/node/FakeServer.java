package driftchute.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;

/** A small HTTP server for tests, on a port chosen by the system: it records requests and answers by a script. */
public final class FakeServer implements AutoCloseable {
    /** A request that has arrived completely. */
    public record Request(String line, Map<String, String> headers, byte[] body, Connection connection, long atNs) {
        /** The body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** The value of a header, or null. */
        public String header(final String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** The requests received, in order. */
    public final List<Request> requests = new CopyOnWriteArrayList<>();

    final List<Connection> connections = new CopyOnWriteArrayList<>();
    private final int port;
    private final List<Socket> fillers = new CopyOnWriteArrayList<>();
    private volatile ServerSocket server;
    private Thread acceptor;
    private volatile BiConsumer<Request, Connection> script;

    /** Starts a server that handles each request by the script. */
    public FakeServer(final BiConsumer<Request, Connection> script) throws IOException {
        this.script = script;
        this.server = bind(0, 50);
        this.port = server.getLocalPort();
        this.acceptor = daemon(() -> accept(server));
    }

    private static ServerSocket bind(final int port, final int backlog) throws IOException {
        return new ServerSocket(port, backlog, InetAddress.getByName("127.0.0.1"));
    }

    /** Refuses new connections from now on; open ones stay. */
    public void refuse() throws IOException {
        server.close();
        try {
            // Its port is free once no thread waits in accept any more.
            acceptor.join();
        } catch (final InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** New connections are neither accepted nor refused from now on, because the accept queue is full. */
    public void ignore() throws IOException {
        refuse();
        server = bind(port, 1);
        for (int tries = 0; tries < 8; tries++) {
            final Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(server.getLocalSocketAddress(), 200);
            } catch (final SocketTimeoutException e) {
                return;
            }
        }
        throw new IllegalStateException("a full queue takes connections");
    }

    /** Accepts connections again. */
    public void listen() throws IOException {
        server.close();
        for (final Socket filler : fillers) {
            filler.close();
        }
        server = bind(port, 50);
        acceptor = daemon(() -> accept(server));
    }

    /** Sets the script for the requests from now on. */
    public void script(final BiConsumer<Request, Connection> next) {
        script = next;
    }

    /** The address as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    private static Thread daemon(final Runnable work) {
        final Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept(final ServerSocket server) {
        try {
            while (true) {
                final Connection connection = new Connection(server.accept());
                connections.add(connection);
                daemon(() -> serve(connection));
            }
        } catch (final IOException e) {
            assert server.isClosed();
        }
    }

    private void serve(final Connection connection) {
        try {
            final InputStream in = connection.socket.getInputStream();
            while (true) {
                final Request request = read(in, connection);
                if (request == null) {
                    break;
                }
                requests.add(request);
                script.accept(request, connection);
            }
        } catch (final IOException e) {
            connection.ended = true;
        }
        connection.ended = true;
    }

    private static Request read(final InputStream in, final Connection connection) throws IOException {
        final String line = line(in);
        if (line.isEmpty()) {
            return null;
        }
        final Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            final int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        final byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(line, headers, body, connection, System.nanoTime());
    }

    /** Reads a line without its end. */
    public static String line(final InputStream in) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.UTF_8).trim();
    }

    @Override
    public void close() throws IOException {
        server.close();
        connections.forEach(Connection::reset);
    }

    /** One connection made to it. */
    public static final class Connection {
        private final Socket socket;
        /** The peer has ended its sending side, or the connection is gone. */
        volatile boolean ended;

        Connection(final Socket socket) {
            this.socket = socket;
        }

        /** Sends an answer with a body. */
        public void answer(final int status, final String body, final String... headers) {
            final StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            for (final String header : headers) {
                head.append(header).append("\r\n");
            }
            write(head + "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
        }

        /** Sends text. */
        public void write(final String text) {
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            } catch (final IOException e) {
                ended = true;
            }
        }

        /** Sends a chunk of a chunked answer. */
        public void chunk(final String text) {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Ends the sending side. */
        void finish() {
            try {
                socket.shutdownOutput();
            } catch (final IOException e) {
                ended = true;
            }
        }

        /** The port of the peer's socket. */
        int otherPort() {
            return socket.getPort();
        }

        /** Resets the connection. */
        public void reset() {
            try {
                if (!socket.isClosed()) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
