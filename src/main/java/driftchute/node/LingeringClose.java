package driftchute.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Lingering close (RFC 9112, 9.6): closing a socket with unread bytes resets the connection, and the reset can overtake
 * the last answer. So the sending side is closed first, and a bounded amount of input is read and discarded.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** Duration of the linger. A client waits 400 ms for an answer (PROTOCOL-irishead.md, Clients to couriers). */
    private static final long LINGER_MS = 500;
    /**
     * Maximum input that is discarded, bytes. If a client sends more, reading stops and its connection is reset at the
     * end.
     */
    private static final int MAX_DISCARDED_BYTES = 1 << 18;

    private final ChannelFuture lastWritten;
    private int discardedBytes;

    private LingeringClose(final ChannelFuture lastWritten) {
        this.lastWritten = lastWritten;
    }

    /** Closes the connection after its last bytes have been written. From now on its input is discarded. */
    static void after(final ChannelFuture lastWritten) {
        final var channel = lastWritten.channel();
        channel.pipeline().addFirst(new LingeringClose(lastWritten));
        channel.config().setAutoRead(true);
        lastWritten.addListener(done -> {
            if (!done.isSuccess() || !(channel instanceof SocketChannel socket) || socket.isInputShutdown()) {
                channel.close();
                return;
            }
            socket.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        });
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object part) {
        if (part instanceof ByteBuf bytes) {
            discardedBytes += bytes.readableBytes();
        }
        ReferenceCountUtil.release(part);
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE && lastWritten.isDone()) {
            context.close();
        }
    }
}
