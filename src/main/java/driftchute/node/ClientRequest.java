package driftchute.node;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A request that has arrived completely, and the meaning of its header fields.
 *
 * @param head its request line and header fields
 * @param body its body
 */
record ClientRequest(HttpRequest head, byte[] body) {
    /** Time that a request may have waited unread, beyond the tolerance for late answers. */
    private static final long UNREAD_MARGIN_US = 200_000;

    private static final long US_PER_MS = 1000;

    /** The path of its target, without a query. */
    String path() {
        final String uri = head.uri();
        final int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** True if it is of HTTP/1.1, names a path, and has one Host field (RFC 9112, 3.2). */
    boolean isProper() {
        return head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && head.uri().startsWith("/")
                && head.headers().getAll(HttpHeaderNames.HOST).size() == 1;
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
    static long parseNonNegative(final String text) {
        try {
            return text == null ? -1 : Math.max(-1, Long.parseLong(text.trim()));
        } catch (final NumberFormatException e) {
            return -1;
        }
    }

    /** The destination in a header of {@code name=value} pairs, or -1. */
    static long parseDestination(final String text) {
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
