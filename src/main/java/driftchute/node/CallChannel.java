package driftchute.node;

import io.netty.channel.ChannelOutboundBuffer;
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
     * for one of them may be consumed by this. Only before the last byte of a call; on the event loop's thread.
     */
    boolean isStale() {
        try {
            return !isActive() || javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (final IOException e) {
            // A reset lay there.
            return true;
        }
    }

    /**
     * Reads what has come by now, and lets it be handled, before the loop's next turn would. On the event loop's thread,
     * and not while this connection is being read.
     */
    void readNow() {
        if (isActive()) {
            unsafe().read();
        }
    }

    /**
     * Writes a call, or what is left of it, unless the other side has closed or spoken before its last byte: that is no
     * answer to it (PROTOCOL-irishead.md: an endpoint starts a call once its last byte has arrived). Such a write fails,
     * and closes the connection.
     */
    @Override
    protected void doWrite(final ChannelOutboundBuffer call) throws Exception {
        if (isStale()) {
            throw new IOException("closed, or spoken on, before the last byte of a call");
        }
        super.doWrite(call);
    }
}
