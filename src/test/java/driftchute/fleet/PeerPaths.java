package driftchute.fleet;

import driftchute.drill.Fault;
import driftchute.drill.UdpRelay;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The datagram paths between couriers: for each two of them one relay per direction, each with its own fault. */
final class PeerPaths implements AutoCloseable {
    private final List<InetSocketAddress> listen;
    /** By sender, then receiver; null on the diagonal. */
    private final UdpRelay[][] relays;

    /** Reserves the couriers' ports until they start, so that no relay or other process gets one of them. */
    private final List<DatagramSocket> held = new ArrayList<>();

    /** Paths between so many couriers, on ports chosen by the system. */
    PeerPaths(final int couriers, final long seed) throws IOException {
        for (int i = 0; i < couriers; i++) {
            held.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
        }
        listen = held.stream()
                .map(socket -> (InetSocketAddress) socket.getLocalSocketAddress())
                .toList();
        relays = new UdpRelay[couriers][couriers];
        for (int a = 0; a < couriers; a++) {
            for (int b = a + 1; b < couriers; b++) {
                final List<UdpRelay> pair = UdpRelay.pair(listen.get(a), listen.get(b), seed * 1009 + a * 31L + b);
                relays[a][b] = pair.get(0);
                relays[b][a] = pair.get(1);
            }
        }
    }

    /** Releases the couriers' ports, because they start now. */
    void release() {
        held.forEach(DatagramSocket::close);
    }

    /** The address at which that courier receives its peers' datagrams. */
    String listen(final int courier) {
        return "127.0.0.1:" + listen.get(courier).getPort();
    }

    /** The peers' addresses in that courier's configuration. */
    List<String> seenBy(final int courier) {
        final List<String> seen = new ArrayList<>();
        for (int peer = 0; peer < listen.size(); peer++) {
            seen.add("127.0.0.1:" + (peer == courier ? listen.get(peer).getPort() : relays[courier][peer].port()));
        }
        return seen;
    }

    /** Sets the fault of the datagrams from one courier to another. */
    void set(final int from, final int to, final Fault fault) {
        relays[from][to].set(fault);
    }

    /** Sets the fault of every path. */
    void setAll(final Fault fault) {
        for (final UdpRelay[] row : relays) {
            for (final UdpRelay relay : row) {
                if (relay != null) {
                    relay.set(fault);
                }
            }
        }
    }

    /** Partitions those couriers from the others, in both directions. */
    void cutOff(final List<Integer> some) {
        for (int from = 0; from < relays.length; from++) {
            for (int to = 0; to < relays.length; to++) {
                if (from != to && some.contains(from) != some.contains(to)) {
                    relays[from][to].set(Fault.parse("blackhole"));
                }
            }
        }
    }

    @Override
    public void close() {
        release();
        for (final UdpRelay[] row : relays) {
            for (final UdpRelay relay : row) {
                if (relay != null) {
                    relay.close();
                }
            }
        }
    }
}
