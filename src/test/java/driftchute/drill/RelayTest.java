package driftchute.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The relays apply their faults, and an invalid fault line is refused with a reason. */
final class RelayTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @Test
    void tcpForwardsThenResetsThenBlackholes() throws IOException {
        try (ServerSocket echo = new ServerSocket(0, 5, LOOPBACK);
                TcpRelay relay = new TcpRelay(new InetSocketAddress(LOOPBACK, echo.getLocalPort()), 1)) {
            final Thread server = new Thread(() -> {
                try (Socket one = echo.accept()) {
                    one.getOutputStream().write(one.getInputStream().read());
                    one.getInputStream().read();
                } catch (final IOException e) {
                    // The reset also reaches the server.
                }
            });
            server.setDaemon(true);
            server.start();
            try (Socket client = connect(relay)) {
                client.getOutputStream().write(42);
                assertEquals(42, client.getInputStream().read());
                relay.set(Fault.parse("reset"));
                assertThrows(IOException.class, () -> client.getInputStream().read());
            }
            relay.set(Fault.parse("blackhole"));
            try (Socket client = connect(relay)) {
                client.getOutputStream().write(1);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> client.getInputStream().read());
            }
        }
    }

    @Test
    void udpLosesAllUnderFullLossDuplicatesAndRespectsAPartition() throws IOException {
        try (DatagramSocket receiver = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
                DatagramSocket sender = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
                UdpRelay relay = new UdpRelay((InetSocketAddress) receiver.getLocalSocketAddress(), 1)) {
            receiver.setSoTimeout(300);
            final InetSocketAddress to = new InetSocketAddress(LOOPBACK, relay.port());
            relay.set(Fault.parse("duplicate 1"));
            sender.send(new DatagramPacket(new byte[] {7}, 1, to));
            assertEquals(7, receive(receiver));
            assertEquals(7, receive(receiver));
            relay.set(Fault.parse("loss 1"));
            sender.send(new DatagramPacket(new byte[] {8}, 1, to));
            assertThrows(SocketTimeoutException.class, () -> receive(receiver));
            relay.set(Fault.PASS);
            relay.partition(Set.of(sender.getLocalSocketAddress()));
            sender.send(new DatagramPacket(new byte[] {9}, 1, to));
            assertThrows(SocketTimeoutException.class, () -> receive(receiver));
            relay.heal();
            sender.send(new DatagramPacket(new byte[] {10}, 1, to));
            assertEquals(10, receive(receiver));
        }
    }

    @Test
    void invalidFaultLinesAreRefusedWithAReason() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Fault.parse("melt"))
                .getMessage()
                .contains("no such fault"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Fault.parse("loss 2"))
                .getMessage()
                .contains("fraction 0 to 1"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Fault.parse("delay"))
                .getMessage()
                .contains("one figure"));
    }

    private static Socket connect(final TcpRelay relay) throws IOException {
        final String[] at = relay.address().split(":");
        final Socket socket = new Socket(at[0], Integer.parseInt(at[1]));
        socket.setSoTimeout(300);
        return socket;
    }

    private static int receive(final DatagramSocket socket) throws IOException {
        final DatagramPacket in = new DatagramPacket(new byte[16], 16);
        socket.receive(in);
        return in.getData()[0];
    }
}
