package driftchute.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * A fake server over real sockets, on the event loop under test: everything it does is finished and read before the
 * loop's clock advances.
 */
final class FakeServerOnLoop {
    /** One connection made to it. */
    final class Peer extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder received = new StringBuilder();
        private Channel channel;

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            channel = ctx.channel();
            peers.add(this);
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final ByteBuf bytes) {
            received.append(bytes.toString(StandardCharsets.UTF_8));
            for (int end = end(); end >= 0; end = end()) {
                final String request = received.substring(0, end);
                received.delete(0, end);
                requests.add(request);
                script.accept(request, this);
            }
        }

        /** End of the first request including its body, or -1. */
        private int end() {
            final int head = received.indexOf("\r\n\r\n");
            final int at = received.indexOf("content-length: ");
            final int length = head < 0 || at < 0 || at > head
                    ? 0
                    : Integer.parseInt(received.substring(at + 16, received.indexOf("\r\n", at)));
            return head < 0 || received.length() < head + 4 + length ? -1 : head + 4 + length;
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            ctx.close();
        }

        boolean isOpen() {
            return channel.isOpen();
        }

        void write(final String text) {
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        }

        void head() {
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void chunk(final String text) {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Writes the text now and at that interval while the connection is open. */
        void repeat(final String text, final long everyMs) {
            if (isOpen()) {
                chunk(text);
                loop.mine().schedule(() -> repeat(text, everyMs), everyMs, TimeUnit.MILLISECONDS);
            }
        }

        void reset() {
            if (isOpen()) {
                ((SocketChannel) channel).config().setSoLinger(0);
                channel.close();
            }
        }
    }

    final List<Peer> peers = new ArrayList<>();
    final List<String> requests = new ArrayList<>();
    private final SteppedLoop loop;
    private final BiConsumer<String, Peer> script;
    private InetSocketAddress address = new InetSocketAddress("127.0.0.1", 0);
    private Channel listener;

    FakeServerOnLoop(final SteppedLoop loop, final BiConsumer<String, Peer> script) {
        this.loop = loop;
        this.script = script;
        listen();
    }

    InetSocketAddress address() {
        return address;
    }

    long open() {
        return peers.stream().filter(Peer::isOpen).count();
    }

    /** Starts to listen, always on the same port. */
    void listen() {
        listener = new ServerBootstrap()
                .group(loop.mine())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel fresh) {
                        fresh.pipeline().addLast(new Peer());
                    }
                })
                .bind(address)
                .channel();
        loop.settle();
        address = (InetSocketAddress) listener.localAddress();
    }

    /** Refuses new connections from now on; open ones stay. */
    void refuse() {
        listener.close();
    }
}
