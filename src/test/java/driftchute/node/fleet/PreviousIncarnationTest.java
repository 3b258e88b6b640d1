package driftchute.node.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An incarnation file written by the release before the names in the code were changed is read. */
final class PreviousIncarnationTest {
    @Test
    void theIncarnationIsReadAndWrittenBackUnchanged(@TempDir final Path folder) throws IOException {
        final Path file = folder.resolve("incarnation");
        try (InputStream kept = getClass().getResourceAsStream("/previous-release/incarnation")) {
            Files.copy(kept, file);
        }
        final byte[] before = Files.readAllBytes(file);
        final IncarnationFile incarnations = new IncarnationFile(folder);
        assertThat(incarnations.read()).isEqualTo(41);
        incarnations.write(41);
        assertThat(Files.readAllBytes(file)).isEqualTo(before);
    }
}
