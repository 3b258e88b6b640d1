package driftchute.node;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The states in the body of an answer to a call with several messages (PROTOCOL-irishead.md, Couriers to endpoints). */
final class BulkAnswer {
    /** What an endpoint reports of one message. */
    enum State {
        /** Delivered. */
        ACCEPTED,
        /** Never executed; it may be sent again. */
        DEFERRED,
        /** Never executed, and its time is up or it was withdrawn. */
        EXPIRED,
        /** Never executed, and it has no attempts left. */
        NO_MORE,
        /** A fault, a state that is not known, two different states, or none: it may have been executed. */
        UNKNOWN
    }

    private static final ObjectReader JSON = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .readerFor(JsonNode.class);

    private final Map<String, State> states = new HashMap<>();

    private BulkAnswer() {}

    /** An answer that says nothing about any message. */
    static BulkAnswer unreadable() {
        return new BulkAnswer();
    }

    /**
     * Parses the body of an answer.
     *
     * @param ids the messages of the call; an answer that names another one belongs to another call
     * @throws IOException if it is not an array of objects with the id of a message of the call and a state, or names a
     *     field twice
     */
    static BulkAnswer parse(final byte[] body, final Set<String> ids) throws IOException {
        final JsonNode list = JSON.readValue(body);
        if (list == null || !list.isArray()) {
            throw new IOException("not an array");
        }
        final BulkAnswer answer = new BulkAnswer();
        for (final JsonNode item : list) {
            answer.add(item, ids);
        }
        return answer;
    }

    private void add(final JsonNode item, final Set<String> ids) throws IOException {
        final JsonNode id = item.path("id");
        final JsonNode state = item.path("state");
        if (!id.isTextual() || !state.isTextual()) {
            throw new IOException("an item without an id or a state");
        }
        if (!ids.contains(id.textValue())) {
            throw new IOException("a message of another call");
        }
        states.merge(
                id.textValue(), stateOf(state.textValue()), (first, second) -> first == second ? first : State.UNKNOWN);
    }

    private static State stateOf(final String name) {
        return switch (name) {
            case "accepted" -> State.ACCEPTED;
            case "deferred" -> State.DEFERRED;
            case "expired" -> State.EXPIRED;
            case "no_more" -> State.NO_MORE;
            default -> State.UNKNOWN;
        };
    }

    /** The state of a message of the call. */
    State stateOf(final JournaledMessage message) {
        return states.getOrDefault(message.id, State.UNKNOWN);
    }
}
