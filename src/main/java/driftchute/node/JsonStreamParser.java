package driftchute.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * Parses a byte stream into complete JSON objects, independent of line ends and read boundaries. Each object is passed
 * on with its last byte.
 */
final class JsonStreamParser {
    /**
     * Maximum size of a value, with the white space before it, counted in whole reads since the one that completed the
     * previous value.
     */
    static final int MAX_BYTES = 1 << 22;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final Consumer<JsonNode> values;
    /** Tokens of an incomplete value; null between values. */
    private TokenBuffer incomplete;

    private int depth;
    private int pendingBytes;
    /** Nothing but white space has arrived. */
    private boolean blank = true;

    private boolean hasEmptyLine;

    /** Passes each value to {@code values}, whose exceptions end the parsing. */
    JsonStreamParser(final Consumer<JsonNode> values) {
        this.values = values;
        try {
            this.parser = JSON.getFactory().createNonBlockingByteArrayParser();
        } catch (final IOException e) {
            throw new IllegalStateException("creating the JSON parser failed", e);
        }
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /**
     * Parses more bytes.
     *
     * @throws IllegalArgumentException if they are not a JSON object, or one longer than {@link #MAX_BYTES}; nothing
     * can be
     *         parsed after that
     */
    void parse(final byte[] bytes) {
        trackBlankInput(bytes);
        pendingBytes += bytes.length;
        if (pendingBytes > MAX_BYTES) {
            throw new IllegalArgumentException("the list exceeds " + MAX_BYTES + " bytes");
        }
        try {
            feeder.feedInput(bytes, 0, bytes.length);
            for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
                add(token);
            }
        } catch (final IOException e) {
            throw new IllegalArgumentException("the list is not valid JSON: " + e.getMessage(), e);
        }
    }

    /** True if no value is incomplete. */
    boolean isBetweenValues() {
        return incomplete == null;
    }

    /** True if at least one empty line and nothing but white space has arrived. */
    boolean hasOnlyEmptyLines() {
        return blank && hasEmptyLine;
    }

    private void trackBlankInput(final byte[] bytes) {
        for (int at = 0; blank && at < bytes.length; at++) {
            hasEmptyLine |= bytes[at] == '\n';
            blank = Character.isWhitespace(bytes[at]);
        }
    }

    private void add(final JsonToken token) throws IOException {
        if (incomplete == null) {
            if (token != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("a list must be a JSON object, but begins with " + token);
            }
            incomplete = new TokenBuffer(parser);
        }
        incomplete.copyCurrentEvent(parser);
        depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
        if (depth == 0) {
            final JsonNode value = JSON.readTree(incomplete.asParser());
            incomplete = null;
            pendingBytes = 0;
            values.accept(value);
        }
    }
}
