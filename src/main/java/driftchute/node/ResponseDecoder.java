package driftchute.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A strict response decoder that reports each answer's beginning and its status line as early as possible. The status
 * line is valid whatever happens to the rest.
 *
 * <p>Netty accepts any protocol version, any spelling of the status number, bytes before the status line, and header
 * lines without a colon. Such an answer is not HTTP/1.1 (RFC 9112, 4 and 5), so its status proves nothing. The part of it
 * that violates the protocol is passed on as a decoding failure, with the header fields that could be read.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_HEAD_BYTES = 8192;
    private static final byte FIRST_BYTE = 'H';
    /** Versions whose status lines have the same meaning (RFC 9110, 2.5). */
    private static final Pattern VERSION_1 = Pattern.compile("HTTP/1\\.[0-9]");

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");

    /** The fields of an answer that are read (PROTOCOL-irishead.md, Couriers to endpoints). */
    private static final HttpHeadersFactory HEADERS =
            SelectedHeaders.keeping("Retry-After", "X-Line-Busy", "X-Server-Load");

    private static final HttpHeadersFactory TRAILERS = SelectedHeaders.keeping();

    /** Receives the events. */
    interface Listener {
        /** Bytes of an answer have arrived. */
        default void onAnswerBegun() {}

        /** The status line of an answer is complete, and valid in HTTP/1. */
        default void onStatusLine(HttpResponse answer) {}
    }

    private final Listener listener;
    /** Bytes of an answer have arrived that is not complete. */
    private boolean inAnswer;
    /** The first violation of the protocol in the current answer, or null. */
    private IllegalArgumentException violation;

    /** A decoder that reports nothing but the decoded parts. */
    ResponseDecoder() {
        this(new Listener() {});
    }

    ResponseDecoder(final Listener listener) {
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
    protected void decode(final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out)
            throws Exception {
        if (bytes.isReadable()) {
            listener.onAnswerBegun();
            beginAnswer(bytes.getByte(bytes.readerIndex()));
        }
        super.decode(context, bytes, out);
        if (violation != null) {
            out.stream()
                    .filter(part -> part != LastHttpContent.EMPTY_LAST_CONTENT)
                    .forEach(part -> ((HttpObject) part).setDecoderResult(DecoderResult.failure(violation)));
        }
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            inAnswer = false;
        }
    }

    private void beginAnswer(final byte first) {
        if (!inAnswer) {
            inAnswer = true;
            violation = null;
            check(first == FIRST_BYTE, "bytes before the status line");
        }
    }

    private void check(final boolean valid, final String problem) {
        if (!valid && violation == null) {
            violation = new IllegalArgumentException(problem);
        }
    }

    @Override
    protected HttpMessage createMessage(final String[] statusLine) {
        final HttpMessage message = super.createMessage(statusLine);
        check(VERSION_1.matcher(statusLine[0]).matches(), "a version other than HTTP/1");
        check(STATUS.matcher(statusLine[1]).matches(), "a status that is not three digits from 100 to 599");
        if (violation == null) {
            listener.onStatusLine((HttpResponse) message);
        }
        check(message.protocolVersion().equals(HttpVersion.HTTP_1_1), "a version other than HTTP/1.1");
        return message;
    }

    /** A colon has to follow each name, in the head and in the trailer (RFC 9112, 5.1). */
    @Override
    protected AsciiString splitHeaderName(final byte[] line, final int start, final int length) {
        check(line[start + length] == ':', "a header line without a colon after its name");
        return super.splitHeaderName(line, start, length);
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
