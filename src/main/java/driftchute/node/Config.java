package driftchute.node;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import driftchute.Courier;
import driftchute.bench.Fields;
import driftchute.bench.MalformedLineException;
import driftchute.bench.SettingsReader;
import driftchute.node.fleet.FleetSettings;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration of a courier: the file's content, with addresses and folders overridden by the environment. Unknown
 * keys are ignored. An invalid value prevents the start with one line that names it. {@code mgmt} is null without a
 * management address; {@code fleet} is null if couriers share nothing.
 */
record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress mgmt,
        InetSocketAddress discovery,
        Path state,
        long seed,
        int sockets,
        long memoryBytes,
        long diskBytes,
        JsonNode known,
        Courier.Settings settings,
        long connectTimeoutUs,
        FleetSettings fleet) {

    private static final int MAX_PORT = 65_535;
    private static final int HEX = 16;
    private static final long BYTES_PER_MB = 1_000_000;
    /** Memory of a scored day (DEPLOY-irishead.md, Limits). */
    private static final long DEFAULT_MEMORY_MB = 192;

    private static final String SOURCE = "configuration";

    /** The reason why a courier cannot start. */
    static final class BadConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        BadConfigException(final String reason) {
            super(reason);
        }
    }

    /**
     * Reads the file that the environment names.
     *
     * @throws BadConfigException if it is missing or invalid
     */
    static Config read(final Map<String, String> environment) throws BadConfigException {
        final String file = environment.get("PROXY_CONFIG");
        if (file == null) {
            throw new BadConfigException("PROXY_CONFIG is not set");
        }
        final JsonNode root;
        try {
            // Anything after the object is the rest of a file that is being overwritten.
            root = new ObjectMapper()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .readTree(Files.readAllBytes(Path.of(file)));
        } catch (final IOException e) {
            throw new BadConfigException("cannot read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        return parse(root, environment);
    }

    static Config parse(final JsonNode root, final Map<String, String> environment) throws BadConfigException {
        if (root == null || !root.isObject()) {
            throw new BadConfigException(SOURCE + ": not a JSON object");
        }
        final JsonNode classes = root.path("settings").path("classes");
        if (root.has("settings") && !root.get("settings").isObject()) {
            throw new BadConfigException(SOURCE + ": 'settings' is no object");
        }
        if (!classes.isMissingNode() && !classes.isArray()) {
            throw new BadConfigException(SOURCE + ": 'settings.classes' is no list");
        }
        // Two name spaces: "discovery" is an address outside the settings, and the way to get the list inside them.
        final Map<String, String> values = new HashMap<>();
        root.properties().forEach(entry -> {
            if (!Set.of("known", "settings", "fleet").contains(entry.getKey())) {
                flatten(entry.getKey(), entry.getValue(), values);
            }
        });
        final Map<String, String> settingValues = new HashMap<>();
        flatten("", root.path("settings"), settingValues);
        // This setting describes how the simulator provides the list. A real courier always has to request it.
        settingValues.put("discovery", "on_request");
        environment.forEach((variable, value) -> {
            switch (variable) {
                case "PROXY_NAME" -> values.put("name", value);
                case "PROXY_LISTEN" -> values.put("listen", value);
                case "PROXY_MGMT" -> values.put("mgmt", value);
                // The file can be replaced while the process runs, but the environment keeps the old address.
                case "PROXY_DISCOVERY" -> values.putIfAbsent("discovery", value);
                case "PROXY_STATE" -> values.put("state", value);
                default -> {}
            }
        });
        final Fields fields = Fields.of(values, SOURCE);
        final Fields settings = Fields.of(settingValues, SOURCE);
        try {
            return new Config(
                    fields.text("name", "courier"),
                    address("listen", fields.text("listen")),
                    fields.text("mgmt", "").isEmpty() ? null : address("mgmt", fields.text("mgmt")),
                    remoteAddress("discovery", fields.text("discovery")),
                    Path.of(fields.text("state")),
                    seed(fields.text("seed", "0")),
                    (int) positive(fields, "limits.sockets", 1024),
                    positive(fields, "limits.memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB,
                    positive(fields, "limits.disk_mb", 1) * BYTES_PER_MB,
                    root.path("known"),
                    SettingsReader.read(settings),
                    positive(settings, "limits.connect_timeout", 1_000_000),
                    fleet(root, fields, settings));
        } catch (final MalformedLineException e) {
            throw new BadConfigException(e.getMessage());
        } catch (final IllegalArgumentException e) {
            throw new BadConfigException(SOURCE + ": " + e.getMessage());
        }
    }

    /** The fleet settings, or null if the configuration has no {@code fleet} block or the settings allow no peers. */
    private static FleetSettings fleet(final JsonNode root, final Fields fields, final Fields settings) {
        if (root.path("fleet").isMissingNode() || root.path("fleet").isNull()) {
            return null;
        }
        final var block = FleetSettings.block(root.path("fleet"));
        final List<InetSocketAddress> peers = Arrays.stream(fields.list("peers"))
                .map(text -> remoteAddress("peers", text))
                .toList();
        if (!List.of("1", "true").contains(settings.text("limits.may_tell", "0")) || peers.isEmpty()) {
            Log.info("fleet: off: " + (peers.isEmpty() ? "no 'peers'" : "'limits.may_tell' does not allow peers"));
            return null;
        }
        final long couriers = settings.integer("balancers", peers.size());
        if (couriers != peers.size()) {
            throw new IllegalArgumentException("fleet: " + peers.size() + " peers for " + couriers + " couriers");
        }
        return new FleetSettings(
                address("peer_listen", fields.text("peer_listen")), peers, (int) settings.integer("me", -1), block);
    }

    /**
     * Converts nested values to the simulator's names: dotted paths, plain lists joined by commas, lists of objects
     * with a count.
     */
    private static void flatten(final String path, final JsonNode value, final Map<String, String> into) {
        final String prefix = path.isEmpty() ? "" : path + ".";
        if (value.isObject()) {
            value.properties().forEach(entry -> flatten(prefix + entry.getKey(), entry.getValue(), into));
        } else if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
            into.put(prefix + "count", Integer.toString(value.size()));
            for (int index = 0; index < value.size(); index++) {
                flatten(prefix + index, value.get(index), into);
            }
        } else if (value.isArray()) {
            final StringBuilder joined = new StringBuilder();
            value.forEach(item -> joined.append(joined.isEmpty() ? "" : ",").append(item.asText()));
            into.put(path, joined.toString());
        } else if (value.isValueNode() && !value.isNull()) {
            into.put(
                    path,
                    value.isNumber() && value.canConvertToExactIntegral()
                            ? value.bigIntegerValue().toString()
                            : value.asText());
        }
    }

    private static long positive(final Fields fields, final String name, final long absent) {
        final long value = fields.integer(name, absent);
        if (value < 1) {
            throw fields.malformed("'" + name + "' is at least 1, not " + value);
        }
        return value;
    }

    private static long seed(final String text) {
        try {
            return Long.parseUnsignedLong(text, HEX);
        } catch (final NumberFormatException e) {
            throw new IllegalArgumentException("'seed' is no hexadecimal number: '" + text + "'", e);
        }
    }

    /** The address of a remote service. Like {@link #address}, but requires a port. */
    static InetSocketAddress remoteAddress(final String name, final String text) {
        final InetSocketAddress address = address(name, text);
        if (address.getPort() == 0) {
            throw new IllegalArgumentException("'" + name + "' has no port: '" + text + "'");
        }
        return address;
    }

    /**
     * A numeric address with its port. Names are not allowed: there is no DNS, and a look-up would block the event
     * loop. With port 0 the system chooses a port to listen on.
     */
    static InetSocketAddress address(final String name, final String text) {
        final int colon = text.lastIndexOf(':');
        try {
            final byte[] addressBytes =
                    NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
            final int port = Integer.parseInt(text.substring(colon + 1));
            if (addressBytes != null && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(InetAddress.getByAddress(addressBytes), port);
            }
        } catch (final NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("'" + name + "' is no address: '" + text + "'", e);
        }
        throw new IllegalArgumentException("'" + name + "' is no address: '" + text + "'");
    }
}
