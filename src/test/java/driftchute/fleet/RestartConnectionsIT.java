package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import driftchute.node.FakeServer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Clients with open connections at a courier that gets SIGTERM and is restarted (docs/restart-connections.md). */
@Timeout(180)
final class RestartConnectionsIT {
    private static final int CLIENTS = 20;
    private static final int RESTARTS = 3;
    /** New connections come for 0.2 to 0.4 s after SIGTERM (PROTOCOL-irishead.md, Figures). */
    private static final long NEW_MS = 300;
    /** Time after which a process has stopped listening; before, it accepts 16 connections per turn. */
    private static final long LISTENED_MS = 700;

    private static final int QUEUED = 64;

    @TempDir
    private Path folder;

    private final RequestLog ledger = new RequestLog();
    private Fleet fleet;
    private CourierProcess courier;
    /** New connections are directed to this courier. */
    private volatile boolean isFronted = true;

    private volatile boolean isOver;

    @BeforeEach
    void start() throws IOException {
        fleet = new Fleet(folder, 1, 2, 1, 5000);
        courier = fleet.couriers.get(0);
        fleet.startAll();
    }

    @AfterEach
    void end() throws IOException {
        isOver = true;
        fleet.close();
    }

    private KeptClient client(final int number) {
        return new KeptClient(
                "client-" + number, courier, ledger, "safe", number % 4 == 0 ? 600 : 50, () -> isFronted, () -> isOver);
    }

    private Socket connect() throws IOException {
        final Socket socket = new Socket("127.0.0.1", courier.port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Fleet.PATIENCE_S));
        return socket;
    }

    @Test
    void clientsAreNotifiedBeforeTheirConnectionsEndAndEachRequestIsAnswered() throws Exception {
        final List<KeptClient> clients =
                IntStream.range(0, CLIENTS).mapToObj(this::client).toList();
        clients.forEach(Thread::start);
        for (int restart = 0; restart < RESTARTS; restart++) {
            awaitAnswers(clients);
            courier.signal("TERM");
            final long termNs = System.nanoTime();
            Fleet.await("the front", () -> System.nanoTime() - termNs > TimeUnit.MILLISECONDS.toNanos(NEW_MS));
            isFronted = false;
            Fleet.await("its end", () -> !courier.isAlive());
            courier.start(fleet.discovery());
            Fleet.await("up again", courier::isUp);
            isFronted = true;
        }
        awaitAnswers(clients);
        isOver = true;
        for (final KeptClient client : clients) {
            client.join(TimeUnit.SECONDS.toMillis(Fleet.PATIENCE_S));
        }
        Fleet.await("every message over", () -> RuleChecker.owed(fleet, ledger).isEmpty());
        System.out.printf(
                "{\"event\":\"restart_connections\",\"requests\":%d,\"crossed\":%d}%n",
                ledger.seen.size(),
                ledger.seen.stream().filter(seen -> seen.status() == 0).count());
        assertEquals(List.of(), RuleChecker.violations(fleet, ledger, Map.of()), "log: " + courier.log);
    }

    private static void awaitAnswers(final List<KeptClient> clients) {
        final List<Integer> before = clients.stream().map(KeptClient::answered).toList();
        Fleet.await(
                "answers to each client",
                () -> IntStream.range(0, clients.size())
                        .allMatch(number -> clients.get(number).answered() >= before.get(number) + 2));
    }

    /** A stopped process has a full accept queue when its listener is due to be closed. */
    @Test
    void connectionsInTheAcceptQueueAreAnsweredWhenItCloses() throws Exception {
        courier.signal("TERM");
        final long termNs = System.nanoTime();
        Fleet.await("the drain", () -> !courier.isUp());
        courier.signal("STOP");
        final List<Socket> queued = new ArrayList<>();
        for (int count = 0; count < QUEUED; count++) {
            queued.add(connect());
            RequestLog.write(queued.get(count), "queued" + count, "safe");
        }
        Fleet.await("its time", () -> System.nanoTime() - termNs > TimeUnit.MILLISECONDS.toNanos(LISTENED_MS));
        courier.signal("CONT");
        int answered = 0;
        for (final Socket socket : queued) {
            try (socket) {
                answered += FakeServer.line(socket.getInputStream()).startsWith("HTTP/1.1 ") ? 1 : 0;
            } catch (final IOException e) {
                // A reset: not answered.
            }
        }
        assertEquals(QUEUED, answered, "log: " + courier.log);
    }
}
