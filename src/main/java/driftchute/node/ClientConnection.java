package driftchute.node;

import driftchute.Courier;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;

/**
 * One connection of a client: reads its requests, serves them in order, and answers each. Runs on the event loop's
 * thread.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements RequestDecoder.Listener {
    static final int TOO_MANY_REQUESTS = 429;
    static final int UNAVAILABLE = 503;
    /** The highest {@link #usefulness}: a request is open, or was a moment ago. */
    static final int IN_USE = 4;

    private static final int ACCEPTED = 202;
    private static final int INTERNAL_ERROR = 500;
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int MAX_ID_CHARS = 128;
    /** Maximum number of complete requests queued on one connection. Further requests stay unread until then. */
    private static final int MAX_QUEUED_REQUESTS = 16;

    /** Work that a connection may cause in one turn of the event loop: steps of decoding, and requests served. */
    private static final int WORK_PER_TURN = 64;

    private static final int WORK_PER_REQUEST = 8;
    /** Memory of a body that is arriving, as a multiple of its bytes: its array grows by doubling. */
    private static final int BODY_MEMORY_FACTOR = 2;
    /** Maximum memory of bytes that are read ahead of the request being served, bytes. */
    private static final int MAX_READ_AHEAD_BYTES = 1 << 16;

    private static final long REFUSED_RETRY_AFTER_US = 500_000;

    private static final double US_PER_SECOND = 1_000_000;

    private final ClientServer server;
    private final Clock clock;
    private final DeliveryService host;
    private final RequestBuffers buffers;
    private final ClientEventLog events;
    /** Number of this connection in the log. */
    private final long number;

    private final RequestDecoder decoder = new RequestDecoder(this);
    private ChannelHandlerContext context;
    private HttpRequest head;
    /** The part of a body received so far; empty once the request is complete. */
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

    private final Deque<ClientRequest> queue = new ArrayDeque<>();
    private int queuedBytes;
    private ClientRequest current;
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
    /** The client sends nothing more. What it sent before is still answered. */
    private boolean inputEnded;
    /** Work left in this turn of the event loop. */
    private int workLeft = WORK_PER_TURN;
    /** The connection goes on when its turn comes; until then it is not read. */
    private boolean waitsForTurn;
    /** Bytes that are read now belong to the work that has begun. */
    private boolean readsMore;
    /** Reading is paused until requests are answered, or answers are read. */
    private boolean pausedForAnswers;
    /** Memory that is reserved for the requests of this connection, bytes. */
    private int reservedBytes;
    /** The last answer has been sent. */
    private boolean lastAnswerSent;
    /** Why this connection ends is logged. */
    private boolean endLogged;
    /** Requests that were read and not answered yet are refused, each with its answer. */
    private boolean refusing;
    /** Since when the client has not read its answers; {@code Long.MAX_VALUE} if it does. */
    private long stalledSinceUs = Long.MAX_VALUE;
    /** Answers that the system had not taken when this was last looked at, bytes. */
    private long unsentBytes;
    /** Since when the connection has been idle, and since when a request has been arriving. */
    private long idleFromUs;

    private long requestBeganUs = Long.MAX_VALUE;
    /** When bytes last arrived. */
    private long lastReadUs;

    ClientConnection(final ClientServer server) {
        this.server = server;
        this.clock = server.clock();
        this.host = server.host();
        this.buffers = server.buffers();
        this.events = host.events();
        this.number = server.nextConnectionNumber();
        this.idleFromUs = clock.nowUs();
    }

    /** Adds this connection's handlers to its channel. */
    void addTo(final Channel channel) {
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), this);
    }

    /**
     * Since when nothing has arrived, so that a slow client is not mistaken for one that stopped in the middle of a
     * request.
     */
    long silentSinceUs() {
        return Math.max(idleFromUs, lastReadUs);
    }

    /** Start of the idle time. For a connection that was used, it starts anew when the process begins to stop. */
    long idleSinceUs() {
        return hasSentRequest ? Math.max(idleFromUs, server.stoppingSinceUs()) : idleFromUs;
    }

    boolean isIdle() {
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
    void readPending() {
        if (context.channel().isActive() && context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }

    int usefulness(final long idleBeforeUs) {
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

    /** Logs why the connection ends, once. */
    private void logEnd(final ClientEvent reason, final String detail) {
        if (!endLogged) {
            endLogged = true;
            events.record(reason, number, detail);
        }
    }

    /** Closes the connection at once and stops counting it now; its close is reported only after this pass. */
    void closeNow(final ClientEvent reason) {
        logEnd(reason, "");
        server.remove(this);
        context.close();
    }

    @Override
    public void channelActive(final ChannelHandlerContext ctx) {
        context = ctx;
        server.add(this);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext ctx) {
        if (current != null || !queue.isEmpty() || isReceiving()) {
            logEnd(ClientEvent.CLOSED_BY_CLIENT, currentId == null ? "" : currentId);
        }
        server.remove(this);
        queuedBytes = 0;
        body = new ByteArrayOutputStream(0);
        queue.clear();
        updateReservation();
        if (currentId != null) {
            withdraw(currentId);
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
        inputEnded = true;
        refusing = true;
        if (currentId != null) {
            final String id = currentId;
            withdraw(id);
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, REFUSED_RETRY_AFTER_US);
        }
        endAfterInput();
    }

    /** Ends the connection once all requests before the client's end of input are answered. */
    private void endAfterInput() {
        final boolean isOpen = current != null || !queue.isEmpty() || decoder.mayHaveMore() && !canDecode();
        if (!inputEnded || lastAnswerSent || isOpen) {
            return;
        }
        if (isReceiving()) {
            reject(HttpResponseStatus.BAD_REQUEST, ClientEvent.REJECTED_UNSOUND);
        } else {
            endLogged = true;
            closeIdle(ClientEvent.CLOSED_BY_CLIENT);
        }
    }

    @Override
    public void onBytes() {
        lastReadUs = clock.nowUs();
        if (!readsMore && !waitsForTurn) {
            workLeft = WORK_PER_TURN;
        }
    }

    @Override
    public boolean mayStep() {
        workLeft--;
        return workLeft >= 0;
    }

    /** Goes on in a later turn of the event loop. */
    private void waitForTurn() {
        if (!waitsForTurn && !lastAnswerSent) {
            waitsForTurn = true;
            context.channel().config().setAutoRead(false);
            server.turns().add(this::takeTurn);
        }
    }

    /** Does the next part of the work. A client that sends at full speed is read here, not whenever it has sent more. */
    private void takeTurn() {
        waitsForTurn = false;
        if (lastAnswerSent || !context.channel().isActive()) {
            return;
        }
        workLeft = WORK_PER_TURN;
        final long before = decoder.receivedBytes();
        resumeReading();
        if (!waitsForTurn && !pausedForAnswers && !lastAnswerSent) {
            readMore();
        }
        if (before != decoder.receivedBytes()) {
            waitForTurn();
        }
    }

    /** Reads what has arrived as a part of the work that has begun. */
    private void readMore() {
        readsMore = true;
        readPending();
        readsMore = false;
    }

    @Override
    public void onDecoded() {
        updateReservation();
        if (workLeft < 0) {
            waitForTurn();
        }
    }

    /**
     * Reserves what the requests of this connection take now; returns false if all connections together take too much.
     * The undecoded bytes of one read count only beyond that, so that a small request needs nothing.
     */
    private boolean updateReservation() {
        final int before = reservedBytes;
        final int undecoded = Math.max(0, decoder.undecodedMemory() - ClientServer.MAX_READ_BYTES);
        reservedBytes = lastAnswerSent || !context.channel().isActive()
                ? 0
                : BODY_MEMORY_FACTOR * body.size() + queuedBytes + undecoded;
        return buffers.resize(before, reservedBytes);
    }

    @Override
    public void onRequestBegun() {
        requestBeganUs = clock.nowUs();
    }

    @Override
    public boolean canDecode() {
        return queue.size() < MAX_QUEUED_REQUESTS
                && context.channel().isActive()
                && context.channel().isWritable();
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
                                    : HttpResponseStatus.BAD_REQUEST,
                    ClientEvent.REJECTED_UNSOUND);
            return;
        }
        if (part instanceof HttpRequest request) {
            head = request;
            readingBody = true;
            if (!RequestDecoder.hasSingleFraming(request)) {
                reject(HttpResponseStatus.BAD_REQUEST, ClientEvent.REJECTED_UNSOUND);
                return;
            }
            if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ClientEvent.REJECTED_UNSOUND);
                return;
            }
            expectsContinue = HttpUtil.is100ContinueExpected(request);
            sendContinue();
        }
        if (part instanceof HttpContent content && readingBody) {
            final int length = content.content().readableBytes();
            if (body.size() + length > MAX_BODY_BYTES) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ClientEvent.REJECTED_UNSOUND);
                return;
            }
            final byte[] bytes = new byte[length];
            content.content().readBytes(bytes);
            body.writeBytes(bytes);
            if (!updateReservation() && !server.freeRequestMemory(this)) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE, ClientEvent.REFUSED_NO_MEMORY);
                return;
            }
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
        queue.add(new ClientRequest(head, body.toByteArray()));
        queuedBytes += body.size();
        head = null;
        body = new ByteArrayOutputStream(0);
        serveQueue();
    }

    /** Serves the requests of one connection in order, so that the answers keep their order. */
    private void serveQueue() {
        final Channel channel = context.channel();
        while (current == null && !queue.isEmpty() && !lastAnswerSent && channel.isWritable() && workLeft > 0) {
            workLeft -= WORK_PER_REQUEST;
            current = queue.poll();
            queuedBytes -= current.body().length;
            updateReservation();
            serve(current);
        }
        if (current == null && queue.isEmpty() && rejectionStatus != null && !lastAnswerSent) {
            sendRejection();
        }
        if (!lastAnswerSent) {
            sendContinue();
            final boolean canRead = queue.isEmpty() && channel.isWritable();
            if (canRead && pausedForAnswers && requestBeganUs != Long.MAX_VALUE) {
                // Reading was paused meanwhile, so the request gets its full time again.
                requestBeganUs = clock.nowUs();
            }
            pausedForAnswers = !canRead;
            channel.config().setAutoRead(canRead && !waitsForTurn);
            if (current == null && !queue.isEmpty() && channel.isWritable()) {
                waitForTurn();
            }
        }
    }

    /** Continues after an answer with the next request, and decodes what was read but had to wait. */
    private void resumeReading() {
        if (waitsForTurn) {
            return;
        }
        serveQueue();
        decoder.decodeRest();
        endAfterInput();
    }

    private void serve(final ClientRequest request) {
        if (refusing) {
            events.record(ClientEvent.REFUSED_CLOSING, number, "");
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, REFUSED_RETRY_AFTER_US);
            return;
        }
        final String path = request.path();
        if (path.equals("/up")) {
            if (!request.head().method().equals(HttpMethod.GET)) {
                rejectUnsound(HttpResponseStatus.METHOD_NOT_ALLOWED);
            } else {
                answer(server.isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
            }
            return;
        }
        if (!request.isProper()) {
            rejectUnsound(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        final String className = path.substring(1).split("/", 2)[0];
        final Courier.MessageClass messageClass = host.messageClass(className);
        if (messageClass == null) {
            rejectUnsound(HttpResponseStatus.NOT_FOUND);
        } else if (!request.head().method().equals(HttpMethod.POST)) {
            rejectUnsound(HttpResponseStatus.METHOD_NOT_ALLOWED);
        } else {
            // Not within the decoder, which cannot be read into while it decodes.
            context.executor().execute(() -> submitIfPresent(request, messageClass));
        }
    }

    /**
     * Submits a message if its client is still there. An end of input lies behind all that the client sent before, so
     * that is read first; if it is too much to read ahead, it is not known whether the client has left.
     */
    private void submitIfPresent(final ClientRequest request, final Courier.MessageClass messageClass) {
        final boolean isRead = readAhead();
        if (!context.channel().isActive() || current != request) {
            return;
        }
        if (refusing || !isRead) {
            events.record(refusing ? ClientEvent.REFUSED_CLOSING : ClientEvent.REFUSED_READ_AHEAD, number, "");
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, REFUSED_RETRY_AFTER_US);
            return;
        }
        submit(request, messageClass);
    }

    /** Reads all that has arrived; returns false if that would be too much. */
    private boolean readAhead() {
        long before = -1;
        while (before != decoder.receivedBytes() && !inputEnded && !inputClosed) {
            if (decoder.undecodedMemory() >= MAX_READ_AHEAD_BYTES || !updateReservation()) {
                return false;
            }
            before = decoder.receivedBytes();
            readMore();
        }
        return true;
    }

    private void submit(final ClientRequest request, final Courier.MessageClass messageClass) {
        final HttpHeaders headers = request.head().headers();
        final String id = headers.get("X-Request-ID", "");
        final long timeoutMs = ClientRequest.parseNonNegative(headers.get("X-Timeout-Ms"));
        final long destination = ClientRequest.parseDestination(headers.get("X-Consignee"));
        final String key = headers.get("Idempotency-Key");
        final boolean needsKey = messageClass.effect() == Courier.Effect.KEYED;
        if (id.isEmpty()
                || id.length() > MAX_ID_CHARS
                || timeoutMs < 0
                || destination < 0
                || !messageClass.name().equals(headers.get("X-Priority-Class"))
                || needsKey && (key == null || key.isEmpty())) {
            rejectUnsound(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (!host.isKnownDestination(destination)) {
            rejectUnsound(HttpResponseStatus.NOT_FOUND);
            return;
        }
        // The call of a message that has just ended or was withdrawn may still be in flight, and the two could not
        // be told apart.
        if (host.isOpen(id) || host.isReserved(id)) {
            events.record(ClientEvent.REFUSED_REPEATED_ID, number, id);
            answer(HttpResponseStatus.CONFLICT, 0);
            return;
        }
        final long lifeUs = ClientRequest.deliveryTimeUs(timeoutMs, messageClass.deadlineUs());
        final long validUntilUs = clock.nowUs() + lifeUs;
        currentId = id;
        host.offer(
                new JournaledMessage(
                        id, messageClass.name(), key, destination, clock.wallUs() + lifeUs, request.body()),
                validUntilUs,
                new DeliveryService.Reply() {
                    @Override
                    public void accepted() {
                        // A client that never receives this answer does not count on it, so its message is
                        // withdrawn.
                        answer(HttpResponseStatus.valueOf(ACCEPTED), 0).addListener(done -> {
                            if (!done.isSuccess()) {
                                withdraw(id);
                            }
                        });
                    }

                    @Override
                    public void refused(final int status, final long retryAfterUs) {
                        events.record(ClientEvent.REFUSED_MESSAGE, number, id);
                        answer(HttpResponseStatus.valueOf(status), retryAfterUs);
                    }

                    @Override
                    public void failed() {
                        events.record(ClientEvent.FAILED_MESSAGE, number, id);
                        answer(HttpResponseStatus.valueOf(INTERNAL_ERROR), 0);
                    }
                });
    }

    /** The client left before it had its answer, so it does not count on the message. */
    private void withdraw(final String id) {
        events.record(ClientEvent.WITHDRAWN, number, id);
        host.withdraw(id);
    }

    private void rejectUnsound(final HttpResponseStatus status) {
        events.record(ClientEvent.REJECTED_UNSOUND, number, status.codeAsText().toString());
        answer(status, 0);
    }

    private ChannelFuture answer(final HttpResponseStatus status, final long retryAfterUs) {
        // A client whose request is wrong is not trusted with what it sends after it.
        final boolean trusted = status.code() < HttpResponseStatus.BAD_REQUEST.code()
                || status.code() == TOO_MANY_REQUESTS
                || status.code() == UNAVAILABLE
                || status.code() == INTERNAL_ERROR;
        refusing |= !trusted;
        final boolean keepAlive = !refusing
                && HttpUtil.isKeepAlive(current.head())
                && !server.isDraining()
                && !inputClosed
                && !inputEnded;
        final boolean isLast = !keepAlive && !mayHaveMoreRequests() || status.equals(HttpResponseStatus.BAD_REQUEST);
        current = null;
        currentId = null;
        idleFromUs = clock.nowUs();
        final var response = response(status);
        if (retryAfterUs > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterUs / US_PER_SECOND));
        }
        if (isLast) {
            return sendLast(response);
        }
        final ChannelFuture written = context.writeAndFlush(response);
        context.executor().execute(this::resumeReading);
        return written;
    }

    /** Rejects a request that cannot be read, after all requests before it are answered. */
    void reject(final HttpResponseStatus status, final ClientEvent reason) {
        logEnd(reason, status.codeAsText().toString());
        rejectionStatus = status;
        inputClosed = true;
        readingBody = false;
        head = null;
        body = new ByteArrayOutputStream(0);
        updateReservation();
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
    void closeIdle(final ClientEvent reason) {
        logEnd(reason, "");
        if (hasSentRequest) {
            sendLast(context.writeAndFlush(Unpooled.EMPTY_BUFFER));
        } else {
            closeNow(reason);
        }
    }

    private ChannelFuture sendLast(final ChannelFuture written) {
        logEnd(ClientEvent.CLOSED_AFTER_ANSWER, "");
        inputClosed = true;
        lastAnswerSent = true;
        stalledSinceUs = clock.nowUs();
        queuedBytes = 0;
        queue.clear();
        if (!decoder.isRemoved()) {
            context.pipeline().remove(decoder);
        }
        updateReservation();
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
            logEnd(ClientEvent.CLOSED_BY_FAILURE, String.valueOf(cause));
            Log.failure("connection of a client", cause);
        }
        ctx.close();
    }

    /** Memory that is reserved for the requests of this connection, bytes. */
    int reservedBytes() {
        return reservedBytes;
    }

    /** True if it holds nothing but a request that is still arriving. */
    boolean isOnlyReceiving() {
        return isReceiving() && current == null && queue.isEmpty() && reservedBytes > 0;
    }

    /** True if a request has begun to arrive and is neither complete nor rejected. */
    boolean isReceiving() {
        return requestBeganUs != Long.MAX_VALUE && !inputClosed;
    }

    /** True if the request that is arriving began before that time. */
    boolean isReceivingSince(final long beforeUs) {
        return requestBeganUs <= beforeUs && !inputClosed;
    }

    /** Notices whether the system has taken more of the answers: then the client reads, however slowly. */
    void observeProgress() {
        final ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        final long bytes = unsent == null ? 0 : unsent.totalPendingWriteBytes();
        if (bytes < unsentBytes && stalledSinceUs != Long.MAX_VALUE && !lastAnswerSent) {
            stalledSinceUs = clock.nowUs();
        }
        unsentBytes = bytes;
    }

    /** True if the client has not read its answers since before that time. */
    boolean isStalledSince(final long beforeUs) {
        return stalledSinceUs <= beforeUs;
    }

    /** From now on requests are refused, each with its answer. */
    void refuseRequests() {
        refusing = true;
    }

    /** True once a request has arrived and none was refused for what it was. */
    boolean isTrusted() {
        return hasSentRequest && !refusing;
    }
}
