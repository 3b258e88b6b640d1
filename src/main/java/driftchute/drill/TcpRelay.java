package driftchute.drill;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP relay on loopback that forwards each connection to one address and applies a {@link Fault} to it: delay,
 * dropped bytes, reset, black hole (connections stay open and silent) or half-close (the answer direction ends). It
 * uses blocking sockets and two threads per connection, for drills and tests with a few hundred connections.
 */
public final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;
    private final ServerSocket server;
    private final InetSocketAddress to;
    private final Random random;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private volatile Fault fault = Fault.PASS;

    /**
     * Listens on a loopback port chosen by the system.
     *
     * @param to the address that all connections are forwarded to
     * @param seed selects what a fraction affects
     * @throws IOException if it cannot listen
     */
    public TcpRelay(final InetSocketAddress to, final long seed) throws IOException {
        this.to = to;
        this.random = new Random(seed);
        this.server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        daemon("accept", this::accept);
    }

    /** The address of the relay, as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /**
     * Sets the fault for everything that passes from now on. {@link Fault.Kind#RESET} also resets the open connections
     * at once.
     */
    public void set(final Fault next) {
        fault = next;
        if (next.kind() == Fault.Kind.RESET) {
            open.forEach(TcpRelay::reset);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                final Socket client = server.accept();
                if (fault.kind() == Fault.Kind.RESET) {
                    reset(client);
                    continue;
                }
                final Socket upstream = new Socket();
                open.add(client);
                open.add(upstream);
                daemon("connect", () -> join(client, upstream));
            } catch (final IOException e) {
                return;
            }
        }
    }

    private void join(final Socket client, final Socket upstream) {
        try {
            upstream.connect(to, (int) TimeUnit.SECONDS.toMillis(5));
        } catch (final IOException e) {
            reset(client);
            return;
        }
        daemon("up", () -> pump(client, upstream, false));
        pump(upstream, client, true);
    }

    /** Copies one direction until it ends. {@code answers}: the direction towards the connecting side. */
    private void pump(final Socket from, final Socket into, final boolean answers) {
        final byte[] buffer = new byte[BUFFER_BYTES];
        try {
            final InputStream in = from.getInputStream();
            final OutputStream out = into.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                final Fault now = fault;
                switch (now.kind()) {
                    case BLACKHOLE -> {
                        continue;
                    }
                    case DELAY -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(now.delayMs()));
                    case DROP -> {
                        if (strikes(now)) {
                            continue;
                        }
                    }
                    case HALFCLOSE -> {
                        if (answers) {
                            into.shutdownOutput();
                            return;
                        }
                    }
                    default -> {}
                }
                out.write(buffer, 0, n);
            }
            into.shutdownOutput();
        } catch (final IOException e) {
            reset(into);
        } finally {
            open.remove(from);
        }
    }

    private boolean strikes(final Fault now) {
        synchronized (random) {
            return random.nextDouble() < now.fraction();
        }
    }

    static void daemon(final String name, final Runnable work) {
        final Thread thread = new Thread(work, "relay-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void reset(final Socket socket) {
        try {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (final IOException e) {
            // The socket is already closed.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        open.forEach(TcpRelay::reset);
    }
}
