package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Complete values from a stream that is split anywhere. */
final class JsonStreamParserTest {
    private static final int SCHEDULES = 500;
    private static final ObjectMapper JSON = new ObjectMapper();
    private final List<JsonNode> read = new ArrayList<>();

    private static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Lists of any size, indented or not, with or without empty lines between them, in reads of 1 to 40 bytes. */
    @Test
    void eachValueIsPassedOnWithItsLastByte() throws JsonProcessingException {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            final Random random = new Random(seed);
            final List<JsonNode> written = new ArrayList<>();
            final List<Integer> ends = new ArrayList<>();
            String text = "";
            for (int count = random.nextInt(5); count >= 0; count--) {
                final var list = JSON.createObjectNode()
                        .put("seq", random.nextLong())
                        .put("share", random.nextDouble())
                        .put("odd", "}{\"\n\\ é".substring(random.nextInt(6)));
                for (int host = random.nextInt(4); host > 0; host--) {
                    list.withArray("hosts")
                            .addObject()
                            .put("host", "s-" + random.nextInt())
                            .putObject("in");
                }
                written.add(list);
                text += random.nextBoolean() ? list.toPrettyString() : list.toString();
                ends.add(bytes(text).length);
                text += List.of("", "\n", "\r\n\n", "  ").get(random.nextInt(4));
            }
            read.clear();
            final JsonStreamParser values = new JsonStreamParser(read::add);
            final byte[] all = bytes(text);
            for (int from = 0, to; from < all.length; from = to) {
                to = Math.min(all.length, from + 1 + random.nextInt(40));
                values.parse(Arrays.copyOfRange(all, from, to));
                final int upTo = to;
                assertEquals(ends.stream().filter(end -> end <= upTo).count(), read.size(), "seed " + seed);
            }
            assertEquals(JSON.readTree(written.toString()), JSON.readTree(read.toString()), "seed " + seed);
        }
    }

    @Test
    void emptyLinesAreDistinguishedFromTheBeginningOfAValue() {
        final JsonStreamParser values = new JsonStreamParser(read::add);
        values.parse(bytes(" \r"));
        assertFalse(values.hasOnlyEmptyLines(), "no line yet");
        values.parse(bytes("\n"));
        assertTrue(values.hasOnlyEmptyLines() && values.isBetweenValues());
        values.parse(bytes("\n{\"seq\":"));
        assertFalse(values.hasOnlyEmptyLines() || values.isBetweenValues(), "a value has begun");
    }

    @Test
    void invalidOrTooLongValuesEndTheParsing() {
        for (final String bad : List.of("[{}]", "12 ", "{]", "nonsense\n", "{\"a\":01}", "\u0000")) {
            assertThrows(IllegalArgumentException.class, () -> new JsonStreamParser(read::add).parse(bytes(bad)), bad);
        }
        final JsonStreamParser values = new JsonStreamParser(read::add);
        values.parse(bytes("{\"a\":\""));
        final byte[] most = bytes("x".repeat(JsonStreamParser.MAX_BYTES - 6));
        values.parse(most);
        assertThrows(IllegalArgumentException.class, () -> values.parse(bytes("x\"}")));
        assertTrue(read.isEmpty());
    }
}
