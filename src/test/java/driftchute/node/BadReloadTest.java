package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Invalid configurations at the start and with a SIGHUP: one clear line, and nothing else changes. */
@Timeout(120)
final class BadReloadTest {
    /** Invalid values of the discovery address. */
    private static final List<String> NO_ADDRESSES = List.of(
            "nowhere",
            "nowhere.invalid:8500",
            "10.0.0.256:8500",
            "10.0.1:8500",
            "127.0.0.1:0",
            "127.0.0.1:70000",
            "127.0.0.1:",
            ":8500",
            "",
            "127.0.0.1:8500:1");

    @TempDir
    private Path folder;

    private CourierHarness rig;

    @BeforeEach
    void build() throws IOException {
        rig = new CourierHarness(folder);
    }

    @AfterEach
    void end() throws IOException {
        rig.close();
    }

    private void awaitOneLineOf(final int before, final String what) throws IOException {
        rig.await("its line: " + what, () -> rig.log.size() > before);
        assertTrue(rig.log.get(before).contains("stays as it was"), what + ": " + rig.log.get(before));
        // Any other output would precede this answer.
        final String id = "m" + before;
        assertEquals(202, rig.submit(id, "safe").status());
        rig.await("the call", () -> rig.first.requests.stream().anyMatch(one -> id.equals(one.header("X-Request-ID"))));
        assertEquals(before + 1, rig.log.size(), rig.log.toString());
    }

    @Test
    void anInvalidAddressChangesNothing() throws IOException, InterruptedException {
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
        for (final String address : NO_ADDRESSES) {
            rig.configure(address);
            final int before = rig.log.size();
            rig.sendHangup();
            awaitOneLineOf(before, address);
        }
        assertEquals(1, rig.watches.size(), "the watch is the one from before");
        assertFalse(rig.watches.get(0).ended);
    }

    @Test
    void aMissingFileChangesNothing() throws IOException, InterruptedException {
        rig.start();
        rig.await("the watch", () -> rig.watches.size() == 1);
        final Path config = folder.resolve("config.json");
        final String good = Files.readString(config);
        final List<String> bad = List.of(
                "",
                "null",
                "[]",
                "7",
                good.substring(0, good.length() / 2),
                good + "}",
                good.replace("\"settings\":{", "\"settings\":[{").replaceFirst("}}$", "}]}"),
                good.replaceFirst("\"classes\":", "\"classes\":3,\"x\":"),
                "[".repeat(100_000),
                good.replace("\"sockets\":1024", "\"sockets\":0"),
                good.replace("8c1f30d27a5be964", "no seed"));
        for (final String text : bad) {
            Files.writeString(config, text);
            final int before = rig.log.size();
            rig.sendHangup();
            awaitOneLineOf(before, text.substring(0, Math.min(text.length(), 200)));
        }
        Files.delete(config);
        final int before = rig.log.size();
        rig.sendHangup();
        awaitOneLineOf(before, "no file");
        rig.configure(rig.moved.address());
        rig.sendHangup();
        rig.await(
                "the watch at the new address",
                () -> rig.moved.requests.stream()
                        .anyMatch(request -> request.line().contains("after=3")));
    }

    @Test
    void aStartWithAnInvalidAddressEndsWithOneLine() throws IOException, InterruptedException {
        for (final String address : NO_ADDRESSES) {
            final ProcessBuilder builder = new ProcessBuilder(
                    System.getProperty("java.home") + "/bin/java",
                    "-Xmx64m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    rig.program);
            builder.environment().put("PROXY_CONFIG", rig.configure(address).toString());
            builder.environment().put("PROXY_STATE", folder.resolve("state").toString());
            final Process process = builder.redirectErrorStream(true).start();
            try {
                assertTrue(process.waitFor(CourierHarness.PATIENCE_S, TimeUnit.SECONDS), "runs on with " + address);
                final String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertEquals(1, process.exitValue(), address);
                assertEquals(1, said.lines().count(), said);
                assertTrue(said.startsWith("cannot start: configuration: 'discovery'"), said);
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
