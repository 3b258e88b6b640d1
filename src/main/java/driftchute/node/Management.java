package driftchute.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * The management address for the operators: each connection carries one command line and gets one line that begins with
 * OK or ERR. It has its own thread, so that an answer waits neither for the event loop that serves messages nor for
 * callers that send nothing.
 */
final class Management {
    private static final int MAX_LINE_BYTES = 256;
    /** Time within which a caller must have sent a complete line. */
    private static final long COMMAND_TIMEOUT_MS = 5000;

    private static final long LINGER_MS = 500;
    /**
     * Maximum number of callers as a share of the descriptors, with a lower bound. Beyond it the caller that has waited
     * longest is closed.
     */
    private static final double SOCKET_SHARE = 0.05;

    private static final int MIN_CALLERS = 8;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final OperatorOrders orders;
    private final BooleanSupplier isServing;
    private final Predicate<String> wasListed;
    private final int maxCallers;
    private final Set<Channel> callers = new LinkedHashSet<>();

    /**
     * {@code serves}: whether this process can serve. {@code listed}: whether the list has named that endpoint. Both
     * are called on this class's own thread.
     */
    Management(
            final Config config,
            final OperatorOrders orders,
            final BooleanSupplier serves,
            final Predicate<String> listed) {
        this.orders = orders;
        this.isServing = serves;
        this.wasListed = listed;
        this.maxCallers = (int) Math.max(MIN_CALLERS, SOCKET_SHARE * config.sockets());
    }

    ChannelFuture listen(final Config config) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), new CallerConnection());
                    }
                })
                .bind(config.mgmt());
    }

    /** Executes a command line and returns the answer. */
    private String execute(final String line) {
        final String[] words = line.trim().split("\\s+");
        final boolean takesEndpoint = words[0].equals("set-down") || words[0].equals("set-up");
        if (words.length != (takesEndpoint ? 2 : 1)) {
            return takesEndpoint ? "ERR " + words[0] + " takes one endpoint's id" : "ERR unknown call";
        }
        try {
            return switch (words[0]) {
                case "check" -> isServing.getAsBoolean() ? "OK" : "ERR not ready to serve";
                case "set-down" -> setDown(words[1]);
                case "set-up" -> setUp(words[1]);
                case "drain-on" -> drain(true);
                case "drain-off" -> drain(false);
                default -> "ERR unknown call";
            };
        } catch (final IOException e) {
            Log.info("orders: cannot store '" + line + "': " + e.getMessage());
            return "ERR the order cannot be kept: " + e.getClass().getSimpleName();
        }
    }

    private String setDown(final String endpoint) throws IOException {
        if (!isKnownEndpoint(endpoint)) {
            return "ERR no such endpoint was ever listed";
        }
        orders.change(state -> state.withDisabled(endpoint));
        Log.info("orders: " + endpoint + " is left out");
        return "OK " + endpoint + " is left out";
    }

    private String setUp(final String endpoint) throws IOException {
        if (!isKnownEndpoint(endpoint)) {
            return "ERR no such endpoint was ever listed";
        }
        orders.change(state -> state.withEnabled(endpoint));
        Log.info("orders: " + endpoint + " is used again");
        return "OK " + endpoint + " is used again";
    }

    /** A disabled endpoint was listed once, possibly before this process started. */
    private boolean isKnownEndpoint(final String endpoint) {
        return wasListed.test(endpoint) || orders.current().disabledEndpoints().contains(endpoint);
    }

    private String drain(final boolean on) throws IOException {
        orders.change(state -> state.withDraining(on));
        Log.info(on ? "orders: drain" : "orders: end of the drain");
        return on ? "OK draining" : "OK serving";
    }

    /** The connection of one caller. */
    private final class CallerConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private boolean answered;

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            callers.add(ctx.channel());
            if (callers.size() > maxCallers) {
                callers.iterator().next().close();
            }
            ctx.executor().schedule(() -> answer(ctx, "ERR no call came"), COMMAND_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            callers.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final ByteBuf line) {
            // Further input is read and discarded, because a reset could overtake the answer.
            if (!answered) {
                answer(ctx, execute(line.toString(StandardCharsets.UTF_8)));
            }
        }

        @Override
        public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE) {
                answer(ctx, "ERR no whole line came");
            }
        }

        private void answer(final ChannelHandlerContext ctx, final String text) {
            if (answered || !ctx.channel().isActive()) {
                return;
            }
            answered = true;
            ctx.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8))
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            ((SocketChannel) ctx.channel()).shutdownOutput();
                        }
                        ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
                    });
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                answer(ctx, "ERR the line is too long");
                return;
            }
            if (!(cause instanceof IOException)) {
                Log.failure("connection to the management address", cause);
            }
            ctx.close();
        }
    }
}
