package driftchute.fleet;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.io.TempDir;

/** The drills of {@link SharedLimitIT} on twenty seeds each. */
final class SharedLimitBench {
    private static final int SEEDS = 20;

    @RepeatedTest(SEEDS)
    void everyDrill(final RepetitionInfo seed, @TempDir final Path folder) throws IOException, InterruptedException {
        for (final SharedLimitIT.Drill drill : SharedLimitIT.Drill.values()) {
            SharedLimitIT.play(drill, 100 + seed.getCurrentRepetition(), folder.resolve(drill.name()));
        }
    }
}
