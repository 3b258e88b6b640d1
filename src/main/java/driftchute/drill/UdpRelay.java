package driftchute.drill;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A UDP relay on loopback in front of one receiver: datagrams sent to it reach {@code to} from the relay's address, or
 * are lost, duplicated, reordered or delayed by its {@link Fault}. Datagrams of partitioned senders are dropped. The
 * protocol allows datagrams of up to 256 bytes (PROTOCOL-irishead.md, section Between couriers); longer ones are
 * forwarded unchanged, for the receiver to reject.
 */
public final class UdpRelay implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    private final DatagramSocket socket;
    /** The socket that it sends from: its own, or that of the other relay of a pair. */
    private final DatagramSocket outgoing;

    private final InetSocketAddress to;
    private final Random random;
    private final Set<SocketAddress> partitioned = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(work -> {
        final Thread thread = new Thread(work, "relay-later");
        thread.setDaemon(true);
        return thread;
    });
    private volatile Fault fault = Fault.PASS;
    /** The datagram held back until after the next one, if it is being reordered. */
    private DatagramPacket held;

    /**
     * Listens on a loopback port chosen by the system.
     *
     * @throws IOException if it cannot listen
     */
    public UdpRelay(final InetSocketAddress to, final long seed) throws IOException {
        this(to, seed, socket(), null);
    }

    private UdpRelay(
            final InetSocketAddress to, final long seed, final DatagramSocket socket, final DatagramSocket exit) {
        this.to = to;
        this.random = new Random(seed);
        this.socket = socket;
        this.outgoing = exit == null ? socket : exit;
        TcpRelay.daemon("udp", this::carry);
    }

    private static DatagramSocket socket() throws IOException {
        return new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /**
     * The path between two couriers, with one relay per direction: the first forwards what {@code a} sends to {@code
     * b}, from the second's address, and vice versa. So each courier's datagrams come from the address by which the
     * other knows it (PROTOCOL-irishead.md, Between couriers), and each direction has its own fault.
     *
     * @throws IOException if they cannot listen
     */
    public static List<UdpRelay> pair(final InetSocketAddress a, final InetSocketAddress b, final long seed)
            throws IOException {
        final DatagramSocket facesA = socket();
        final DatagramSocket facesB = socket();
        return List.of(new UdpRelay(b, seed, facesA, facesB), new UdpRelay(a, seed + 1, facesB, facesA));
    }

    /** The relay's port on loopback. */
    public int port() {
        return socket.getLocalPort();
    }

    /** Sets the fault for everything that passes from now on. */
    public void set(final Fault next) {
        fault = next;
    }

    /** Drops datagrams from these senders until {@link #heal()}. */
    public void partition(final Set<? extends SocketAddress> senders) {
        partitioned.addAll(senders);
    }

    /** Ends all partitions. */
    public void heal() {
        partitioned.clear();
    }

    private void carry() {
        while (!socket.isClosed()) {
            final DatagramPacket in = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
            try {
                socket.receive(in);
            } catch (final IOException e) {
                return;
            }
            if (!partitioned.contains(in.getSocketAddress())) {
                pass(new DatagramPacket(in.getData(), in.getLength(), to));
            }
        }
    }

    private void pass(final DatagramPacket out) {
        final Fault now = fault;
        final boolean strikes = random.nextDouble() < now.fraction();
        switch (now.kind()) {
            case LOSS, DROP, BLACKHOLE -> {
                if (strikes || now.kind() == Fault.Kind.BLACKHOLE) {
                    return;
                }
            }
            case DUPLICATE -> {
                if (strikes) {
                    send(out);
                }
            }
            case REORDER -> {
                if (strikes && held == null) {
                    held = out;
                    return;
                }
            }
            case DELAY -> {
                scheduler.schedule(() -> send(out), now.delayMs(), TimeUnit.MILLISECONDS);
                return;
            }
            default -> {}
        }
        send(out);
        if (held != null) {
            send(held);
            held = null;
        }
    }

    private void send(final DatagramPacket out) {
        try {
            outgoing.send(out);
        } catch (final IOException e) {
            // Datagrams may be lost.
        }
    }

    @Override
    public void close() {
        socket.close();
        scheduler.shutdownNow();
    }
}
