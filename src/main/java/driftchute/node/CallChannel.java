package driftchute.node;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A connection for calls that can be asked for a stale check. The event loop learns of what has come only in its next
 * turn; a call that is written in this one could meet the endpoint's close, or bytes that are no answer to it.
 */
final class CallChannel extends NioSocketChannel {
    /**
     * True if the other side has closed the connection, or bytes of it lie unread: then the connection is of no more use,
     * for one of them may be consumed by this. Only between two calls; on the event loop's thread.
     */
    boolean isStale() {
        try {
            return !isActive() || javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (final IOException e) {
            // A reset lay there.
            return true;
        }
    }
}
