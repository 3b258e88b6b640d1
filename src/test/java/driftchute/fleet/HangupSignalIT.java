package driftchute.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A SIGHUP reaches a courier even if its parent process ignores that signal. */
final class HangupSignalIT {
    @Test
    void aParentThatIgnoresTheSignalDoesNotMakeTheCourierIgnoreIt(@TempDir final Path folder)
            throws IOException, InterruptedException {
        try (Fleet fleet = new Fleet(folder, 1, 1, 1)) {
            final CourierProcess courier = fleet.couriers.get(0);
            courier.start(fleet.discovery(), List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
            Fleet.await("up", courier::isUp);
            courier.signal("HUP");
            Fleet.await(
                    "the configuration read again",
                    () -> courier.events("note").stream()
                            .anyMatch(line -> line.path("msg").asText().startsWith("SIGHUP: discovery is at")));
        }
    }
}
