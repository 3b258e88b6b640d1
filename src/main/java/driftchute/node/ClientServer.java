package driftchute.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * The HTTP server for clients. A message that is accepted is answered in the pass of the event loop that read it. A
 * request that cannot be read or used is answered with a 4xx status and not accepted. Every request gets an answer.
 */
final class ClientServer {
    /** Share of the courier's memory for all requests that are being received or queued. */
    private static final double REQUEST_MEMORY_SHARE = 0.02;
    /** A client that has sent nothing for so long is the first whose incomplete request is refused for memory, us. */
    private static final long SILENT_US = 200_000;
    /** Maximum size of one read from a connection, bytes, so that a client that floods does not delay the others. */
    static final int MAX_READ_BYTES = 1 << 13;
    /** Size of the send buffer, bytes. A larger one would long hide that a client does not read its answers. */
    private static final int SEND_BUFFER_BYTES = 1 << 16;

    /** Maximum size of answers that a connection's send buffer did not take before it stops being served, bytes. */
    private static final int MAX_UNSENT_BYTES = 1 << 14;

    private static final int BACKLOG = 256;
    /**
     * Maximum time for a request to arrive completely, for a new connection to begin one, and for a client to read its
     * answers. A client waits 400 ms for an answer (PROTOCOL-irishead.md, Clients to couriers).
     */
    private static final long REQUEST_TIMEOUT_US = 2_000_000;
    /** Idle time-out of a connection between requests, normally and when there are many connections. */
    private static final long IDLE_TIMEOUT_US = 10_000_000;

    private static final long CROWDED_IDLE_TIMEOUT_US = 2_100_000;
    private static final double CROWDED_SHARE = 0.5;
    /** Interval of the log line about connections closed for lack of capacity. */
    private static final long CROWDED_LOG_INTERVAL_US = 5_000_000;
    /** Idle time-out during a drain. A courier may not close a connection sooner (TERMS-irishead.md). */
    private static final long DRAIN_IDLE_TIMEOUT_US = 2_000_000;
    /** Time after the beginning of an operator's drain or an upgrade at which all idle connections are closed. */
    private static final long DRAIN_CLOSE_ALL_US = 1_500_000;

    private static final long SWEEP_INTERVAL_MS = 200;
    /** Delay before accepting again after no descriptor was available. */
    private static final long ACCEPT_PAUSE_MS = 50;
    /**
     * Delay after which the event loop has polled its sockets once more, so that a deregistered listener is released.
     */
    private static final long DEREGISTER_DELAY_MS = 2;
    /** Share of the descriptors for client connections. */
    private static final double SOCKET_SHARE = 0.4;
    /** The same for connections whose requests are refused because there are too many. */
    private static final double REFUSED_SOCKET_SHARE = 0.05;

    private static final double HANDOVER_REFUSED_SOCKET_SHARE = 0.02;
    /**
     * The share of a process that is being replaced: its successor has the full share for clients, and each of the two
     * has a fifth for calls ({@link DeliveryService}). Together they stay within the courier's sockets (DEPLOY-irishead.md).
     */
    private static final double HANDOVER_SOCKET_SHARE = 0.15;

    private final Config config;
    private final Clock clock;
    private final DeliveryService host;
    private final OperatorOrders orders;
    private int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    private final RequestBuffers buffers;
    private int reservedIds;

    private TurnQueue turns;
    private ServerSocketChannel listenerSocket;
    private Channel listener;
    /** When an operator's drain was first noticed; {@code Long.MAX_VALUE} without a drain. */
    private long drainedSinceUs = Long.MAX_VALUE;

    private boolean stopping;
    /** When the process began to stop without a successor; {@code Long.MIN_VALUE} while it is running. */
    private long stoppingSinceUs = Long.MIN_VALUE;
    /** True while another process replaces this one. The courier as a whole stays up. */
    private boolean handingOver;
    /**
     * Connections closed for lack of capacity since the last log line, by usefulness, and when the next line may be
     * written.
     */
    private final int[] closedForCapacity = new int[ClientConnection.IN_USE + 1];

    private long connectionNumber;
    private int slowRequests;
    private int acceptFailures;
    private long capacityLoggedUs;

    ClientServer(final Config config, final Clock clock, final DeliveryService host, final OperatorOrders orders) {
        this.config = config;
        this.clock = clock;
        this.host = host;
        this.orders = orders;
        this.buffers = new RequestBuffers((long) (REQUEST_MEMORY_SHARE * config.memoryBytes()));
        // Not halved while two processes share the descriptors: clients may use a third of them, and may all connect at
        // once.
        this.maxConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
    }

    Clock clock() {
        return clock;
    }

    DeliveryService host() {
        return host;
    }

    TurnQueue turns() {
        return turns;
    }

    RequestBuffers buffers() {
        return buffers;
    }

    /** When the process began to stop without a successor; {@code Long.MIN_VALUE} while it is running. */
    long stoppingSinceUs() {
        return stoppingSinceUs;
    }

    /** The number of a new connection, from 1. */
    long nextConnectionNumber() {
        return ++connectionNumber;
    }

    /** A connection was accepted; another may have to be closed for it. */
    void add(final ClientConnection connection) {
        connections.add(connection);
        enforceMaxConnections(connection);
    }

    /**
     * Refuses incomplete requests of other clients until all together take no more memory than allowed: those that
     * stopped first, then the largest. Returns false if there is no other to refuse.
     */
    boolean freeRequestMemory(final ClientConnection requester) {
        final long silentBeforeUs = clock.nowUs() - SILENT_US;
        while (buffers.isExceeded()) {
            final Optional<ClientConnection> largest = connections.stream()
                    .filter(ClientConnection::isOnlyReceiving)
                    .max(Comparator.comparing(
                                    (ClientConnection connection) -> connection.silentSinceUs() < silentBeforeUs)
                            .thenComparingInt(ClientConnection::reservedBytes));
            if (largest.isEmpty() || largest.get() == requester) {
                return false;
            }
            largest.get().reject(HttpResponseStatus.SERVICE_UNAVAILABLE, ClientEvent.REFUSED_NO_MEMORY);
        }
        return true;
    }

    /** A connection was closed. */
    void remove(final ClientConnection connection) {
        connections.remove(connection);
    }

    /** Listens on the configured address. {@code /up} is answered from then on. */
    ChannelFuture listen(final EventLoopGroup group, final EventLoop loop) throws IOException {
        turns = new TurnQueue(loop, clock);
        listenerSocket = ServerSocketChannel.open();
        // The next process of this courier listens beside this one before this one stops.
        listenerSocket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        final ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channelFactory(() -> new NioServerSocketChannel(listenerSocket))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .handler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
                        acceptFailed(cause);
                    }
                })
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MAX_READ_BYTES / 16, MAX_READ_BYTES / 8, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        new ClientConnection(ClientServer.this).addTo(channel);
                    }
                })
                .bind(config.listen());
        listener = bound.channel();
        return bound;
    }

    /** The address that it actually listens on. */
    String address() {
        return listener.localAddress().toString().replaceFirst(".*/", "");
    }

    /**
     * Begins to stop without a successor: from now on each connection is closed after its answer. Clients continue to
     * use the connections they have, so an idle one is closed only after another 2 s (docs/restart-connections.md).
     */
    void drain() {
        stopping = true;
        stoppingSinceUs = clock.nowUs();
    }

    /**
     * Begins to hand over to another process: from now on each connection is closed after its answer, and idle
     * connections are closed gradually.
     */
    void handOver() {
        stopping = true;
        handingOver = true;
        maxConnections = (int) Math.max(1, HANDOVER_SOCKET_SHARE * config.sockets());
        while (connections.size() > maxServedConnections() && dropLeastUseful(null)) {
            // Connections in use stay open: there are no more of them than clients, and clients move to the next
            // process one by one.
            continue;
        }
    }

    /**
     * Closes the listener without resetting connections in its accept queue. Netty's close takes effect only when the
     * event loop polls its sockets again, so the listener is deregistered first; then the connections in the queue are
     * accepted directly and the listener is closed immediately afterwards.
     */
    void closeListener() {
        final EventLoop loop = listener.eventLoop();
        listener.deregister()
                .addListener(
                        done -> loop.schedule(this::acceptQueuedAndClose, DEREGISTER_DELAY_MS, TimeUnit.MILLISECONDS));
    }

    private void acceptQueuedAndClose() {
        try (ServerSocketChannel closing = listenerSocket) {
            for (java.nio.channels.SocketChannel next = closing.accept(); next != null; next = closing.accept()) {
                listener.pipeline().fireChannelRead(new NioSocketChannel(listener, next));
            }
        } catch (final IOException e) {
            Log.info("the queued connections could not be accepted: " + e.getMessage());
        }
        listener.close();
        Log.event("listener_closed");
    }

    /** True if the listener is closed and no client is connected. */
    boolean isEmpty() {
        return connections.isEmpty() && !listener.isOpen();
    }

    /** The answer of {@code /up}: whether this courier, by any of its processes, accepts new clients. */
    boolean isUp() {
        return handingOver ? !orders.current().draining() : !isDraining();
    }

    /** True while the process is stopping or the operators have ordered a drain. */
    boolean isDraining() {
        return stopping || orders.current().draining();
    }

    /**
     * Ends the remaining connections before the process ends. A request that is still being received is refused, so
     * that it has its final answer and may be sent elsewhere. Idle connections are closed. Connections that are closing
     * or being answered end by themselves.
     */
    void endConnections() {
        int idle = 0;
        int incomplete = 0;
        for (final ClientConnection connection : List.copyOf(connections)) {
            final boolean wasIdle = connection.isIdle();
            // Requests that were not submitted yet, or arrive meanwhile, are answered, but it is too late to accept
            // them.
            connection.refuseRequests();
            if (wasIdle) {
                connection.readPending();
            }
            if (connection.isIdle()) {
                connection.closeIdle(ClientEvent.CLOSED_AT_EXIT);
                idle++;
            } else if (connection.isReceiving()) {
                connection.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, ClientEvent.CLOSED_AT_EXIT);
                incomplete++;
            }
        }
        if (idle + incomplete > 0) {
            Log.event(
                    "hung_up",
                    "msg",
                    "before exit: closed " + idle + " idle connections, refused " + incomplete + " incomplete requests",
                    "idle",
                    idle,
                    "incomplete",
                    incomplete);
        }
    }

    /** Closes idle and stalled connections, and answers requests that do not arrive completely in time. */
    void sweep() {
        final long nowUs = clock.nowUs();
        drainedSinceUs = isDraining() ? Math.min(drainedSinceUs, nowUs) : Long.MAX_VALUE;
        final long idleUs = idleTimeoutUs(nowUs);
        logClosedConnections(nowUs);
        host.events().logCounts(nowUs, this::memoryUse);
        reservedIds = host.removeExpiredIds();
        for (final ClientConnection connection : List.copyOf(connections)) {
            connection.observeProgress();
            if (connection.isReceivingSince(nowUs - REQUEST_TIMEOUT_US)) {
                slowRequests++;
                connection.reject(HttpResponseStatus.REQUEST_TIMEOUT, ClientEvent.REJECTED_TOO_SLOW);
            } else if (connection.isStalledSince(nowUs - REQUEST_TIMEOUT_US)) {
                connection.closeNow(ClientEvent.CLOSED_NOT_READING);
            } else if (connection.isIdle()
                    && connection.idleSinceUs() <= nowUs - (connection.isTrusted() ? idleUs : REQUEST_TIMEOUT_US)) {
                connection.readPending();
                if (connection.isIdle()) {
                    connection.closeIdle(ClientEvent.CLOSED_IDLE);
                }
            }
        }
    }

    private RequestMemoryUse memoryUse() {
        return new RequestMemoryUse(
                connections.size(),
                connections.stream().filter(ClientConnection::isReceiving).count(),
                buffers.usedBytes(),
                reservedIds);
    }

    private void logClosedConnections(final long nowUs) {
        if (nowUs - capacityLoggedUs < CROWDED_LOG_INTERVAL_US
                || slowRequests + acceptFailures == 0
                        && IntStream.of(closedForCapacity).sum() == 0) {
            return;
        }
        Log.info("of " + maxConnections + " client connections at most, closed for lack of capacity: "
                + closedForCapacity[0]
                + " rejected, " + closedForCapacity[1] + " without any request, " + closedForCapacity[2]
                + " with an incomplete request, "
                + closedForCapacity[3]
                + " idle, " + closedForCapacity[ClientConnection.IN_USE] + " new; rejected as too slow: " + slowRequests
                + "; failed to accept: " + acceptFailures);
        Arrays.fill(closedForCapacity, 0);
        slowRequests = 0;
        acceptFailures = 0;
        capacityLoggedUs = nowUs;
    }

    /** Present idle time-out. */
    private long idleTimeoutUs(final long nowUs) {
        if (stoppingSinceUs != Long.MIN_VALUE) {
            return DRAIN_IDLE_TIMEOUT_US;
        }
        if (drainedSinceUs != Long.MAX_VALUE) {
            return nowUs - drainedSinceUs >= DRAIN_CLOSE_ALL_US ? 0 : DRAIN_IDLE_TIMEOUT_US;
        }
        return connections.size() > CROWDED_SHARE * maxConnections ? CROWDED_IDLE_TIMEOUT_US : IDLE_TIMEOUT_US;
    }

    /**
     * Closes a connection if there are too many: first rejected ones, then those that never sent a request, then those
     * with an incomplete request (the one silent longest first), then those idle for long. Otherwise the requests of the
     * newest are refused, or it is closed if there are too many of these as well.
     */
    private void enforceMaxConnections(final ClientConnection newest) {
        if (connections.size() <= maxServedConnections() || dropLeastUseful(newest)) {
            return;
        }
        if (connections.size() <= maxServedConnections() + maxRefusedConnections()) {
            newest.refuseRequests();
        } else {
            drop(newest);
        }
    }

    /** While two processes share the descriptors, those whose requests are refused are a part of the maximum. */
    private int maxServedConnections() {
        return Math.max(1, host.sharesDescriptors() ? maxConnections - maxRefusedConnections() : maxConnections);
    }

    private int maxRefusedConnections() {
        final double share = host.sharesDescriptors() ? HANDOVER_REFUSED_SOCKET_SHARE : REFUSED_SOCKET_SHARE;
        return (int) (share * config.sockets());
    }

    /**
     * Closes the least useful connection. Returns false if all are in use, possibly by a request that had not been read
     * yet.
     */
    private boolean dropLeastUseful(final ClientConnection newest) {
        for (Optional<ClientConnection> least = findLeastUseful(newest);
                least.isPresent();
                least = findLeastUseful(newest)) {
            final boolean wasIdle = least.get().isIdle();
            if (wasIdle) {
                least.get().readPending();
            }
            if (least.get().isIdle() == wasIdle) {
                drop(least.get());
                return true;
            }
        }
        return false;
    }

    /** The connection whose close does the least harm, if one is not in use. Never {@code newest}. */
    private Optional<ClientConnection> findLeastUseful(final ClientConnection newest) {
        final long idleBeforeUs = clock.nowUs() - CROWDED_IDLE_TIMEOUT_US;
        return connections.stream()
                .filter(connection ->
                        connection != newest && connection.usefulness(idleBeforeUs) < ClientConnection.IN_USE)
                .min(Comparator.comparingInt((ClientConnection connection) -> connection.usefulness(idleBeforeUs))
                        .thenComparingLong(ClientConnection::silentSinceUs));
    }

    private void drop(final ClientConnection least) {
        closedForCapacity[least.usefulness(clock.nowUs() - CROWDED_IDLE_TIMEOUT_US)]++;
        least.closeNow(ClientEvent.CLOSED_FOR_CAPACITY);
    }

    /**
     * Handles a failed accept for lack of a descriptor; the connection stays in the accept queue. If a connection can
     * be closed, the next turn accepts; otherwise accepting is retried soon. Netty would pause for 1 s, longer than a
     * client waits for its answer.
     */
    private void acceptFailed(final Throwable cause) {
        if (!dropLeastUseful(null)) {
            listener.config().setAutoRead(false);
            listener.eventLoop()
                    .schedule(
                            () -> {
                                if (listener.isRegistered()) {
                                    listener.config().setAutoRead(true);
                                }
                            },
                            ACCEPT_PAUSE_MS,
                            TimeUnit.MILLISECONDS);
        }
        if (acceptFailures++ == 0) {
            Log.info("a connection could not be accepted: " + cause.getMessage());
        }
    }
}
