package driftchute.node;

import com.fasterxml.jackson.databind.JsonNode;
import driftchute.Courier;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** The list of endpoints: at first a stored or configured copy, then what the watches report. */
final class Discovery implements ListWatcher.Listener {
    /** Time since the last news within which an unlisted destination is considered not to exist. */
    private static final long FRESH_LIST_US = 10_000_000;
    /** Time for which a destination without endpoints is remembered. */
    private static final long REMEMBER_DESTINATION_US = 120_000_000;

    /** A list entry. {@code dial} is null for an endpoint that is gone. */
    private record ListEntry(Courier.Endpoint endpoint, InetSocketAddress dial) {}

    private final Config config;
    private final Clock clock;
    private final DeliveryService host;
    private final ListWatcher watcher;
    /**
     * The latest entry of every endpoint that was ever listed. An endpoint that is listed again is the same one, with
     * its waits and outages. Also read on the management thread.
     */
    private final Map<String, Courier.Endpoint> everListed = new ConcurrentHashMap<>();

    private final Map<Long, Courier.Endpoint> listed = new HashMap<>();
    private long nextId = 1;
    /** When each destination last had an endpoint. It may have none for a while between two endpoints. */
    private final Map<Long, Long> destinationSeenUs = new HashMap<>();

    Discovery(final Config config, final EventLoop loop, final Clock clock, final DeliveryService host) {
        this.config = config;
        this.clock = clock;
        this.host = host;
        this.watcher = new ListWatcher(config.discovery(), loop, clock::nowUs, config.seed(), this);
    }

    /** Starts with the list that this courier last had from that address, which may be outdated. */
    void restore(final JsonNode list, final InetSocketAddress from) {
        if (list.path("hosts").isArray()) {
            apply(list, Courier.Update.RESTORED, from);
            watcher.setVersion(list.path("seq").asLong());
        }
    }

    /** Maximum number of messages in one call to an endpoint. */
    int messagesPerCall(final long endpoint) {
        final Courier.Endpoint entry = listed.get(endpoint);
        return entry == null || entry.kind() < 0
                ? 1
                : config.settings().destinationKinds().get(entry.kind()).messagesPerCall();
    }

    /**
     * False for a destination that is not listed. While the list may be outdated, every destination counts as known:
     * refusing one that was added meanwhile would be wrong, and a message without an endpoint is refused later.
     */
    boolean knows(final long destination) {
        return destinationSeenUs.containsKey(destination) || clock.nowUs() - watcher.freshUs() > FRESH_LIST_US;
    }

    /** True if the list has ever named that endpoint to this process. Thread-safe. */
    boolean hasListed(final String name) {
        return everListed.containsKey(name);
    }

    /** The ids of those of the named endpoints that are listed now. */
    Set<Long> idsOf(final Set<String> names) {
        return names.stream()
                .map(everListed::get)
                .filter(Objects::nonNull)
                .map(Courier.Endpoint::id)
                .filter(listed::containsKey)
                .collect(Collectors.toSet());
    }

    /** The id of the listed endpoint of that name; null if it is not listed. */
    Long idOf(final String name) {
        return idsOf(Set.of(name)).stream().findFirst().orElse(null);
    }

    /** The names of all endpoints that were listed, by id. */
    Map<Long, String> names() {
        return everListed.entrySet().stream()
                .collect(Collectors.toMap(entry -> entry.getValue().id(), Map.Entry::getKey, (one, other) -> one));
    }

    /** True if an endpoint of that destination is listed now. */
    boolean hasEndpoint(final long destination) {
        return listed.values().stream().anyMatch(entry -> entry.destination() == destination);
    }

    String zone(final long endpoint) {
        final Courier.Endpoint entry = listed.get(endpoint);
        return entry == null ? "" : entry.zone();
    }

    /** Subscribes to changes of the list. */
    void follow() {
        watcher.start();
    }

    /** Switches to another list service, which numbers its versions independently. */
    void switchTo(final InetSocketAddress next) {
        watcher.switchTo(next);
    }

    @Override
    public void onList(final JsonNode list, final InetSocketAddress from) {
        apply(list, list.path("whole").asBoolean() ? Courier.Update.WHOLE : Courier.Update.CHANGES, from);
    }

    @Override
    public void onUnchanged() {
        host.onListUpdate(Courier.Update.CHANGES, List.of());
    }

    @Override
    public void onLost() {
        host.onListUpdate(Courier.Update.LOST, List.of());
    }

    private void apply(final JsonNode list, final Courier.Update update, final InetSocketAddress from) {
        if (update != Courier.Update.CHANGES && !list.path("hosts").isArray()) {
            throw new IllegalArgumentException("a complete list without hosts");
        }
        final List<ListEntry> entries = new ArrayList<>();
        // Parses all entries first, so that an invalid one leaves the list unchanged.
        list.path("hosts").forEach(node -> entries.add(entry(node)));
        final List<Long> gone = update == Courier.Update.CHANGES ? new ArrayList<>() : new ArrayList<>(listed.keySet());
        for (final ListEntry entry : entries) {
            final Courier.Endpoint endpoint = entry.endpoint();
            gone.remove(endpoint.id());
            if (endpoint.condition() == Courier.Condition.GONE) {
                gone.add(endpoint.id());
                continue;
            }
            listed.put(endpoint.id(), endpoint);
            destinationSeenUs.put(endpoint.destination(), clock.nowUs());
            final boolean separateRoute = endpoint.kind() >= 0
                    && config.settings().destinationKinds().get(endpoint.kind()).separateRoutes();
            host.endpoints().onListed(endpoint, separateRoute, entry.dial());
        }
        host.storeList(list, update, from);
        Log.event(
                "list",
                "update",
                update.name().toLowerCase(Locale.ROOT),
                "seq",
                list.path("seq").asLong(),
                "after",
                watcher.version(),
                "entries",
                entries.size(),
                "unready",
                describeUnready(list),
                "from",
                String.valueOf(from));
        host.onListUpdate(update, entries.stream().map(ListEntry::endpoint).toList());
        gone.forEach(this::forget);
        final long nowUs = clock.nowUs();
        listed.values().forEach(entry -> destinationSeenUs.put(entry.destination(), nowUs));
        destinationSeenUs.values().removeIf(seenUs -> seenUs < nowUs - REMEMBER_DESTINATION_US);
    }

    /** Names and health of the listed endpoints that accept nothing new, for the log. */
    private static String describeUnready(final JsonNode list) {
        return StreamSupport.stream(list.path("hosts").spliterator(), false)
                .filter(node -> !node.path("health").asText().equals("Ready"))
                .map(node ->
                        node.path("host").asText() + " " + node.path("health").asText())
                .collect(Collectors.joining(", "));
    }

    private void forget(final long endpoint) {
        host.endpoints().onRemoved(endpoint);
        final Courier.Endpoint entry = listed.remove(endpoint);
        if (entry != null) {
            destinationSeenUs.put(entry.destination(), clock.nowUs());
        }
    }

    private ListEntry entry(final JsonNode node) {
        final Courier.Endpoint endpoint = endpoint(node);
        return new ListEntry(
                endpoint,
                endpoint.condition() == Courier.Condition.GONE
                        ? null
                        : Config.remoteAddress("dial", node.path("dial").asText()));
    }

    private Courier.Endpoint endpoint(final JsonNode node) {
        final String name = node.path("host").asText();
        if (name.isEmpty() || !node.path("block").canConvertToLong()) {
            throw new IllegalArgumentException("an entry without a host or a block: " + node);
        }
        final Courier.Condition condition =
                switch (node.path("health").asText()) {
                    case "Ready" -> Courier.Condition.LISTED;
                    case "Terminating" -> Courier.Condition.DRAINING;
                    case "Gone" -> Courier.Condition.GONE;
                    default -> throw new IllegalArgumentException("unknown health: " + node);
                };
        final String kindName = node.path("class").asText();
        int kind = -1;
        for (int index = 0; index < config.settings().destinationKinds().size(); index++) {
            if (config.settings().destinationKinds().get(index).name().equals(kindName)) {
                kind = index;
            }
        }
        final long block = node.path("block").asLong();
        final Courier.Endpoint before = everListed.get(name);
        final boolean same = before != null
                && (condition == Courier.Condition.GONE || before.kind() == kind && before.destination() == block);
        final Courier.Endpoint endpoint = new Courier.Endpoint(
                same ? before.id() : nextId++,
                condition,
                node.path("site").asText(),
                node.path("share").asDouble(0),
                kind,
                block);
        if (!same || condition != Courier.Condition.GONE) {
            everListed.put(name, endpoint);
        }
        return endpoint;
    }
}
