package driftchute.node;

import driftchute.Courier;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * The HTTP server for clients. A message that is accepted is answered in the pass of the event loop that read it. A
 * request that cannot be read or used is answered with a 4xx status and not accepted. Every request gets an answer.
 */
final class ClientServer {
    static final int TOO_MANY_REQUESTS = 429;
    static final int UNAVAILABLE = 503;
    private static final int ACCEPTED = 202;
    private static final int INTERNAL_ERROR = 500;
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int MAX_ID_CHARS = 128;
    /** Maximum number of complete requests queued on one connection. Further requests stay unread until then. */
    private static final int MAX_QUEUED_REQUESTS = 16;
    /** Maximum size of all bodies that are being received or queued, over all connections, bytes. */
    private static final int MAX_BUFFERED_BODY_BYTES = 1 << 22;
    /** Maximum size of one read from a connection, bytes, so that a client that floods does not delay the others. */
    private static final int MAX_READ_BYTES = 1 << 14;
    /** Size of the send buffer, bytes. A larger one would long hide that a client does not read its answers. */
    private static final int SEND_BUFFER_BYTES = 1 << 16;

    private static final int BACKLOG = 256;
    private static final long US_PER_MS = 1000;
    private static final double US_PER_SECOND = 1_000_000;
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
    /** Time that a request may have waited unread, beyond the tolerance for late answers. */
    private static final long UNREAD_MARGIN_US = 200_000;

    private static final long REFUSED_RETRY_AFTER_US = 500_000;
    /** Time after a message's deadline in which its id is not accepted again. Its last call is over by then. */
    private static final long ID_RESERVED_US = 1_000_000;
    /** Share of the descriptors for client connections. */
    private static final double SOCKET_SHARE = 0.4;
    /**
     * The same for a process that is being replaced: its successor has the full share for clients, and each of the two
     * has a fifth for calls ({@link DeliveryService}). Together they stay within the courier's sockets (DEPLOY-irishead.md).
     */
    private static final double HANDOVER_SOCKET_SHARE = 0.15;

    private final Config config;
    private final Clock clock;
    private final DeliveryService host;
    private final OperatorOrders orders;
    private int maxConnections;
    private final Set<ClientConnection> connections = new HashSet<>();
    /** Ids of accepted messages, with the time until which each is not accepted again. */
    private final Map<String, Long> idReservedUntilUs = new HashMap<>();

    private int bufferedBodyBytes;
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

    private int slowRequests;
    private int acceptFailures;
    private long capacityLoggedUs;

    ClientServer(final Config config, final Clock clock, final DeliveryService host, final OperatorOrders orders) {
        this.config = config;
        this.clock = clock;
        this.host = host;
        this.orders = orders;
        // Not halved while two processes share the descriptors: clients may use a third of them, and may all connect at
        // once.
        this.maxConnections = (int) Math.max(1, SOCKET_SHARE * config.sockets());
    }

    /** Listens on the configured address. {@code /up} is answered from then on. */
    ChannelFuture listen(final EventLoopGroup group, final EventLoop loop) throws IOException {
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
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MAX_READ_BYTES / 16, MAX_READ_BYTES / 8, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final ClientConnection connection = new ClientConnection();
                        channel.pipeline().addLast(connection.decoder, new HttpResponseEncoder(), connection);
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
        while (connections.size() > maxConnections && dropLeastUseful(null)) {
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
    private boolean isUp() {
        return handingOver ? !orders.current().draining() : !isDraining();
    }

    /** True while the process is stopping or the operators have ordered a drain. */
    private boolean isDraining() {
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
            if (connection.isIdle()) {
                // Requests that arrived meanwhile are answered, but it is too late to accept them.
                connection.refusing = true;
                connection.readPending();
            }
            if (connection.isIdle()) {
                connection.closeIdle();
                idle++;
            } else if (connection.requestBeganUs != Long.MAX_VALUE && !connection.inputClosed) {
                connection.reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
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
        idReservedUntilUs.values().removeIf(untilUs -> untilUs <= nowUs);
        for (final ClientConnection connection : List.copyOf(connections)) {
            if (connection.requestBeganUs <= nowUs - REQUEST_TIMEOUT_US && !connection.inputClosed) {
                slowRequests++;
                connection.reject(HttpResponseStatus.REQUEST_TIMEOUT);
            } else if (connection.stalledSinceUs <= nowUs - REQUEST_TIMEOUT_US) {
                connection.closeNow();
            } else if (connection.isIdle()
                    && connection.idleSinceUs()
                            <= nowUs
                                    - (connection.hasSentRequest && !connection.refusing
                                            ? idleUs
                                            : REQUEST_TIMEOUT_US)) {
                connection.readPending();
                if (connection.isIdle()) {
                    connection.closeIdle();
                }
            }
        }
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
     * with an incomplete request (the one silent longest first), then those idle for long, and otherwise the newest.
     */
    private void enforceMaxConnections(final ClientConnection newest) {
        if (connections.size() > maxConnections && !dropLeastUseful(newest)) {
            drop(newest);
        }
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
        least.closeNow();
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

    /** A complete request queued on its connection. */
    private record Request(HttpRequest head, byte[] body) {}

    /** One client connection. */
    private final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestDecoder.Listener {
        private static final int IN_USE = 4;
        private final RequestDecoder decoder = new RequestDecoder(this);
        private ChannelHandlerContext context;
        private HttpRequest head;
        /** The part of a body received so far; empty once the request is complete. */
        private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

        private final Deque<Request> queue = new ArrayDeque<>();
        private int queuedBytes;
        private Request current;
        private String currentId;
        private boolean readingBody;
        /**
         * The client waits for 100 Continue before sending the body (RFC 9110, 10.1.1). It is sent when the request's
         * turn comes.
         */
        private boolean expectsContinue;

        private boolean hasSentRequest;
        /** The status for a request that is not read to its end, sent when all requests before it are answered. */
        private HttpResponseStatus rejectionStatus;
        /** No further request is read from this connection. */
        private boolean inputClosed;
        /** The last answer has been sent. */
        private boolean lastAnswerSent;
        /** Requests that were read and not answered yet are refused, each with its answer. */
        private boolean refusing;
        /** Since when the client has not read its answers; {@code Long.MAX_VALUE} if it does. */
        private long stalledSinceUs = Long.MAX_VALUE;
        /** Since when the connection has been idle, and since when a request has been arriving. */
        private long idleFromUs = clock.nowUs();

        private long requestBeganUs = Long.MAX_VALUE;
        /** When bytes last arrived. */
        private long lastReadUs;

        /**
         * Since when nothing has arrived, so that a slow client is not mistaken for one that stopped in the middle of a
         * request.
         */
        private long silentSinceUs() {
            return Math.max(idleFromUs, lastReadUs);
        }

        /** Start of the idle time. For a connection that was used, it starts anew when the process begins to stop. */
        private long idleSinceUs() {
            return hasSentRequest ? Math.max(idleFromUs, stoppingSinceUs) : idleFromUs;
        }

        private boolean isIdle() {
            return requestBeganUs == Long.MAX_VALUE && current == null && queue.isEmpty() && !inputClosed;
        }

        /**
         * True if more requests behind the current one are waiting, or may be, for an answer. After {@code Connection:
         * close} a client sends nothing more, and what is unread stays unread.
         */
        private boolean mayHaveMoreRequests() {
            return !queue.isEmpty()
                    || rejectionStatus != null
                    || !inputClosed
                            && HttpUtil.isKeepAlive(current.head())
                            && (requestBeganUs != Long.MAX_VALUE || decoder.mayHaveMore());
        }

        /**
         * Reads bytes that arrived since the event loop last polled its sockets, because closing a socket with unread
         * bytes would reset the connection. A request that arrives after this crosses the close and is not accepted.
         */
        private void readPending() {
            if (context.channel().isActive()
                    && context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
            }
        }

        private int usefulness(final long idleBeforeUs) {
            if (lastAnswerSent) {
                return 0;
            }
            if (stalledSinceUs == Long.MAX_VALUE && (current != null || !queue.isEmpty())) {
                return IN_USE;
            }
            if (isIdle()) {
                return !hasSentRequest ? 1 : idleFromUs <= idleBeforeUs ? IN_USE - 1 : IN_USE;
            }
            return 2;
        }

        /** Closes the connection at once and stops counting it now; its close is reported only after this pass. */
        private void closeNow() {
            connections.remove(this);
            context.close();
        }

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            context = ctx;
            connections.add(this);
            enforceMaxConnections(this);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            connections.remove(this);
            bufferedBodyBytes -= body.size() + queuedBytes;
            queuedBytes = 0;
            body = new ByteArrayOutputStream(0);
            queue.clear();
            if (currentId != null) {
                host.withdraw(currentId);
            }
        }

        /**
         * Handles the client's end of input. A client without an answer has most likely given up, so its message is
         * withdrawn; since it may have closed only its sending side, it still gets an answer.
         */
        @Override
        public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
            if (event != ChannelInputShutdownEvent.INSTANCE || lastAnswerSent) {
                return;
            }
            if (current == null && queue.isEmpty()) {
                closeIdle();
                return;
            }
            inputClosed = true;
            refusing = true;
            if (currentId != null) {
                final String id = currentId;
                host.withdraw(id);
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, REFUSED_RETRY_AFTER_US);
            }
        }

        @Override
        public void onBytes() {
            lastReadUs = clock.nowUs();
        }

        @Override
        public void onRequestBegun() {
            requestBeganUs = clock.nowUs();
        }

        @Override
        public boolean canDecode() {
            return queue.size() < MAX_QUEUED_REQUESTS && context.channel().isWritable();
        }

        /** Stops reading from a client that does not read its answers, until it does. */
        @Override
        public void channelWritabilityChanged(final ChannelHandlerContext ctx) {
            if (!lastAnswerSent) {
                stalledSinceUs = ctx.channel().isWritable() ? Long.MAX_VALUE : clock.nowUs();
                ctx.executor().execute(this::resumeReading);
            }
        }

        @Override
        public void channelRead(final ChannelHandlerContext ctx, final Object part) {
            try {
                if (part instanceof HttpObject object && !inputClosed) {
                    read(object);
                }
            } finally {
                ReferenceCountUtil.release(part);
            }
        }

        private void read(final HttpObject part) {
            if (part.decoderResult().isFailure()) {
                final Throwable cause = part.decoderResult().cause();
                reject(
                        cause instanceof TooLongHttpLineException
                                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                : cause instanceof TooLongHttpHeaderException
                                        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                        : HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
                readingBody = true;
                if (!RequestDecoder.hasSingleFraming(request)) {
                    reject(HttpResponseStatus.BAD_REQUEST);
                    return;
                }
                if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                expectsContinue = HttpUtil.is100ContinueExpected(request);
                sendContinue();
            }
            if (part instanceof HttpContent content && readingBody) {
                final int length = content.content().readableBytes();
                if (body.size() + length > MAX_BODY_BYTES) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                if (bufferedBodyBytes + length > MAX_BUFFERED_BODY_BYTES) {
                    reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                    return;
                }
                bufferedBodyBytes += length;
                final byte[] bytes = new byte[length];
                content.content().readBytes(bytes);
                body.writeBytes(bytes);
                if (part instanceof LastHttpContent) {
                    enqueueRequest();
                }
            }
        }

        /**
         * An interim answer has to keep the order as well: sent before an earlier request is answered, it would be
         * taken for that request's.
         */
        private void sendContinue() {
            if (expectsContinue && current == null && queue.isEmpty() && !inputClosed) {
                expectsContinue = false;
                context.writeAndFlush(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        /** Queues a request that has arrived completely. */
        private void enqueueRequest() {
            readingBody = false;
            expectsContinue = false;
            hasSentRequest = true;
            requestBeganUs = Long.MAX_VALUE;
            queue.add(new Request(head, body.toByteArray()));
            queuedBytes += body.size();
            head = null;
            body = new ByteArrayOutputStream(0);
            serveQueue();
        }

        /** Serves the requests of one connection in order, so that the answers keep their order. */
        private void serveQueue() {
            final Channel channel = context.channel();
            while (current == null && !queue.isEmpty() && !lastAnswerSent && channel.isWritable()) {
                current = queue.poll();
                queuedBytes -= current.body().length;
                bufferedBodyBytes -= current.body().length;
                serve(current);
            }
            if (current == null && queue.isEmpty() && rejectionStatus != null && !lastAnswerSent) {
                sendRejection();
            }
            if (!lastAnswerSent) {
                sendContinue();
                final boolean canRead = queue.isEmpty() && channel.isWritable();
                if (canRead && !channel.config().isAutoRead() && requestBeganUs != Long.MAX_VALUE) {
                    // Reading was paused meanwhile, so the request gets its full time again.
                    requestBeganUs = clock.nowUs();
                }
                channel.config().setAutoRead(canRead);
            }
        }

        /** Continues after an answer with the next request, and decodes what was read but had to wait. */
        private void resumeReading() {
            serveQueue();
            decoder.decodeRest();
        }

        private void serve(final Request request) {
            if (refusing) {
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, REFUSED_RETRY_AFTER_US);
                return;
            }
            final String uri = request.head().uri();
            final int query = uri.indexOf('?');
            final String path = query < 0 ? uri : uri.substring(0, query);
            if (path.equals("/up")) {
                if (!request.head().method().equals(HttpMethod.GET)) {
                    answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
                } else {
                    answer(isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
                }
                return;
            }
            final String className = path.substring(Math.min(path.length(), 1)).split("/", 2)[0];
            final Courier.MessageClass messageClass = host.messageClass(className);
            if (messageClass == null) {
                answer(HttpResponseStatus.NOT_FOUND, 0);
            } else if (!request.head().method().equals(HttpMethod.POST)) {
                answer(HttpResponseStatus.METHOD_NOT_ALLOWED, 0);
            } else {
                submit(request, messageClass);
            }
        }

        private void submit(final Request request, final Courier.MessageClass messageClass) {
            final HttpHeaders headers = request.head().headers();
            final String id = headers.get("X-Request-ID", "");
            final long timeoutMs = parseNonNegative(headers.get("X-Timeout-Ms"));
            final long destination = parseDestination(headers.get("X-Consignee"));
            final String key = headers.get("Idempotency-Key");
            final boolean needsKey = messageClass.effect() == Courier.Effect.KEYED;
            if (id.isEmpty()
                    || id.length() > MAX_ID_CHARS
                    || timeoutMs < 0
                    || destination < 0
                    || !messageClass.name().equals(headers.get("X-Priority-Class"))
                    || needsKey && (key == null || key.isEmpty())) {
                answer(HttpResponseStatus.BAD_REQUEST, 0);
                return;
            }
            if (!host.isKnownDestination(destination)) {
                answer(HttpResponseStatus.NOT_FOUND, 0);
                return;
            }
            // The call of a message that has just ended or was withdrawn may still be in flight, and the two could not
            // be told apart.
            if (host.isOpen(id) || idReservedUntilUs.getOrDefault(id, 0L) > clock.nowUs()) {
                answer(HttpResponseStatus.CONFLICT, 0);
                return;
            }
            final long lifeUs = deliveryTimeUs(timeoutMs, messageClass.deadlineUs());
            final long validUntilUs = clock.nowUs() + lifeUs;
            currentId = id;
            host.offer(
                    new JournaledMessage(
                            id, messageClass.name(), key, destination, clock.wallUs() + lifeUs, request.body()),
                    validUntilUs,
                    new DeliveryService.Reply() {
                        @Override
                        public void accepted() {
                            idReservedUntilUs.put(id, validUntilUs + ID_RESERVED_US);
                            // A client that never receives this answer does not count on it, so its message is
                            // withdrawn.
                            answer(HttpResponseStatus.valueOf(ACCEPTED), 0).addListener(done -> {
                                if (!done.isSuccess()) {
                                    host.withdraw(id);
                                }
                            });
                        }

                        @Override
                        public void refused(final int status, final long retryAfterUs) {
                            answer(HttpResponseStatus.valueOf(status), retryAfterUs);
                        }

                        @Override
                        public void failed() {
                            answer(HttpResponseStatus.valueOf(INTERNAL_ERROR), 0);
                        }
                    });
        }

        private ChannelFuture answer(final HttpResponseStatus status, final long retryAfterUs) {
            // A client whose request is wrong is not trusted with what it sends after it.
            final boolean trusted = status.code() < HttpResponseStatus.BAD_REQUEST.code()
                    || status.code() == TOO_MANY_REQUESTS
                    || status.code() == UNAVAILABLE
                    || status.code() == INTERNAL_ERROR;
            refusing |= !trusted;
            final boolean keepAlive =
                    !refusing && HttpUtil.isKeepAlive(current.head()) && !isDraining() && !inputClosed;
            final boolean isLast =
                    !keepAlive && !mayHaveMoreRequests() || status.equals(HttpResponseStatus.BAD_REQUEST);
            current = null;
            currentId = null;
            idleFromUs = clock.nowUs();
            final var response = response(status);
            if (retryAfterUs > 0) {
                response.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
            }
            if (isLast) {
                return sendLast(response);
            }
            final ChannelFuture written = context.writeAndFlush(response);
            context.executor().execute(this::resumeReading);
            return written;
        }

        /** Rejects a request that cannot be read, after all requests before it are answered. */
        private void reject(final HttpResponseStatus status) {
            rejectionStatus = status;
            inputClosed = true;
            readingBody = false;
            bufferedBodyBytes -= body.size();
            body = new ByteArrayOutputStream(0);
            if (current == null && queue.isEmpty()) {
                sendRejection();
            }
        }

        private void sendRejection() {
            sendLast(response(rejectionStatus));
        }

        /** Sends the last answer of a connection. */
        private ChannelFuture sendLast(final DefaultFullHttpResponse response) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            return sendLast(context.writeAndFlush(response));
        }

        /** Closes an idle connection. One that never sent a request has no answer that a reset could overtake. */
        private void closeIdle() {
            if (hasSentRequest) {
                sendLast(context.writeAndFlush(Unpooled.EMPTY_BUFFER));
            } else {
                closeNow();
            }
        }

        private ChannelFuture sendLast(final ChannelFuture written) {
            inputClosed = true;
            lastAnswerSent = true;
            stalledSinceUs = clock.nowUs();
            bufferedBodyBytes -= queuedBytes;
            queuedBytes = 0;
            queue.clear();
            if (!decoder.isRemoved()) {
                context.pipeline().remove(decoder);
            }
            LingeringClose.after(written);
            return written;
        }

        private static DefaultFullHttpResponse response(final HttpResponseStatus status) {
            final var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            return response;
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("connection of a client", cause);
            }
            ctx.close();
        }
    }

    /**
     * Time for which a message read now may be delivered, us. The client's time-out runs from the moment of sending,
     * and the message may have waited unread for nearly as long as a client waits for an answer. Without a margin its
     * outcome could be reported too late, which would lose it.
     */
    static long deliveryTimeUs(final long timeoutMs, final long deadlineUs) {
        final long lifeUs = Math.min(timeoutMs, deadlineUs / US_PER_MS) * US_PER_MS;
        return lifeUs - Math.min(UNREAD_MARGIN_US, lifeUs / 4);
    }

    /** A non-negative integer, or -1 if the text is none. */
    private static long parseNonNegative(final String text) {
        try {
            return text == null ? -1 : Math.max(-1, Long.parseLong(text.trim()));
        } catch (final NumberFormatException e) {
            return -1;
        }
    }

    /** The destination in a header of {@code name=value} pairs, or -1. */
    private static long parseDestination(final String text) {
        if (text != null) {
            for (final String pair : text.split("[,;]")) {
                final String trimmed = pair.trim();
                if (trimmed.startsWith("dest=")) {
                    return parseNonNegative(trimmed.substring("dest=".length()));
                }
            }
        }
        return -1;
    }
}
