package driftchute.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import driftchute.Courier;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stores the list of endpoints in a small file of the state folder. What discovery has reported counts as reported to
 * the courier, whichever of its processes received it (PROTOCOL-irishead.md, Discovery), and discovery may be
 * unreachable when the next process starts. Only the serving process writes the file. Runs on the event loop's thread.
 */
final class StoredList {
    private static final String FILE = "list";
    private static final String NEXT_FILE = "list.next";
    private final Path folder;
    private final long maxBytes;
    private final ObjectMapper json = new ObjectMapper();
    /** The listed entries by endpoint name, without those that are gone. */
    private final Map<String, JsonNode> hosts = new LinkedHashMap<>();

    private long version;
    private String from = "";
    /** Discovery has reported a list, to this process or to one whose list was taken over. */
    private boolean hasReport;

    private boolean isStoring;

    StoredList(final Path folder, final long diskBytes) {
        this.folder = folder;
        this.maxBytes = new DiskBudget(diskBytes).list();
    }

    /** A valid list or change arrived from discovery at that address, or from the configuration. */
    void update(final JsonNode list, final Courier.Update update, final InetSocketAddress at) {
        if (update != Courier.Update.CHANGES) {
            hosts.clear();
        }
        list.path("hosts").forEach(entry -> {
            if (entry.path("health").asText().equals("Gone")) {
                hosts.remove(entry.path("host").asText());
            } else {
                hosts.put(entry.path("host").asText(), entry);
            }
        });
        version = list.path("seq").asLong();
        from = text(at);
        hasReport |= update != Courier.Update.RESTORED;
        write();
    }

    /** Starts storing the list: this process serves from now on. */
    void startStoring() {
        isStoring = true;
        write();
    }

    /** Stops storing the list: another process serves, and the file is its own. */
    void stopStoring() {
        isStoring = false;
    }

    /** The stored list from discovery at that address if it is newer than {@code known}, otherwise {@code known}. */
    JsonNode newest(final JsonNode known, final InetSocketAddress at) {
        final JsonNode kept = read(at);
        return kept != null && kept.path("seq").asLong() > known.path("seq").asLong() ? kept : known;
    }

    /** The stored list from discovery at that address if it is newer than this process's list, otherwise null. */
    JsonNode newer(final InetSocketAddress at) {
        final JsonNode kept = read(at);
        return kept != null && (!text(at).equals(from) || kept.path("seq").asLong() > version) ? kept : null;
    }

    private JsonNode read(final InetSocketAddress at) {
        final Path file = folder.resolve(FILE);
        try {
            if (Files.exists(file)) {
                final JsonNode kept = json.readTree(Files.readAllBytes(file));
                // Each address numbers its versions independently.
                final boolean same = kept.path("from").asText().equals(text(at))
                        && kept.path("hosts").isArray();
                hasReport |= same;
                return same ? kept : null;
            }
        } catch (final IOException e) {
            Log.info("list: cannot read the stored list: " + e.getMessage());
        }
        return null;
    }

    private void write() {
        if (!isStoring || !hasReport) {
            return;
        }
        final ObjectNode all =
                json.createObjectNode().put("from", from).put("seq", version).put("whole", true);
        final ArrayNode entries = all.putArray("hosts");
        hosts.values().forEach(entries::add);
        try {
            final byte[] bytes = json.writeValueAsBytes(all);
            if (bytes.length > maxBytes) {
                Files.deleteIfExists(folder.resolve(FILE));
                throw new IOException(bytes.length + " bytes exceed the maximum of " + maxBytes);
            }
            final Path fresh = folder.resolve(NEXT_FILE);
            Files.write(fresh, bytes);
            Files.move(fresh, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
        } catch (final IOException e) {
            Log.info("list: cannot be stored: " + e.getMessage());
        }
    }

    private static String text(final InetSocketAddress at) {
        return at.getHostString() + ":" + at.getPort();
    }
}
