package driftchute.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A TCP port chosen by the system on which a courier listens later, and again after each restart. Until {@link #close},
 * a socket that never listens stays bound to it, so that the system gives it to nobody who asks for any port. A
 * listener that may reuse addresses, like a courier's, can bind it nevertheless.
 */
final class ReservedPort implements AutoCloseable {
    private final Socket holder = new Socket();

    ReservedPort() throws IOException {
        holder.setReuseAddress(true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    int number() {
        return holder.getLocalPort();
    }

    @Override
    public void close() {
        try {
            holder.close();
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
