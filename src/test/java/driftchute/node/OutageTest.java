package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Discovery is down for 8 s. The list it has at its return counts as known at once, except for a drain's grace period.
 */
@Timeout(120)
final class OutageTest {
    private static final long OUTAGE_MS = 8000;
    /**
     * Delay between the starts, so that each courier is at another point of its request cycle when discovery returns.
     */
    private static final long STAGGER_MS = 1300;

    private static final long GRACE_MS = 250;
    /** For a machine under load. A request that was not pending would come up to 3 s later. */
    private static final long MARGIN_MS = 1000;

    /** What discovery does meanwhile: holds requests, has no listener, or breaks each connection. */
    private enum Form {
        SILENT,
        REFUSED,
        RESET
    }

    private static final List<Form> FORMS = List.of(Form.SILENT, Form.SILENT, Form.SILENT, Form.REFUSED, Form.RESET);

    private static final class Outage {
        private final Form form;
        private final CourierHarness rig;
        private final List<FakeServer.Connection> kept = new CopyOnWriteArrayList<>();
        private long beginNs;
        private long returnNs;

        Outage(final Form form, final Path folder) throws IOException {
            this.form = form;
            this.rig = new CourierHarness(Files.createDirectories(folder));
            rig.hosts = CourierHarness.host("e1", rig.first, "Ready") + ","
                    + CourierHarness.host("e2", rig.second, "Ready");
            rig.start();
            rig.await("the watch", () -> !rig.watches.isEmpty());
        }

        void begin() throws IOException {
            beginNs = System.nanoTime();
            rig.platform.script((request, connection) -> {
                if (form == Form.RESET) {
                    connection.reset();
                } else {
                    kept.add(connection);
                }
            });
            if (form != Form.SILENT) {
                rig.watches.forEach(FakeServer.Connection::reset);
            }
            if (form == Form.REFUSED) {
                rig.platform.refuse();
            }
        }

        void end() throws IOException {
            returnNs = System.nanoTime();
            rig.platform.script((request, connection) -> tell(connection));
            if (form == Form.REFUSED) {
                rig.platform.listen();
            }
            kept.forEach(this::tell);
        }

        private void tell(final FakeServer.Connection connection) {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.chunk("{\"seq\":42,\"whole\":false,\"hosts\":["
                    + CourierHarness.host("e1", rig.first, "Terminating") + "]}\n");
        }

        /** Calls to that endpoint that arrived at least so many ms after the return. */
        long calls(final FakeServer endpoint, final long fromMs) {
            final long fromNs = returnNs + TimeUnit.MILLISECONDS.toNanos(fromMs);
            return endpoint.requests.stream()
                    .filter(request -> request.atNs() >= fromNs)
                    .count();
        }
    }

    private static void traffic(final List<Outage> outages, final String name, final long ms) throws IOException {
        final long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        for (int count = 0; System.nanoTime() < untilNs; count++) {
            for (final Outage outage : outages) {
                assertEquals(202, outage.rig.submit(name + count, "safe").status());
            }
            final long nextNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(20);
            outages.get(0).rig.await("the next round", () -> System.nanoTime() >= nextNs);
        }
    }

    @Test
    void afterTheOutageADrainIsRespectedWithinItsGracePeriod(@TempDir final Path folder) throws IOException {
        final List<Outage> outages = new ArrayList<>();
        try {
            for (final Form form : FORMS) {
                outages.add(new Outage(form, folder.resolve("c" + outages.size())));
            }
            for (final Outage outage : outages) {
                traffic(outages, "before" + outages.indexOf(outage) + "-", STAGGER_MS);
                outage.begin();
            }
            traffic(outages, "during", OUTAGE_MS);
            for (final Outage outage : outages) {
                outage.end();
            }
            traffic(outages, "after", 2 * (GRACE_MS + MARGIN_MS));
            for (final Outage outage : outages) {
                final double lastMs = outage.rig.first.requests.stream()
                                        .mapToLong(FakeServer.Request::atNs)
                                        .max()
                                        .orElseThrow()
                                / 1e6
                        - outage.returnNs / 1e6;
                System.out.printf(
                        "%s for %.1f s: last call to the drained endpoint %.0f ms after the return%n",
                        outage.form, (outage.returnNs - outage.beginNs) / 1e9, lastMs);
                assertTrue(outage.calls(outage.rig.first, -1000) > 0, "it was in use up to the return: " + outage.form);
                assertTrue(outage.calls(outage.rig.second, GRACE_MS) > 0, "the other one goes on: " + outage.form);
                assertTrue(lastMs < GRACE_MS + MARGIN_MS, outage.form + ": " + lastMs + " ms");
            }
        } finally {
            for (final Outage outage : outages) {
                outage.rig.close();
            }
        }
    }
}
