package driftchute.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends the notices about accepted and undelivered messages to the platform: one batch at a time over a kept
 * connection, repeated until confirmed. Until then the journal holds them. Runs on the event loop's thread.
 */
final class NoticeSender {
    private static final int CONNECT_MS = 1000;
    /**
     * Bounds of the time-out for an answer. The platform normally answers at once, so a longer silence means that the
     * connection is dead. Doubled with each failure for a platform or machine that is slow.
     */
    private static final long MIN_ANSWER_TIMEOUT_MS = 100;

    private static final long MAX_ANSWER_TIMEOUT_MS = 1000;
    /**
     * First and longest back-off. A notice is overdue 0.3 s after its message's deadline (PROTOCOL-irishead.md, The
     * rules on sockets), so it must arrive within that time once the platform is reachable again.
     */
    private static final long MIN_BACK_OFF_MS = 50;

    private static final long MAX_BACK_OFF_MS = 100;
    private static final int MAX_BATCH_SIZE = 64;
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int CONFIRMED = 204;
    private static final int BAD_REQUEST = 400;

    private final EventLoop loop;
    private final Consumer<List<JournaledMessage>> confirmation;
    private final ObjectMapper json = new ObjectMapper();
    /** All unconfirmed notices, including those of the batch. */
    private final Set<JournaledMessage> unconfirmed = new LinkedHashSet<>();
    /** Notices that were sent and are not answered yet. */
    private final List<JournaledMessage> batch = new ArrayList<>();

    private InetSocketAddress address;
    private PlatformConnection connection;
    private Future<?> answerTimer;
    private Future<?> retryTimer;
    private long backOffMs = MIN_BACK_OFF_MS;
    private long answerTimeoutMs = MIN_ANSWER_TIMEOUT_MS;
    private int maxBatchSize = MAX_BATCH_SIZE;

    NoticeSender(final InetSocketAddress address, final EventLoop loop, final DeliveryService host) {
        this(address, loop, host::onNoticesConfirmed);
    }

    /** {@code confirmation} receives the notices that the platform has confirmed. */
    NoticeSender(
            final InetSocketAddress address,
            final EventLoop loop,
            final Consumer<List<JournaledMessage>> confirmation) {
        this.address = address;
        this.loop = loop;
        this.confirmation = confirmation;
    }

    /** Adds a notice. It is sent with the next flush. */
    void add(final JournaledMessage message) {
        unconfirmed.add(message);
    }

    /** True if the platform has confirmed all notices. */
    boolean isEmpty() {
        return unconfirmed.isEmpty();
    }

    /** Sends the next batch, unless one is unanswered or a back-off is running. */
    void flush() {
        if (unconfirmed.isEmpty() || !batch.isEmpty() || retryTimer != null) {
            return;
        }
        final String body = fillBatch();
        answerTimer = loop.schedule(this::onAnswerTimeout, answerTimeoutMs, TimeUnit.MILLISECONDS);
        if (connection != null && !connection.isReusable()) {
            dropConnection();
        }
        if (connection == null) {
            connection = new PlatformConnection();
            connection.connect(body);
        } else {
            connection.post(body);
        }
    }

    /** Switches to another address of the platform. Unconfirmed notices are sent there. */
    void switchTo(final InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        backOffMs = MIN_BACK_OFF_MS;
        answerTimeoutMs = MIN_ANSWER_TIMEOUT_MS;
        if (retryTimer != null) {
            retryTimer.cancel(false);
            retryTimer = null;
        }
        closeConnection();
        flush();
    }

    /** Fills the batch and returns its text, one line per notice. */
    private String fillBatch() {
        final StringBuilder text = new StringBuilder();
        for (final JournaledMessage message : unconfirmed) {
            final String next = toJson(message);
            // An id arrived in a header, so its characters take at most two bytes each.
            if (batch.size() == maxBatchSize
                    || !batch.isEmpty() && 2 * (text.length() + next.length()) >= MAX_BODY_BYTES) {
                break;
            }
            batch.add(message);
            text.append(next).append('\n');
        }
        return text.toString();
    }

    private String toJson(final JournaledMessage message) {
        final ObjectNode notice = json.createObjectNode()
                .put("id", message.id)
                .put("status", message.notice().failed() ? "undeliverable" : "deferred");
        if (message.notice().retryAfterMs() > 0) {
            notice.put("again_ms", message.notice().retryAfterMs());
        }
        return notice.toString();
    }

    private void onAnswer(final int status) {
        if (status == CONFIRMED) {
            final List<JournaledMessage> confirmed = List.copyOf(batch);
            clearBatch();
            confirmed.forEach(unconfirmed::remove);
            confirmation.accept(confirmed);
            backOffMs = MIN_BACK_OFF_MS;
            answerTimeoutMs = MIN_ANSWER_TIMEOUT_MS;
            maxBatchSize = Math.min(MAX_BATCH_SIZE, 2 * maxBatchSize);
            flush();
            return;
        }
        // A notice that the platform cannot parse must not block the others: use smaller batches and send these last.
        unconfirmed.removeAll(Set.copyOf(batch));
        unconfirmed.addAll(batch);
        final boolean splitBatch = status == BAD_REQUEST && batch.size() > 1;
        maxBatchSize = Math.max(1, batch.size() / 2);
        clearBatch();
        if (splitBatch) {
            flush();
        } else {
            scheduleRetry();
        }
    }

    private void onAnswerTimeout() {
        answerTimeoutMs = Math.min(2 * answerTimeoutMs, MAX_ANSWER_TIMEOUT_MS);
        onFailure();
    }

    /** The batch was not confirmed, and its connection is unusable. */
    private void onFailure() {
        closeConnection();
        scheduleRetry();
    }

    private void scheduleRetry() {
        retryTimer = loop.schedule(
                () -> {
                    retryTimer = null;
                    flush();
                },
                backOffMs,
                TimeUnit.MILLISECONDS);
        backOffMs = Math.min(2 * backOffMs, MAX_BACK_OFF_MS);
    }

    private void closeConnection() {
        clearBatch();
        dropConnection();
    }

    private void dropConnection() {
        final PlatformConnection old = connection;
        connection = null;
        if (old != null) {
            old.close();
        }
    }

    private void clearBatch() {
        batch.clear();
        if (answerTimer != null) {
            answerTimer.cancel(false);
            answerTimer = null;
        }
    }

    /**
     * One connection to the platform. Bytes behind an answer end it: they would confirm the next batch, whether or not
     * the platform has recorded that.
     */
    private final class PlatformConnection extends SimpleChannelInboundHandler<FullHttpResponse>
            implements ResponseDecoder.Listener {
        private Channel channel;
        /** A batch was sent here and is not answered yet. */
        private boolean awaitsAnswer;
        /** An answer has just arrived. */
        private boolean resting;

        private void connect(final String body) {
            channel = new Bootstrap()
                    .group(loop)
                    .channelFactory(EndpointChannel::new)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(final Channel fresh) {
                            fresh.pipeline()
                                    .addLast(
                                            new ResponseDecoder(PlatformConnection.this),
                                            new HttpRequestEncoder(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            PlatformConnection.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            // If no descriptor was available, this is another thread.
                            loop.execute(this::onLost);
                        } else if (connection == this) {
                            post(body);
                        } else {
                            close();
                        }
                    })
                    .channel();
        }

        /** True if nothing has arrived since the last answer, some time ago. */
        private boolean isReusable() {
            return !resting && channel instanceof EndpointChannel open && !open.isStale();
        }

        private void rest() {
            awaitsAnswer = false;
            resting = true;
            ((EndpointChannel) channel).acknowledgeNow();
            loop.schedule(() -> resting = false, EndpointChannel.REST_US, TimeUnit.MICROSECONDS);
        }

        private void post(final String body) {
            final var request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/v1/outcomes",
                    Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            request.headers().set(HttpHeaderNames.HOST, address.getHostString());
            request.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            awaitsAnswer = true;
            channel.writeAndFlush(request);
        }

        private void close() {
            // A channel for which no descriptor was available was never open and has no event loop to close it.
            if (channel.isOpen()) {
                channel.close();
            }
        }

        /** Only the current connection counts, and only while a batch is unanswered. */
        private void onLost() {
            if (connection != this) {
                return;
            }
            connection = null;
            if (!batch.isEmpty()) {
                onFailure();
            }
        }

        @Override
        public void onAnswerBegun() {
            if (connection != this || awaitsAnswer) {
                return;
            }
            // These bytes answer no batch, and a batch that is still to be sent here needs another connection.
            if (batch.isEmpty()) {
                dropConnection();
            } else {
                onFailure();
            }
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final FullHttpResponse answer) {
            if (connection != this || !awaitsAnswer || answer.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            if (!HttpUtil.isKeepAlive(answer)) {
                connection = null;
                ctx.close();
            }
            rest();
            onAnswer(answer.status().code());
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            onLost();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("connection to the platform", cause);
            }
            ctx.close();
        }
    }
}
