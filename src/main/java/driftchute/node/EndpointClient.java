package driftchute.node;

import driftchute.Courier;
import driftchute.Courier.Result;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Makes calls to endpoints, with one or several messages each, over kept connections that carry one call at a time.
 * Reports to the {@link DeliveryService} what became of each message, in particular whether it may have been executed: this
 * depends on whether the call's last byte was written before the connection broke.
 */
final class EndpointClient {
    private static final long US_PER_MS = 1000;
    private static final int MAX_BODY_BYTES = 1 << 16;
    /**
     * Share of the endpoints' own idle time-out after which an idle connection is closed, so that no request crosses
     * the endpoint's close.
     */
    private static final double IDLE_SHARE = 0.8;
    /** Share of the descriptors for connections to endpoints. The rest is for clients and the process. */
    private static final double SOCKET_SHARE = 0.4;

    /**
     * Maximum time from an answer's first byte to its last, ms. The endpoint has the whole answer when it begins to
     * send.
     */
    private static final long ANSWER_COMPLETION_MS = 500;
    /** Delay before a call tries again to get a descriptor or permission to be written, us. */
    private static final long RETRY_DELAY_US = 20_000;

    private final Clock clock;
    private final EventLoop loop;
    private final DeliveryService host;
    private final Bootstrap bootstrap;
    private final long idleTimeoutUs;
    private final long connectTimeoutUs;
    private final Map<Long, ConnectionPool> pools = new HashMap<>();
    private final Set<Call> calls = new HashSet<>();
    private int connections;
    private boolean closeAfterUse;

    /** The outcome of a message's part in a call. {@code waitUs}: the wait that the answer asked for, or 0. */
    record MessageOutcome(Result result, boolean isFinal, long waitUs, Courier.ReportedLimit reportedLimit) {}

    EndpointClient(final Config config, final EventLoop loop, final Clock clock, final DeliveryService host) {
        this.clock = clock;
        this.loop = loop;
        this.host = host;
        this.idleTimeoutUs = (long) (IDLE_SHARE * config.settings().limits().idleTimeoutUs());
        this.connectTimeoutUs = config.connectTimeoutUs();
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(EndpointChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (connectTimeoutUs / US_PER_MS))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        final EndpointConnection connection = new EndpointConnection();
                        channel.pipeline()
                                .addLast(new ResponseDecoder(connection), new HttpRequestEncoder(), connection);
                    }
                });
        final long sweepUs = Math.max(US_PER_MS, idleTimeoutUs / 8);
        loop.scheduleWithFixedDelay(this::closeExpired, sweepUs, sweepUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- state

    /** The connections to one endpoint. */
    private static final class ConnectionPool {
        private final long endpoint;
        private final long destination;
        private final boolean separateRoute;
        private InetSocketAddress address;
        /** Idle connections, the most recently used last. */
        private final Deque<EndpointConnection> idle = new ArrayDeque<>();
        /** The endpoint drains or is gone: unwritten calls go elsewhere, and no connection is kept. */
        private boolean closing;

        ConnectionPool(final Courier.Endpoint entry, final boolean separateRoute, final InetSocketAddress address) {
            this.endpoint = entry.id();
            this.destination = entry.destination();
            this.separateRoute = separateRoute;
            this.address = address;
        }

        /**
         * True if a wait requested there also holds for the other pool. An endpoint that is listed again counts as the
         * same endpoint.
         */
        private boolean sharesWaitsWith(final ConnectionPool other) {
            return separateRoute ? endpoint == other.endpoint : destination == other.destination;
        }
    }

    /**
     * A call, with its messages and progress. It ends with the earliest deadline of its messages: an answer after that
     * is too late for all of them.
     */
    static final class Call {
        private final ConnectionPool pool;
        private final long endpoint;
        private final long sentUs;
        private final long deadlineUs;
        private final List<DeliveryService.CallItem> items;
        /** Timers of the call: time-outs, and the end of a connection's rest. */
        private final List<Future<?>> timers = new ArrayList<>();

        private Channel channel;
        private EndpointConnection connection;
        private boolean started;
        private boolean written;

        Call(
                final ConnectionPool pool,
                final long endpoint,
                final List<DeliveryService.CallItem> items,
                final long sentUs) {
            this.pool = pool;
            this.endpoint = endpoint;
            this.items = List.copyOf(items);
            this.sentUs = sentUs;
            this.deadlineUs = Math.min(
                    sentUs
                            + items.stream()
                                    .mapToLong(DeliveryService.CallItem::timeoutUs)
                                    .max()
                                    .orElse(0),
                    items.stream()
                            .mapToLong(item -> item.message().validUntilUs)
                            .min()
                            .orElse(sentUs));
        }

        long endpoint() {
            return endpoint;
        }

        long sentUs() {
            return sentUs;
        }

        List<DeliveryService.CallItem> items() {
            return items;
        }

        /** True if none of its messages has a recorded attempt, so that waiting costs nothing but time. */
        private boolean isUntried() {
            return items.stream()
                    .map(item -> item.message().journaled)
                    .allMatch(held -> held.firstExecutionWallUs() == JournaledMessage.NEVER && !held.isInFlight());
        }

        private boolean hasSeveralMessages() {
            return items.size() > 1;
        }
    }

    /** The list named an endpoint, or changed its address or condition. */
    void onListed(final Courier.Endpoint entry, final boolean separateRoute, final InetSocketAddress address) {
        final ConnectionPool pool =
                pools.computeIfAbsent(entry.id(), unused -> new ConnectionPool(entry, separateRoute, address));
        if (!pool.address.equals(address)) {
            pool.address = address;
            stopUsing(entry.id());
        }
        pool.closing = entry.condition() == Courier.Condition.DRAINING;
        if (pool.closing) {
            stopUsing(entry.id());
        }
    }

    /** The list no longer names an endpoint. */
    void onRemoved(final long endpoint) {
        final ConnectionPool pool = pools.get(endpoint);
        if (pool != null) {
            pool.closing = true;
            stopUsing(endpoint);
            pools.remove(endpoint);
        }
    }

    /**
     * Closes an endpoint's idle connections and gives back its unwritten calls, because it accepts nothing new or has
     * moved. A connection may take far longer to come up than the grace period of a drain (PROTOCOL-irishead.md,
     * Figures: a send runs from its first byte).
     */
    void stopUsing(final long endpoint) {
        closeIdle(endpoint);
        abandonUnwritten(call -> call.endpoint == endpoint);
    }

    void closeIdle(final long endpoint) {
        final ConnectionPool pool = pools.get(endpoint);
        if (pool != null) {
            List.copyOf(pool.idle).forEach(EndpointConnection::close);
        }
    }

    /**
     * Closes connections before the endpoint does. A request that crosses the endpoint's close may have been executed
     * or not.
     */
    private void closeExpired() {
        final long beforeUs = clock.nowUs() - idleTimeoutUs;
        pools.values()
                .forEach(pool -> List.copyOf(pool.idle).stream()
                        .filter(connection -> connection.idleSinceUs <= beforeUs)
                        .forEach(EndpointConnection::close));
    }

    /** Closes all idle connections, and from now on keeps none, because no more calls will begin here. */
    void closeAllIdle() {
        closeAfterUse = true;
        pools.values().forEach(pool -> List.copyOf(pool.idle).forEach(EndpointConnection::close));
    }

    private int mostConnections() {
        return (int) Math.max(1, SOCKET_SHARE * host.descriptors());
    }

    private void closeLongestIdle() {
        pools.values().stream()
                .filter(pool -> !pool.idle.isEmpty())
                .map(pool -> pool.idle.peekFirst())
                .min(Comparator.comparingLong(connection -> connection.idleSinceUs))
                .ifPresent(EndpointConnection::close);
    }

    // ---------------------------------------------------------------- calls

    /** Creates a call that has not begun, so that it can be journaled first. */
    Call prepare(final long endpoint, final List<DeliveryService.CallItem> items) {
        return new Call(pools.get(endpoint), endpoint, items, clock.nowUs());
    }

    void start(final Call call) {
        if (call.pool == null || call.pool.closing) {
            loop.execute(() -> abandon(call, Result.NOT_SENT));
            return;
        }
        calls.add(call);
        schedule(call, call.deadlineUs - call.sentUs, () -> abandon(call, Result.TIMED_OUT));
        call.started = true;
        dispatch(call);
    }

    /** Schedules an action for a call. It is cancelled when the call ends. */
    private void schedule(final Call call, final long delayUs, final Runnable action) {
        call.timers.add(loop.schedule(action, delayUs, TimeUnit.MICROSECONDS));
    }

    /** Removes a call. Returns false if it had already ended. */
    private boolean remove(final Call call) {
        call.timers.forEach(timer -> timer.cancel(false));
        call.timers.clear();
        return calls.remove(call);
    }

    /**
     * Uses the most recently used idle connection that has rested; waits if one needs a little longer, else connects.
     */
    private void dispatch(final Call call) {
        if (!calls.contains(call)) {
            return;
        }
        final long nowUs = clock.nowUs();
        long restUs = Long.MAX_VALUE;
        final List<EndpointConnection> newestFirst = new ArrayList<>(call.pool.idle);
        Collections.reverse(newestFirst);
        for (final EndpointConnection connection : newestFirst) {
            if (connection.idleSinceUs + EndpointChannel.REST_US > nowUs) {
                restUs = Math.min(restUs, connection.idleSinceUs + EndpointChannel.REST_US - nowUs);
            } else if (connection.idleSinceUs + idleTimeoutUs <= nowUs || connection.isStale()) {
                connection.close();
            } else {
                call.pool.idle.remove(connection);
                connection.write(call);
                return;
            }
        }
        if (restUs <= EndpointChannel.REST_US) {
            schedule(call, restUs, () -> dispatch(call));
        } else {
            connect(call);
        }
    }

    private void connect(final Call call) {
        if (connections >= mostConnections()) {
            closeLongestIdle();
        }
        if (connections >= mostConnections()) {
            retryLater(call);
            return;
        }
        final ChannelFuture connecting = bootstrap.connect(call.pool.address);
        if (!connecting.channel().isRegistered()) {
            // No descriptor is available. This future is completed on another thread, and its channel was never
            // registered.
            closeLongestIdle();
            retryLater(call);
            return;
        }
        connections++;
        call.channel = connecting.channel();
        call.channel.closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            if (!calls.contains(call)) {
                connecting.channel().close();
            } else if (done.isSuccess()) {
                final EndpointConnection connection =
                        connecting.channel().pipeline().get(EndpointConnection.class);
                connection.idleSinceUs = clock.nowUs();
                connection.write(call);
            } else {
                abandon(call, Result.NO_CONNECTION);
            }
        });
    }

    /**
     * Retries a call for which no descriptor is available, or that may not be written now, for at most the connect
     * time-out. Otherwise each of its messages would lose an attempt without being sent.
     */
    private void retryLater(final Call call) {
        if (clock.nowUs() + RETRY_DELAY_US < call.sentUs + connectTimeoutUs) {
            schedule(call, RETRY_DELAY_US, () -> dispatch(call));
        } else {
            loop.execute(() -> abandon(call, Result.NOT_SENT));
        }
    }

    /**
     * Ends a call from this side. Its connection is closed before the outcome is reported, so that no further attempt
     * of a message can coincide with this one.
     */
    void abandon(final Call call, final Result result) {
        if (call.written && calls.contains(call)) {
            // The answer may have arrived unread: closing now would lose a delivery, or a wait that must be respected.
            call.connection.readNow();
        }
        final boolean wasOpen = remove(call);
        if (!wasOpen && call.started) {
            return;
        }
        if (call.channel != null) {
            call.channel.close();
        }
        final long waitUs = call.connection == null ? 0 : call.connection.waitOf(call);
        applyWait(call, waitUs);
        if (call.connection != null && call.connection.isDelivered(call)) {
            reportOutcome(call, call.connection.deliveredOutcome());
            return;
        }
        final Result finalResult = call.written || result == Result.NOT_SENT ? result : unwrittenResult(result);
        reportOutcome(call, new MessageOutcome(finalResult, false, waitUs, null));
    }

    /** Result of giving up a call that was never completely written: it cannot have been executed. */
    private static Result unwrittenResult(final Result result) {
        return result == Result.CANCELLED ? Result.NOT_SENT : Result.NO_CONNECTION;
    }

    private void reportOutcome(final Call call, final MessageOutcome answer) {
        call.items.forEach(item -> host.onOutcome(item, call, answer));
    }

    /** A predecessor process was asked to wait there: unwritten calls may not be sent. */
    void giveBackUnwritten(final long destination) {
        abandonUnwritten(call -> !call.pool.separateRoute && call.pool.destination == destination);
    }

    /** The same for an endpoint with a route of its own. */
    void giveBackUnwrittenTo(final long endpoint) {
        abandonUnwritten(call -> call.pool.separateRoute && call.endpoint() == endpoint);
    }

    /** If a call's answer asked for a wait (above 0), unwritten calls that it applies to may not be sent. */
    private void applyWait(final Call call, final long waitUs) {
        if (waitUs > 0) {
            host.onWaitRequested(call.pool.destination, String.valueOf(call.pool.address), waitUs);
            giveBackUnwritten(call.pool);
        }
    }

    private void giveBackUnwritten(final ConnectionPool waiting) {
        abandonUnwritten(call -> waiting.sharesWaitsWith(call.pool));
    }

    /**
     * Reads what has arrived for calls in flight there. Decisions take time, in which an answer may have asked for a
     * wait that applies to a call about to be written.
     */
    private void readAnswers(final ConnectionPool pool) {
        List.copyOf(calls).stream()
                .filter(call -> call.written && calls.contains(call) && call.pool.sharesWaitsWith(pool))
                .forEach(call -> call.connection.readNow());
    }

    /** True while calls are in flight. */
    boolean hasCallsInFlight() {
        return callsInFlight() > 0;
    }

    /** Number of calls in flight, including those that still wait for a connection. */
    int callsInFlight() {
        return calls.size();
    }

    /** Ends all calls. Those that were written may have been executed. */
    void abandonAll() {
        List.copyOf(calls).forEach(call -> abandon(call, Result.CANCELLED));
    }

    /** Ends all unwritten calls. None of them was executed, so their messages may be sent again. */
    void giveBackAllUnwritten() {
        abandonUnwritten(call -> true);
    }

    /** Ends a call that is not completely written, because a message of it was withdrawn. */
    void giveBackIfUnwritten(final Call call) {
        abandonUnwritten(other -> other == call);
    }

    private void abandonUnwritten(final Predicate<Call> condition) {
        List.copyOf(calls).stream()
                .filter(call -> !call.written && condition.test(call))
                .forEach(call -> abandon(call, Result.NOT_SENT));
    }

    // ---------------------------------------------------------------- one connection

    /** One connection: writes calls and reads their answers. */
    private final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject>
            implements ResponseDecoder.Listener {
        private ChannelHandlerContext context;
        private Call call;
        private long idleSinceUs;
        /** The status line of the answer as soon as it has arrived, and its complete head. */
        private HttpResponse statusLine;

        private AnswerHead head;
        private boolean keepAlive;
        /** The body of an answer to several messages. */
        private ByteArrayOutputStream body = new ByteArrayOutputStream();

        private int bodyBytes;
        /** Time-out of an answer that has begun. */
        private Future<?> answerTimeout;

        @Override
        public void handlerAdded(final ChannelHandlerContext added) {
            context = added;
        }

        private void write(final Call next) {
            readAnswers(next.pool);
            // The event loop reads its sockets before it runs timers, so the timer that ends this call may be due as
            // well.
            final boolean late = next.deadlineUs <= clock.nowUs();
            if (late || !calls.contains(next) || !host.mayWrite(next)) {
                if (!late && calls.contains(next) && next.isUntried()) {
                    next.pool.idle.addLast(this);
                    retryLater(next);
                    return;
                }
                // The connection was not used, so it is not kept.
                context.close();
                loop.execute(() -> abandon(next, late ? Result.TIMED_OUT : Result.NOT_SENT));
                return;
            }
            call = next;
            call.channel = context.channel();
            call.connection = this;
            statusLine = null;
            head = null;
            body = new ByteArrayOutputStream(0);
            bodyBytes = 0;
            context.writeAndFlush(requestOf(call)).addListener(done -> {
                if (done.isSuccess()) {
                    next.written = true;
                }
            });
        }

        private FullHttpRequest requestOf(final Call of) {
            return CallRequest.create(
                    of.items.stream().map(item -> item.message().journaled).toList(),
                    of.pool.address.getHostString(),
                    (of.deadlineUs - clock.nowUs()) / US_PER_MS);
        }

        private boolean isStale() {
            return ((EndpointChannel) context.channel()).isStale();
        }

        private void readNow() {
            ((EndpointChannel) context.channel()).readNow();
        }

        private void close() {
            if (call == null) {
                unpool();
                context.close();
            }
        }

        private void unpool() {
            pools.values().forEach(pool -> pool.idle.remove(this));
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (call == null) {
                // Bytes that belong to no call: this connection cannot be trusted.
                onBroken(Result.ERROR);
                return;
            }
            if (part instanceof HttpResponse response) {
                head = new AnswerHead(response);
                keepAlive = HttpUtil.isKeepAlive(response);
            }
            if (!isReadable(part)) {
                onUnreadable(part);
                return;
            }
            if (part instanceof HttpContent content) {
                if (bodyBytes + content.content().readableBytes() > MAX_BODY_BYTES) {
                    onBroken(Result.ERROR);
                    return;
                }
                read(content.content());
            }
            if (part instanceof LastHttpContent && head != null) {
                cancelAnswerTimeout();
                if (head.isFinal()) {
                    onAnswerComplete();
                } else {
                    statusLine = null;
                    head = null;
                }
            }
        }

        private static boolean isReadable(final HttpObject part) {
            return part.decoderResult().isSuccess()
                    && (!(part instanceof HttpResponse response) || RequestDecoder.hasSingleFraming(response));
        }

        /**
         * Handles an answer that is no HTTP/1.1. Its status and its end prove nothing, so the call may have been
         * executed. Only a status line with 200, and a wait, still count.
         */
        private void onUnreadable(final HttpObject part) {
            logUnreadable(
                    call, head == null ? 0 : head.status(), part.decoderResult().cause());
            onBroken(Result.ERROR);
        }

        private void logUnreadable(final Call of, final int status, final Throwable cause) {
            Log.event(
                    "answer_unreadable",
                    "from",
                    String.valueOf(of.pool.address),
                    "messages",
                    of.items.size(),
                    "status",
                    status,
                    "cause",
                    String.valueOf(cause));
        }

        @Override
        public void onAnswerBegun() {
            if (call == null || !call.written) {
                // These bytes answer no call, or precede their call, so they belong to an earlier one.
                onBroken(Result.RESET);
            } else if (answerTimeout == null) {
                answerTimeout =
                        loop.schedule(() -> onBroken(Result.ERROR), ANSWER_COMPLETION_MS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void onStatusLine(final HttpResponse answer) {
            statusLine = answer;
        }

        private void cancelAnswerTimeout() {
            if (answerTimeout != null) {
                answerTimeout.cancel(false);
                answerTimeout = null;
            }
        }

        /**
         * True if the status line of the answer shows delivery. For several messages only the complete answer tells.
         */
        private boolean isDelivered(final Call of) {
            return of == call
                    && statusLine != null
                    && new AnswerHead(statusLine).isOk()
                    && of.written
                    && !of.hasSeveralMessages();
        }

        /**
         * The wait in a call's answer if its head is complete. It applies whatever happens to the rest of the answer.
         */
        private long waitOf(final Call of) {
            return of == call && head != null ? head.waitUs() : 0;
        }

        /**
         * The outcome of a delivery whose answer was cut off. Waits and reports are used only if the head is complete.
         */
        private MessageOutcome deliveredOutcome() {
            return head == null ? new MessageOutcome(Result.DELIVERED, true, 0, null) : head.outcome();
        }

        private void read(final ByteBuf content) {
            bodyBytes += content.readableBytes();
            if (!call.hasSeveralMessages()) {
                // The body means nothing (PROTOCOL-irishead.md, Couriers to endpoints).
                return;
            }
            try {
                content.readBytes(body, content.readableBytes());
            } catch (final IOException e) {
                throw new IllegalStateException("writing to memory failed", e);
            }
        }

        private void onAnswerComplete() {
            final Call done = call;
            call = null;
            if (!remove(done)) {
                context.close();
                return;
            }
            final boolean listed = done.pool.address.equals(context.channel().remoteAddress());
            if (keepAlive && done.written && listed && !done.pool.closing && !closeAfterUse) {
                idleSinceUs = clock.nowUs();
                done.pool.idle.addLast(this);
                ((EndpointChannel) context.channel()).acknowledgeNow();
            } else {
                context.close();
            }
            final AnswerHead answer = head;
            applyWait(done, answer.waitUs());
            if (!done.hasSeveralMessages()) {
                reportOutcome(done, answer.outcome());
            } else if (answer.isOk()) {
                reportEachOutcome(done, answer);
            } else {
                reportOutcome(done, answer.outcomeOfEach());
            }
        }

        /**
         * Handles the end of the connection, or a failure that makes it unusable. An answer that cannot be parsed is
         * still an answer: the destination is running and has done its work, so this counts as an error and not as a
         * reset.
         */
        private void onBroken(final Result result) {
            cancelAnswerTimeout();
            unpool();
            context.close();
            final Call interrupted = call;
            final boolean delivered = interrupted != null && isDelivered(interrupted);
            final long waitUs = interrupted == null ? 0 : waitOf(interrupted);
            call = null;
            if (interrupted == null || !remove(interrupted)) {
                return;
            }
            applyWait(interrupted, waitUs);
            if (delivered) {
                reportOutcome(interrupted, deliveredOutcome());
            } else {
                reportOutcome(
                        interrupted,
                        new MessageOutcome(interrupted.written ? result : Result.NO_CONNECTION, false, waitUs, null));
            }
        }

        /**
         * Reports the outcome of each of several messages. One that the answer does not mention may have been executed.
         * The same holds for messages accepted after the deadline of one of them: the call should have been given up by
         * then and does not count as answered.
         */
        private void reportEachOutcome(final Call done, final AnswerHead answer) {
            final BulkAnswer states = parseBulkAnswer(done, answer);
            final long nowUs = clock.nowUs();
            final boolean late = done.items.stream().anyMatch(item -> item.message().validUntilUs <= nowUs);
            for (final DeliveryService.CallItem item : done.items) {
                final BulkAnswer.State state = states.stateOf(item.message().journaled);
                host.onOutcome(item, done, outcomeOf(answer, state, late));
            }
        }

        private BulkAnswer parseBulkAnswer(final Call done, final AnswerHead answer) {
            final Set<String> ids =
                    done.items.stream().map(item -> item.message().journaled.id).collect(Collectors.toSet());
            try {
                return BulkAnswer.parse(body.toByteArray(), ids);
            } catch (final IOException e) {
                logUnreadable(done, answer.status(), e);
                return BulkAnswer.unreadable();
            }
        }

        private static MessageOutcome outcomeOf(
                final AnswerHead answer, final BulkAnswer.State state, final boolean late) {
            final Result result =
                    switch (state) {
                        case ACCEPTED -> late ? Result.TIMED_OUT : Result.DELIVERED;
                        case DEFERRED -> Result.REFUSED;
                        case EXPIRED, NO_MORE -> Result.NOT_SENT;
                        case UNKNOWN -> Result.ERROR;
                    };
            final boolean isFinal = state == BulkAnswer.State.ACCEPTED && !late || state == BulkAnswer.State.EXPIRED;
            return answer.outcome(result, isFinal);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            onBroken(Result.RESET);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("connection to an endpoint", cause);
            }
            onBroken(Result.RESET);
        }
    }
}
