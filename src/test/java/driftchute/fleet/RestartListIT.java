package driftchute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import driftchute.node.FakeServer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A courier is restarted while the list in its configuration is outdated: resumed messages are not sent to an endpoint
 * that drains by now (PROTOCOL-irishead.md, Discovery: whatever the agent holds counts as told).
 */
@Timeout(180)
final class RestartListIT {
    @Test
    void resumedMessagesWaitForTheWatchsAnswer(@TempDir final Path folder) throws Exception {
        final RequestLog ledger = new RequestLog();
        final List<FakeServer.Connection> watches = new CopyOnWriteArrayList<>();
        try (Fleet fleet = new Fleet(folder, 1, 1, 1, 500)) {
            final FakeServer endpoint = fleet.endpoints.get(0);
            endpoint.script((request, connection) -> {});
            final CourierProcess courier = fleet.couriers.get(0);
            fleet.startAll();
            assertTrue(ledger.submit(courier, "resumed", "safe").takenOn());
            Fleet.await("its call", () -> endpoint.requests.size() == 1);
            courier.kill();
            fleet.platform.script((request, connection) -> {
                if (request.line().contains("watch=1")) {
                    watches.add(connection);
                } else {
                    fleet.notices.addAll(request.text().lines().toList());
                    connection.answer(204, "");
                }
            });
            courier.start(fleet.discovery());
            Fleet.await("up", courier::isUp);
            Fleet.await("the watch", () -> !watches.isEmpty());
            assertEquals(1, courier.events("resumed").size());
            // Accepted when the decisions of that moment are made: calls based on the old list would have been sent.
            assertTrue(ledger.submit(courier, "new", "safe").takenOn());
            watches.get(0).write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            watches.get(0)
                    .chunk("{\"seq\":2,\"whole\":false,\"hosts\":[" + fleet.hosts.replace("Ready", "Terminating")
                            + "]}\n");
            Fleet.await("the ends of both", () -> fleet.noticed("resumed") && fleet.noticed("new"));
            assertEquals(1, endpoint.requests.size(), "a call to what drains: " + courier.log);
        }
    }
}
