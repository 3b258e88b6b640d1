package driftchute.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** A port that a test reserves for a courier is given to nobody else meanwhile. */
final class ReservedPortTest {

    @Test
    void aListenerThatMayReuseAddressesGetsItAgainAndAgain() throws IOException {
        try (ReservedPort reserved = new ReservedPort()) {
            for (int start = 0; start < 3; start++) {
                try (ServerSocket listener = new ServerSocket()) {
                    listener.setReuseAddress(true);
                    listener.bind(at(reserved.number()));
                    assertThat(listener.getLocalPort()).isEqualTo(reserved.number());
                }
            }
        }
    }

    @Test
    void aReservedPortIsGivenToNobodyElse() throws IOException {
        try (ReservedPort reserved = new ReservedPort();
                ServerSocket other = new ServerSocket()) {
            other.setReuseAddress(false);
            assertThatThrownBy(() -> other.bind(at(reserved.number()))).isInstanceOf(BindException.class);
        }
    }

    @Test
    void thePeersPortsAreReservedUntilTheyAreReleased() throws IOException {
        try (PeerPaths paths = new PeerPaths(2, 1)) {
            final int port = Integer.parseInt(paths.listen(0).replaceFirst(".*:", ""));
            assertThatThrownBy(() -> new DatagramSocket(at(port)).close()).isInstanceOf(BindException.class);
            paths.release();
            new DatagramSocket(at(port)).close();
        }
    }

    private static InetSocketAddress at(final int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
