package driftchute.node;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import jdk.net.ExtendedSocketOptions;

/**
 * A connection for calls to an endpoint, or for notices, that supports a stale check. The event loop notices what has
 * arrived only in its next turn; a call written in this turn could meet the peer's close, or bytes that do not answer it.
 */
final class EndpointChannel extends NioSocketChannel {
    /**
     * Rest of a connection between an answer and its next call, us. Bytes that belong to no call may still arrive right
     * after an answer.
     */
    static final long REST_US = 5_000;

    /**
     * True if the peer has closed the connection or unread bytes have arrived. The connection is unusable then, because
     * this check may consume one byte. Only before the last byte of a call, on the event loop's thread.
     */
    boolean isStale() {
        try {
            return !isActive() || javaChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (final IOException e) {
            // A reset had arrived.
            return true;
        }
    }

    /**
     * Acknowledges at once what has been read. Otherwise the system may do so up to 0.2 s later or with the next call,
     * and for so long the peer's system holds back bytes behind an answer (Nagle's algorithm). Released by the next call,
     * they would arrive as its answer.
     */
    void acknowledgeNow() {
        if (!javaChannel().supportedOptions().contains(ExtendedSocketOptions.TCP_QUICKACK)) {
            return;
        }
        try {
            javaChannel().setOption(ExtendedSocketOptions.TCP_QUICKACK, true);
        } catch (final IOException | UnsupportedOperationException e) {
            // The connection has ended, which its next use notices, or the system refuses the option.
            return;
        }
    }

    /**
     * Reads and handles what has arrived before the event loop's next turn would. Only on the event loop's thread, and
     * not while this connection is being read.
     */
    void readNow() {
        if (isActive()) {
            unsafe().read();
        }
    }

    /**
     * Writes a call, or the rest of it, unless the peer has closed or sent bytes before the call's last byte, which
     * cannot be an answer (PROTOCOL-irishead.md: an endpoint starts a call once its last byte has arrived). In that
     * case the write fails and the connection is closed.
     */
    @Override
    protected void doWrite(final ChannelOutboundBuffer call) throws Exception {
        if (isStale()) {
            throw new IOException("the peer closed the connection or sent bytes before the last byte of the call");
        }
        super.doWrite(call);
    }
}
