package driftchute.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The HTTP request of a call (PROTOCOL-irishead.md, Couriers to endpoints). */
final class CallRequest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private CallRequest() {}

    /**
     * Creates the request for one message or several.
     *
     * @param host value of the header field of that name
     * @param timeoutMs how long the courier will wait for the answer
     */
    static FullHttpRequest create(final List<JournaledMessage> messages, final String host, final long timeoutMs) {
        final FullHttpRequest request = messages.size() > 1 ? several(messages) : single(messages.get(0));
        request.headers().set(HttpHeaderNames.HOST, host);
        request.headers().set("X-Timeout-Ms", Math.max(1, timeoutMs));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return request;
    }

    private static FullHttpRequest single(final JournaledMessage message) {
        final FullHttpRequest request = post("/inbox", message.body());
        request.headers().set("X-Request-ID", message.id);
        if (message.idempotencyKey != null) {
            request.headers().set("Idempotency-Key", message.idempotencyKey);
        }
        return request;
    }

    private static FullHttpRequest several(final List<JournaledMessage> messages) {
        final FullHttpRequest request = post("/inbox/bulk", bulkBody(messages));
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        return request;
    }

    private static FullHttpRequest post(final String path, final byte[] body) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
    }

    private static byte[] bulkBody(final List<JournaledMessage> messages) {
        final ArrayNode items = JSON.createArrayNode();
        for (final JournaledMessage message : messages) {
            final ObjectNode item = items.addObject().put("id", message.id);
            if (message.idempotencyKey != null) {
                item.put("key", message.idempotencyKey);
            }
            item.put("body", message.body());
        }
        try {
            return JSON.writeValueAsString(items).getBytes(StandardCharsets.UTF_8);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }
}
