package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import driftchute.drill.TcpRelay;
import driftchute.node.FakeServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Several real couriers on loopback, with fakes of the platform (discovery and notices, PROTOCOL-irishead.md) and of
 * their endpoints, each endpoint behind a {@link TcpRelay} that a test can switch to faults.
 */
final class Fleet implements AutoCloseable {
    static final long PATIENCE_S = 30;
    static final int BLOCK = 7;
    /** The settings of a small tier: one safe class and one unsafe class, one message per call. */
    private static final String CONFIG = """
            {"name":"$NAME","listen":"$LISTEN","mgmt":"127.0.0.1:0","discovery":"$DISCOVERY","seed":"%s",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},
             "known":{"seq":1,"whole":true,"hosts":[%s]},%s
             "settings":{"balancers":%d,"me":%d,"my_zone":"a","discovery":"watch","weights":"nominal",
              "classes":[{"name":"safe","effect":"pure","target":2000000,"deadline":8000000,"points":1.0},
                         {"name":"once","effect":"side_effect","target":2000000,"deadline":8000000}],
              "flavors":["std"],"extra":{"calls_out":12,"per_call":[1],"routes_apart":[false]},
              "guarantees":{"must_ask_in":10000000,"cold_from":0.5,"cold":1000000,"tip_multiple":2.0},
              "limits":{"max_open":50,"most_tries":8,"cancel":true,"idle_close":10000000,"retry_after":true,"may_tell":true,
               "connect_timeout":1000000,"max_retry_after":2000000}}}""";

    final FakeServer platform = new FakeServer(this::platform);
    /** The couriers reach the platform through this. */
    final TcpRelay platformRelay = relay(platform, 0);

    final List<FakeServer> endpoints = new ArrayList<>();
    final List<TcpRelay> relays = new ArrayList<>();
    final List<CourierProcess> couriers = new ArrayList<>();
    /** Notices to the platform, one line each. */
    final List<String> notices = new CopyOnWriteArrayList<>();
    /** Calls that endpoints answered with 200 (all that arrived completely), by message id. */
    final Map<String, AtomicInteger> calls = new ConcurrentHashMap<>();

    final String hosts;
    /** The paths between the couriers, if they share state. */
    final PeerPaths paths;

    /**
     * Starts the fakes and writes each courier's folder; {@link #startAll} starts the couriers.
     *
     * @throws IOException if a fake cannot listen
     */
    Fleet(final Path folder, final int couriers, final int endpointCount, final long seed) throws IOException {
        this(folder, couriers, endpointCount, seed, 1);
    }

    /** The same, with a limit of calls per second for each endpoint, which the couriers respect. */
    Fleet(final Path folder, final int couriers, final int endpointCount, final long seed, final double share)
            throws IOException {
        this(folder, couriers, endpointCount, seed, share, null);
    }

    /**
     * The same with a path between each two couriers and that {@code fleet} block; with paths only if it is empty, and
     * with neither if it is null.
     */
    Fleet(
            final Path folder,
            final int couriers,
            final int endpointCount,
            final long seed,
            final double share,
            final String block)
            throws IOException {
        final List<String> listed = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            final FakeServer endpoint = new FakeServer(this::endpoint);
            final TcpRelay relay = relay(endpoint, seed + i + 1);
            endpoints.add(endpoint);
            relays.add(relay);
            listed.add("{\"host\":\"e" + i + "\",\"dial\":\"" + relay.address() + "\",\"site\":\"a\",\"class\":\"std\","
                    + "\"block\":" + BLOCK + ",\"health\":\"Ready\",\"share\":" + share + ",\"born_ms\":0}");
        }
        hosts = String.join(",", listed);
        paths = new PeerPaths(block == null ? 0 : couriers, seed);
        for (int i = 0; i < couriers; i++) {
            final String sharing = block == null
                    ? ""
                    : "\"peer_listen\":\"" + paths.listen(i) + "\",\"peers\":[\""
                            + String.join("\",\"", paths.seenBy(i)) + "\"],"
                            + (block.isEmpty() ? "" : "\"fleet\":" + block + ",");
            this.couriers.add(new CourierProcess(
                    "c" + i,
                    folder.resolve("c" + i),
                    CONFIG.formatted(Long.toHexString(seed * 31 + i), hosts, sharing, couriers, i)));
        }
    }

    private static TcpRelay relay(final FakeServer to, final long seed) throws IOException {
        final String[] at = to.address().split(":");
        return new TcpRelay(new InetSocketAddress(at[0], Integer.parseInt(at[1])), seed);
    }

    /** The address at which the couriers reach the platform. */
    String discovery() {
        return platformRelay.address();
    }

    private void platform(final FakeServer.Request request, final FakeServer.Connection connection) {
        if (request.line().startsWith("POST")) {
            notices.addAll(request.text().lines().toList());
            connection.answer(204, "");
        } else if (!request.line().contains("watch=1")) {
            connection.answer(200, "{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts + "]}\n");
        } else {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.chunk("{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts + "]}\n");
        }
    }

    private void endpoint(final FakeServer.Request request, final FakeServer.Connection connection) {
        final String id = request.header("X-Request-ID");
        if (id == null) {
            connection.answer(400, "");
            return;
        }
        calls.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        connection.answer(200, "");
    }

    /** Starts every courier and waits until each answers {@code GET /up} with 200. */
    void startAll() throws IOException {
        startAll(List.of());
    }

    /** The same, by a program that replaces itself by the run line. */
    void startAll(final List<String> starter) throws IOException {
        paths.release();
        for (final CourierProcess courier : couriers) {
            courier.start(discovery(), starter);
        }
        for (final CourierProcess courier : couriers) {
            await(courier.name + " up", courier::isUp, courier::state);
        }
    }

    /** True if the platform received a notice of that message. */
    boolean noticed(final String id) {
        final String quoted = "\"" + id + "\"";
        return notices.stream().anyMatch(line -> line.contains(quoted));
    }

    /** Waits for a condition, with a time limit that only a failure reaches. */
    static void await(final String what, final BooleanSupplier condition) {
        await(what, condition, () -> "");
    }

    /** The same; a failure reports the given state. */
    static void await(final String what, final BooleanSupplier condition, final Supplier<String> state) {
        final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNs, () -> "never came: " + what + "; " + state.get());
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    @Override
    public void close() throws IOException {
        couriers.forEach(CourierProcess::close);
        for (final TcpRelay relay : relays) {
            relay.close();
        }
        for (final FakeServer endpoint : endpoints) {
            endpoint.close();
        }
        paths.close();
        platformRelay.close();
        platform.close();
    }
}
