package driftchute.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps one request for changes of the list pending at all times: an active watch, or the next request while there is
 * none, sent before the previous connection is closed (PROTOCOL-irishead.md, Discovery; the bounds and their
 * derivation: docs/list-clock.md). At most two connections are open. Runs on the event loop's thread.
 */
final class ListWatcher {
    /** Time without a complete message after which a watch counts as silent. An empty line is due every 2 s. */
    static final long SILENCE_TIMEOUT_US = 3_000_000;
    /**
     * Time after its first answer at which a watch is replaced, whatever it reports, because a watch that misses
     * changes does not say so.
     */
    static final long REPLACE_AFTER_US = 2_450_000;
    /** Interval between two unanswered requests. */
    static final long REQUEST_INTERVAL_US = 1_250_000;
    /**
     * Time for which a request is pending, except for the second request of a replacement. Its answer may be an empty
     * line 2 s later.
     */
    static final long ANSWER_TIMEOUT_US = 2 * REQUEST_INTERVAL_US;
    /**
     * Interval after the second request of a replacement that gets no answer either, and between failures beside an
     * active watch. What the active watch omits counts as notified 6 s later, even if two requests fail.
     */
    private static final long SHORT_INTERVAL_US = 650_000;
    /** A value that takes longer than this to arrive no longer protects its connection from being replaced. */
    private static final long MAX_VALUE_TRANSFER_US = 2 * ANSWER_TIMEOUT_US;
    /**
     * Bounds of the delay before the next request after a failed connection: well within the grace period of a drain,
     * without a busy loop.
     */
    private static final long MIN_RETRY_DELAY_US = 50_000;

    private static final long MAX_RETRY_DELAY_US = 100_000;
    /** No version of the list is known that the current server would understand. */
    private static final long UNKNOWN_VERSION = -1;

    private static final int OK = 200;

    /** Receives the list's events, on the event loop's thread. */
    interface Listener {
        /**
         * A complete list or a set of changes arrived, newer than the previous one.
         *
         * @throws IllegalArgumentException if it is invalid; nothing of it may have been applied then
         */
        void onList(JsonNode list, InetSocketAddress from);

        /** Nothing has changed since the requested version. */
        void onUnchanged();

        /** No watch is active; the next request is under way. Reported once for each loss. */
        void onLost();
    }

    private final EventLoop loop;
    /** Monotonic clock, us. */
    private final LongSupplier clock;

    private final Listener listener;
    private final SplittableRandom random;
    private InetSocketAddress address;
    /** Version of the last reported list; initially any. */
    private long version;
    /** When the list was last known to be up to date. */
    private long freshUs;
    /** The latest watch and its predecessor, which is used until the latest one answers. Each may be null. */
    private Watch newest;

    private Watch previous;
    private Future<?> timer;
    /** No request is sent before this time. */
    private long retryAfterUs;
    /**
     * When the first request since the last answer was sent, the watch that was active then (if any), and the number of
     * requests since.
     */
    private long firstRequestUs;

    private Watch replaced;
    private int requestCount;
    private boolean lost;

    ListWatcher(
            final InetSocketAddress address,
            final EventLoop loop,
            final LongSupplier clock,
            final long seed,
            final Listener listener) {
        this.address = address;
        this.loop = loop;
        this.clock = clock;
        this.random = new SplittableRandom(seed);
        this.listener = listener;
    }

    /** Sets the version after which changes are requested. */
    void setVersion(final long known) {
        version = known;
    }

    /** Version of the last reported list. */
    long version() {
        return version;
    }

    /** When the newest watch last confirmed that the list is up to date, us. */
    long freshUs() {
        return freshUs;
    }

    /** Starts sending requests. */
    void start() {
        if (timer == null) {
            sendRequest();
        }
    }

    /** Switches to another list service. A watch that has answered is used until the new service answers. */
    void switchTo(final InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        version = UNKNOWN_VERSION;
        while (newest != null && !newest.answered) {
            newest.close();
            newest = previous;
            previous = null;
        }
        if (newest != null) {
            newest.moved = true;
        }
        retryAfterUs = 0;
        sendRequest();
    }

    /** Sends another request. Of two open connections the one that has been silent longest is closed. */
    private void sendRequest() {
        if (newest == null || newest.answered) {
            firstRequestUs = clock.getAsLong();
            replaced = newest;
            requestCount = 0;
        }
        requestCount++;
        if (previous != null && previous.lastActivityUs() < newest.lastActivityUs()) {
            previous.close();
        } else if (previous != null) {
            newest.close();
            newest = previous;
        }
        if (newest != null) {
            newest.superseded = true;
        }
        previous = newest;
        newest = new Watch(address);
        newest.connect();
        scheduleCheck();
    }

    /** When the next request is due if nothing more is received. */
    private long dueUs() {
        if (newest == null || newest.answered && newest.superseded) {
            return retryAfterUs;
        }
        if (newest.answered) {
            return Math.max(retryAfterUs, newest.answeredUs + REPLACE_AFTER_US);
        }
        if (requestCount == 2 && isActive(replaced)) {
            return Math.max(retryAfterUs, newest.requestedUs + SHORT_INTERVAL_US);
        }
        // While the previous watch is active, the first request may take longer.
        final long extendedUs = !isActive(previous)
                ? 0
                : Math.min(newest.requestedUs + ANSWER_TIMEOUT_US, previous.heardUs + SILENCE_TIMEOUT_US);
        return Math.max(retryAfterUs, Math.max(newest.requestedUs + REQUEST_INTERVAL_US, extendedUs));
    }

    private void scheduleCheck() {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = loop.schedule(this::check, Math.max(0, dueUs() - clock.getAsLong()), TimeUnit.MICROSECONDS);
    }

    private void check() {
        final long nowUs = clock.getAsLong();
        final boolean answered = newest != null && newest.answered;
        if (!answered && nowUs >= firstRequestUs + ANSWER_TIMEOUT_US && !isActive(previous)) {
            reportLoss(false);
        }
        if (nowUs >= dueUs()) {
            sendRequest();
        } else {
            scheduleCheck();
        }
    }

    /** True if the watch was heard recently. A watch of a previous address is never active. */
    private boolean isActive(final Watch watch) {
        return watch != null && !watch.moved && clock.getAsLong() < watch.heardUs + SILENCE_TIMEOUT_US;
    }

    private void reportLoss(final boolean answered) {
        if (!lost) {
            lost = true;
            Log.event("list_lost", "seq", version, "from", String.valueOf(address), "answered", answered);
            listener.onLost();
        }
    }

    /** One watch, until its connection ends. Fetches the whole list first if no version is known. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress server;
        private final long requestedUs = clock.getAsLong();
        private Channel channel;
        private JsonStreamParser parser;
        private boolean requestsWholeList;
        /** A list or an empty line has arrived. */
        private boolean answered;
        /** A newer request was sent, whose answer is awaited whatever this watch reports. */
        private boolean superseded;
        /** The list service has moved to another address since. */
        private boolean moved;

        private long answeredUs;
        /** When a complete message last arrived: a list, or an empty line that is not inside one. */
        private long heardUs;
        /**
         * When a byte last arrived. A list that is still arriving does not count as heard, but its connection is alive.
         */
        private long lastByteUs;
        /** The version that it requested or last reported. */
        private long after;

        private Watch(final InetSocketAddress at) {
            this.server = at;
        }

        private void connect() {
            channel = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(final Channel fresh) {
                            fresh.pipeline().addLast(new ResponseDecoder(), new HttpRequestEncoder(), Watch.this);
                        }
                    })
                    .connect(server)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            loop.execute(this::onEnded);
                        }
                    })
                    .channel();
        }

        private void close() {
            if (channel.isOpen()) {
                channel.close();
            }
        }

        private boolean isCurrent() {
            return this == newest || this == previous;
        }

        private long lastActivityUs() {
            final long messageUs = Math.max(requestedUs, heardUs);
            return Math.max(messageUs, Math.min(lastByteUs, messageUs + MAX_VALUE_TRANSFER_US));
        }

        @Override
        public void channelActive(final ChannelHandlerContext ctx) {
            writeRequest();
        }

        private void writeRequest() {
            after = version;
            requestsWholeList = after == UNKNOWN_VERSION;
            parser = new JsonStreamParser(this::onValue);
            final var request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    requestsWholeList ? "/discovery/hosts" : "/discovery/hosts?watch=1&after=" + after);
            request.headers().set(HttpHeaderNames.HOST, server.getHostString());
            channel.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(final ChannelHandlerContext ctx, final HttpObject part) {
            if (!isCurrent()
                    || part.decoderResult().isFailure()
                    || part instanceof HttpResponse response
                            && response.status().code() != OK) {
                ctx.close();
                return;
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                final byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                read(bytes);
            }
            if (part instanceof LastHttpContent && requestsWholeList && answered) {
                writeRequest();
            } else if (part instanceof LastHttpContent) {
                ctx.close();
            }
        }

        private void read(final byte[] bytes) {
            lastByteUs = clock.getAsLong();
            parser.parse(bytes);
            if (requestsWholeList || !isCurrent()) {
                return;
            }
            if (parser.isBetweenValues() && hasLineEnd(bytes)) {
                heardUs = lastByteUs;
            }
            if (!answered && parser.hasOnlyEmptyLines()) {
                // Nothing has changed since the requested version. This confirms a list that may have been outdated.
                onAnswered();
                listener.onUnchanged();
            }
            if (this == newest && parser.isBetweenValues() && heardUs == lastByteUs) {
                freshUs = heardUs;
            }
        }

        private static boolean hasLineEnd(final byte[] bytes) {
            for (final byte one : bytes) {
                if (one == '\n') {
                    return true;
                }
            }
            return false;
        }

        private void onValue(final JsonNode list) {
            if (!isCurrent()) {
                return;
            }
            final long seq = list.path("seq").asLong(UNKNOWN_VERSION);
            if (seq < 0) {
                throw new IllegalArgumentException("a list without a version");
            }
            if (seq < after && !list.path("whole").asBoolean()) {
                // The version numbers started again, so changes since a version of another numbering apply to no known
                // list.
                version = UNKNOWN_VERSION;
                closeOther();
                onEnded();
                channel.close();
                return;
            }
            // The other connection already reported this version; newer ones follow here.
            final boolean late = !moved && seq >= after && seq < version;
            after = seq;
            if (!late) {
                listener.onList(list, server);
                version = moved ? version : seq;
            }
            heardUs = lastByteUs;
            onAnswered();
        }

        /**
         * Handles the first answer to a request, which ends the other watch. A silent watch that is heard again ends
         * none.
         */
        private void onAnswered() {
            if (!answered) {
                answered = true;
                answeredUs = clock.getAsLong();
                replaced = null;
                closeOther();
                if (lost) {
                    lost = false;
                    Log.event("list_heard", "seq", version, "from", String.valueOf(server));
                }
            }
        }

        private void closeOther() {
            final Watch other = this == newest ? previous : newest;
            newest = this;
            previous = null;
            if (other != null) {
                other.close();
            }
        }

        /** Handles the end of the connection, or a failure to connect. */
        private void onEnded() {
            if (!isCurrent()) {
                return;
            }
            if (this == newest) {
                newest = previous;
                final boolean retrySoon = lastByteUs == 0 && !isActive(previous);
                retryAfterUs = Math.max(
                        clock.getAsLong() + random.nextLong(MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US),
                        retrySoon ? 0 : requestedUs + (isActive(replaced) ? SHORT_INTERVAL_US : REQUEST_INTERVAL_US));
            }
            previous = null;
            if (!isActive(newest)) {
                reportLoss(answered);
            }
            scheduleCheck();
        }

        @Override
        public void channelInactive(final ChannelHandlerContext ctx) {
            onEnded();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
            // Logged once per loss, unless the process itself is in trouble.
            final boolean network = cause instanceof IOException || cause instanceof ChannelException;
            if (cause instanceof Error || !network && !lost) {
                Log.failure("watch of the list", cause);
            }
            onEnded();
            ctx.close();
        }
    }
}
