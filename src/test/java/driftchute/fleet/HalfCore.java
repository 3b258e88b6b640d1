package driftchute.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * One core of the machine, shared by a courier and a process that is always busy, since a courier holds part of one core
 * (TERMS-irishead.md, Resources). The other processes of a test stay free to use all cores.
 */
final class HalfCore implements AutoCloseable {
    private static final int CORE = Runtime.getRuntime().availableProcessors() - 1;
    private static final List<String> ON_CORE = List.of("taskset", "--cpu-list", Integer.toString(CORE));
    private Process busy;

    /** The command that runs the rest of its words on that core. */
    List<String> starter() {
        return ON_CORE;
    }

    /** From now on the core is shared. */
    void share() throws IOException {
        final List<String> words = new ArrayList<>(ON_CORE);
        words.addAll(List.of("sh", "-c", "while :; do :; done"));
        busy = new ProcessBuilder(words).start();
    }

    @Override
    public void close() {
        if (busy != null) {
            busy.destroyForcibly();
        }
    }
}
