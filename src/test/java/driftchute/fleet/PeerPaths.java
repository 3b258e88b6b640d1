package driftchute.fleet;

import driftchute.drill.Fault;
import driftchute.drill.UdpRelay;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The datagram paths between couriers: for each two of them a relay in each direction, with a fault of its own. */
final class PeerPaths implements AutoCloseable {
    private final List<InetSocketAddress> listen;
    /** By sender, then receiver; null on the diagonal. */
    private final UdpRelay[][] relays;

    PeerPaths(final List<String> peers, final long seed) throws IOException {
        listen = peers.stream().map(text -> new InetSocketAddress(InetAddress.getLoopbackAddress(),
                Integer.parseInt(text.substring(text.indexOf(':') + 1)))).toList();
        relays = new UdpRelay[peers.size()][peers.size()];
        for (int a = 0; a < peers.size(); a++) {
            for (int b = a + 1; b < peers.size(); b++) {
                final List<UdpRelay> pair = UdpRelay.pair(listen.get(a), listen.get(b), seed * 1009 + a * 31L + b);
                relays[a][b] = pair.get(0);
                relays[b][a] = pair.get(1);
            }
        }
    }

    /** So many addresses for peers that nothing listens on now. */
    static List<String> ports(final int count) throws IOException {
        final List<String> ports = new ArrayList<>();
        final List<DatagramSocket> held = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final DatagramSocket probe = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            held.add(probe);
            ports.add("127.0.0.1:" + probe.getLocalPort());
        }
        held.forEach(DatagramSocket::close);
        return ports;
    }

    /** The peers' addresses as that courier has them in its configuration. */
    List<String> seenBy(final int courier) {
        final List<String> seen = new ArrayList<>();
        for (int peer = 0; peer < listen.size(); peer++) {
            seen.add("127.0.0.1:" + (peer == courier ? listen.get(peer).getPort() : relays[courier][peer].port()));
        }
        return seen;
    }

    /** What becomes of that courier's datagrams to that other one. */
    void set(final int from, final int to, final Fault fault) {
        relays[from][to].set(fault);
    }

    /** The same on every path. */
    void setAll(final Fault fault) {
        for (final UdpRelay[] row : relays) {
            for (final UdpRelay relay : row) {
                if (relay != null) {
                    relay.set(fault);
                }
            }
        }
    }

    /** Nothing passes between those couriers and the rest, in either direction. */
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
        for (final UdpRelay[] row : relays) {
            for (final UdpRelay relay : row) {
                if (relay != null) {
                    relay.close();
                }
            }
        }
    }
}
