package driftchute.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.FileInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The system's last descriptor is in use when a library logs a warning. */
@Timeout(60)
final class LibraryLinesTest {
    /** The courier, with a thread that logs a warning like a library while no file can be opened. */
    static final class WarnsWithoutDescriptors {
        private WarnsWithoutDescriptors() {}

        public static void main(final String[] args) throws IOException {
            Main.main(args);
            System.in.read();
            final List<FileInputStream> all = new ArrayList<>();
            try {
                while (true) {
                    all.add(new FileInputStream("/dev/null"));
                }
            } catch (final IOException e) {
                InternalLoggerFactory.getInstance("test").warn("none is left", e);
            }
            for (final FileInputStream one : all) {
                one.close();
            }
        }
    }

    @Test
    void aLogLineOfALibraryNeedsNoDescriptor(@TempDir final Path folder) throws IOException {
        try (CourierHarness rig = new CourierHarness(folder)) {
            rig.program = WarnsWithoutDescriptors.class.getName();
            rig.start();
            rig.newest().getOutputStream().write('\n');
            rig.newest().getOutputStream().flush();
            rig.await("its line", () -> rig.hasLogged("\"event\":\"library\",\"msg\":\"none is left\""));
            try (Socket client = rig.connect()) {
                assertEquals(
                        200,
                        CourierHarness.send(client, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                                .status());
            }
        }
    }
}
