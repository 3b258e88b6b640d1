package driftchute.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * A strict request decoder. Netty accepts a request with both a length and a transfer coding by dropping one of them.
 * Two readers that drop different ones see different requests, so that a request could be smuggled in the body of
 * another.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_HEAD_BYTES = 8192;

    /** The fields of a request that are read (PROTOCOL-irishead.md, Clients to couriers). */
    private static final HttpHeadersFactory HEADERS = SelectedHeaders.keeping(
            "Host", "X-Request-ID", "X-Priority-Class", "X-Timeout-Ms", "X-Consignee", "Idempotency-Key", "Expect");

    private static final HttpHeadersFactory TRAILERS = SelectedHeaders.keeping();

    /** Callbacks of the connection while requests arrive. */
    interface Listener {
        /** Bytes have arrived. */
        void onBytes();

        /** What has arrived is decoded as far as possible. */
        void onDecoded();

        /** The first byte of a request has arrived. */
        void onRequestBegun();

        /** False while bytes already read must wait undecoded. */
        boolean canDecode();

        /** Counts a step of decoding; false if this turn of the event loop allows no more. */
        boolean mayStep();
    }

    private final Listener listener;
    private ChannelHandlerContext context;
    /** A request has begun and is not complete. */
    private boolean inRequest;

    private boolean filledReadBuffer;
    private boolean inputEnded;
    private long receivedBytes;

    RequestDecoder(final Listener listener) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setHeadersFactory(HEADERS)
                .setTrailersFactory(TRAILERS)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
        this.listener = listener;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(final ChannelHandlerContext ctx, final Object bytes) throws Exception {
        listener.onBytes();
        filledReadBuffer = bytes instanceof ByteBuf buffer && !buffer.isWritable();
        receivedBytes += bytes instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        super.channelRead(ctx, bytes);
        listener.onDecoded();
    }

    /** The connection decides when it reads on: what was read may have to wait undecoded. */
    @Override
    public void channelReadComplete(final ChannelHandlerContext ctx) {
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }

    /** The requests before the end of input are still decoded, each in its turn. */
    @Override
    public void userEventTriggered(final ChannelHandlerContext ctx, final Object event) {
        inputEnded |= event == ChannelInputShutdownEvent.INSTANCE;
        ctx.fireUserEventTriggered(event);
    }

    @Override
    protected void decode(final ChannelHandlerContext ctx, final ByteBuf in, final List<Object> out) throws Exception {
        if (!listener.mayStep()) {
            return;
        }
        if (!inRequest) {
            // Empty lines before a request are not part of it (RFC 9112, 2.2).
            in.skipBytes(countLineBreaks(in));
            if (!in.isReadable() || !listener.canDecode()) {
                return;
            }
            inRequest = true;
            listener.onRequestBegun();
        }
        super.decode(ctx, in, out);
        inRequest = out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    private static int countLineBreaks(final ByteBuf in) {
        final int end = in.forEachByte(next -> next == '\r' || next == '\n');
        return end < 0 ? in.readableBytes() : end - in.readerIndex();
    }

    /** True if bytes of the last read are left, or more bytes have probably arrived with it. */
    boolean mayHaveMore() {
        return filledReadBuffer && !inputEnded
                || !isRemoved() && internalBuffer().readableBytes() > countLineBreaks(internalBuffer());
    }

    /** Number of bytes received so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Memory of bytes that were received and not decoded, bytes. */
    int undecodedMemory() {
        return isRemoved() ? 0 : internalBuffer().capacity();
    }

    boolean isRemoved() {
        return context.isRemoved();
    }

    /** Decodes bytes that were read and had to wait. */
    void decodeRest() {
        if (!isRemoved() && actualReadableBytes() > 0) {
            try {
                super.channelRead(context, Unpooled.EMPTY_BUFFER);
                listener.onDecoded();
            } catch (final Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both a content length and a transfer coding");
    }

    /** True if the body is framed by a length alone or by the chunked coding alone. */
    static boolean hasSingleFraming(final HttpMessage message) {
        final var codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1
                        && codings.get(0).trim().equalsIgnoreCase("chunked")
                        && !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    }
}
