package driftchute.node.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import driftchute.fleet.FleetConfig;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings for sharing state: the address for datagrams, the peers' addresses by number, this courier's number, and
 * the {@code fleet} block of the configuration.
 */
public record FleetSettings(InetSocketAddress listen, List<InetSocketAddress> peers, int self, FleetConfig block) {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .build();

    /** @throws IllegalArgumentException if the addresses and numbers are inconsistent */
    public FleetSettings {
        peers = List.copyOf(peers);
        if (self < 0 || self >= peers.size()) {
            throw new IllegalArgumentException("fleet: 'settings.me' is " + self + ", of " + peers.size() + " peers");
        }
        if (peers.stream().distinct().count() != peers.size()) {
            throw new IllegalArgumentException("fleet: 'peers' names an address twice");
        }
    }

    /**
     * Parses the block.
     *
     * @throws IllegalArgumentException with one line that names the problem
     */
    public static FleetConfig block(final JsonNode node) {
        try {
            return JSON.treeToValue(node, FleetConfig.class);
        } catch (final JsonProcessingException e) {
            Throwable cause = e;
            while (cause.getCause() != null && cause.getCause() != cause) {
                cause = cause.getCause();
            }
            final String reason = cause instanceof JsonProcessingException bad
                    ? bad.getOriginalMessage()
                    : String.valueOf(cause.getMessage());
            final String line = reason.lines().findFirst().orElse("unreadable");
            throw new IllegalArgumentException(line.startsWith("fleet: ") ? line : "fleet: " + line, e);
        }
    }
}
