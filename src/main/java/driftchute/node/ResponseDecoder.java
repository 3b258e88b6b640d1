package driftchute.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * A strict response decoder that reports each answer's beginning and its status line as early as possible. The status
 * line is valid whatever happens to the rest.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_HEAD_BYTES = 8192;

    /** Receives the events. */
    interface Listener {
        /** Bytes of an answer have arrived. */
        void onAnswerBegun();

        /** The status line of an answer is complete. */
        void onStatusLine(HttpResponse answer);
    }

    private final Listener listener;

    ResponseDecoder(final Listener listener) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setUseRfc9112TransferEncoding(true));
        this.listener = listener;
    }

    @Override
    protected void decode(final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out)
            throws Exception {
        if (bytes.isReadable()) {
            listener.onAnswerBegun();
        }
        super.decode(context, bytes, out);
    }

    @Override
    protected HttpMessage createMessage(final String[] firstLine) {
        final HttpMessage message = super.createMessage(firstLine);
        listener.onStatusLine((HttpResponse) message);
        return message;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both a content length and a transfer coding");
    }

    /** No call asks for another protocol, so a 101 is just another interim answer. */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(final HttpResponse answer) {
        return false;
    }
}
